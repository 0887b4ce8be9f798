package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

// crashes attributes lost servers to the requests that ran there. The caller of a
// request that crashes its server retries it under another id, at any gateway, so the
// gateways exchange these losses.
type crashes struct {
	log *logrus.Entry
	// report, reportProof and reportTrial report a loss, a proof of a sound part, and a trial to the
	// peers; they are set before use.
	report      func(blame.Loss)
	reportProof func(blame.Proof)
	reportTrial func(blame.Trial)
	// nonEmpty is whether the ledger has records. Mostly it has none, and each answer
	// checks this without a lock.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// All below is guarded by mu. changes are those of the current call.
	ledger  *blame.Ledger
	changes []blame.Change
	names   partNames
}

func newCrashes(b *board.Board, log *logrus.Entry) *crashes {
	c := &crashes{
		log: log, report: func(blame.Loss) {}, reportProof: func(blame.Proof) {}, reportTrial: func(blame.Trial) {}, names: partNames{},
	}
	c.ledger = blame.NewLedger(blame.LedgerOptions{OnChange: func(x blame.Change) { c.changes = append(c.changes, x) }})
	b.AddView("crashes", c.dump)
	b.AddView("parts", c.dumpParts)
	return c
}

func (c *crashes) dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Records()
}

func (c *crashes) record(x blame.Loss) (isNew bool) {
	c.nonEmpty.Store(true)
	c.use(func(l *blame.Ledger, now time.Time) { isNew = l.RecordLoss(x, now) })
	return isNew
}

// use calls f with the ledger if that has records.
func (c *crashes) use(f func(l *blame.Ledger, now time.Time)) { c.useAnswer("", f) }

// useAnswer is use for the answer to an exchange, "" for none.
func (c *crashes) useAnswer(exchange string, f func(l *blame.Ledger, now time.Time)) {
	if !c.nonEmpty.Load() {
		return
	}
	c.publish(c.changesBy(f), exchange)
}

// publish logs changes and tells the peers of them.
func (c *crashes) publish(changes []blame.Change, exchange string) {
	for _, x := range changes {
		if x.Part != 0 {
			c.logPartChange(x)
		} else {
			c.logChange(x, exchange)
		}
		for _, r := range x.Reports {
			c.report(r)
		}
		for _, p := range x.Proofs {
			c.reportProof(p)
		}
		for _, t := range x.Trials {
			c.reportTrial(t)
		}
	}
}

// changesBy calls f with the ledger and returns what that changed. Peers are told without
// the lock, as they may answer from the same goroutine.
func (c *crashes) changesBy(f func(l *blame.Ledger, now time.Time)) []blame.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = nil
	now := time.Now()
	f(c.ledger, now)
	c.nonEmpty.Store(!c.ledger.Empty(now))
	return c.changes
}

// logChange counts a change of what is held against a request, and logs it if it is decisive:
// each crash is a loss of all requests there, at each gateway. exchange is the one whose answer
// caused the change, "" for none.
func (c *crashes) logChange(x blame.Change, exchange string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_crash_evidence_total{change=%q}", x.Kind)).Inc()
	if !x.Decisive() {
		return
	}
	fields := logrus.Fields{"fingerprint": formatHash(x.Request), "change": x.Kind.String(), "losses": x.Losses, "counting": x.Counting}
	if x.Server != 0 {
		fields["serverHash"] = formatHash(x.Server)
	}
	if exchange != "" {
		fields["answered"] = exchange
	}
	if x.Kind == blame.ChangeHeld {
		fields["rivals"], fields["until"] = formatHashes(x.Rivals), x.Until.UTC().Format(time.RFC3339Nano)
	}
	c.log.WithFields(fields).Info("gateway: evidence on a request changed.")
}

// recordSuccess records that a request has succeeded.
func (c *crashes) recordSuccess(fp uint64) {
	c.use(func(l *blame.Ledger, now time.Time) { l.RecordSuccess(fp, now) })
}

// recordAnswer records that a server answered.
func (c *crashes) recordAnswer(s catalog.Server, x Exchange) {
	c.useAnswer(x.Name, func(l *blame.Ledger, now time.Time) {
		l.RecordAnswer(blame.Answer{
			Server: gossip.ServerKey(serverKey(s)), Sent: x.SentAt, Connected: x.ConnectedAt, Identified: x.Identified,
		}, now)
	})
}

// judge judges a request by itself, and by the parts of its prompt.
func (c *crashes) judge(fp uint64, parts []uint64) (j blame.Judgement) {
	c.use(func(l *blame.Ledger, now time.Time) {
		if j = l.JudgeParts(parts, now); j.Convicted {
			return
		}
		request := l.Judge(fp, now)
		request.Unsettled = max(request.Unsettled, j.Unsettled)
		j = request
	})
	return j
}

// admit judges a job before a sending. If it may go on only as the trial of a suspect, its trial
// goes on too.
func (c *crashes) admit(j *job) (x blame.Judgement) {
	c.use(func(l *blame.Ledger, now time.Time) { x = l.Admit(&j.attempt, now) })
	return x
}

// endTrial ends a job's trial, if it has one; passed: the attempt has run well.
func (c *crashes) endTrial(j *job, passed bool) {
	c.use(func(l *blame.Ledger, now time.Time) { l.EndTrial(&j.attempt, passed, now) })
}

func (c *crashes) convictions(limit int) (out []blame.Loss) {
	c.use(func(l *blame.Ledger, now time.Time) { out = l.Convictions(limit, now) })
	return out
}

// RecordPeerLoss records the loss of a server under a request, as reported by a peer. It
// reports whether that was unknown before. The server is given by its gossip.ServerKey,
// the request by its fingerprint.
func (g *Gateway) RecordPeerLoss(x blame.Loss) bool { return g.crashes.record(x) }

// RecordPeerTrial records the trial of a suspected request, as reported by a peer. It reports whether
// that was unknown before.
func (g *Gateway) RecordPeerTrial(t blame.Trial) (isNew bool) {
	g.crashes.nonEmpty.Store(true)
	g.crashes.use(func(l *blame.Ledger, now time.Time) { isNew = l.RecordTrial(t, now) })
	return isNew
}

// judgeLater judges a request once the losses of others on the same servers are known. If it
// is convicted, the peers and the platform learn of it before it comes again. Only gateways
// that lost a server under it do so: if all did, all would write their objects at once.
func (g *Gateway) judgeLater(fp uint64, parts []uint64) {
	time.AfterFunc(blame.DefaultSettleTime+judgeMargin, func() {
		g.tellConviction(fp, g.crashes.judge(fp, parts))
	})
}

// tellConviction tells the platform of a conviction of a request or of a part of its prompt.
func (g *Gateway) tellConviction(fp uint64, x blame.Judgement) {
	switch {
	case !x.Convicted || g.onConviction == nil:
	case x.Part != 0:
		g.onConviction(blame.PartsKey(g.crashes.refused(x.Part)))
	default:
		g.onConviction(fp)
	}
}

// judgeMargin lets the settle time of a loss end before the judgement that waited for it.
const judgeMargin = 10 * time.Millisecond

// Convictions returns at most limit losses for which this gateway refuses requests.
func (g *Gateway) Convictions(limit int) []blame.Loss { return g.crashes.convictions(limit) }

// Evidence returns at most limit losses that peers may not know of: those for which this gateway
// refuses requests, and those that count against suspected parts of prompts.
func (g *Gateway) Evidence(limit int) (out []blame.Loss) {
	g.crashes.use(func(l *blame.Ledger, now time.Time) {
		out = l.Convictions(limit, now)
		out = append(out, l.Suspicions(limit-len(out), now)...)
	})
	return out
}

// OnConviction registers f, which is called with the key of the conviction of each request that is
// refused because it, or a part of its prompt, crashes servers. It must be called before the
// first request.
func (g *Gateway) OnConviction(f func(key uint64)) { g.onConviction = f }

// isLoss reports whether an attempt failed because its connection to the server broke,
// which happens when the server crashes. A caller that left, a timeout and an answer of
// the server, however wrong, are no losses.
func isLoss(ctx context.Context, err *verdict.Error) bool {
	return ctx.Err() == nil && err.Code == verdict.ServerLost && err.Verdict != verdict.NotRun && !isWrongAnswer(err)
}

// isWrongAnswer reports whether a server that runs sent something wrong.
func isWrongAnswer(err error) bool {
	return errors.Is(err, errUnproven) || errors.Is(err, errLargeEvent) || errors.Is(err, upstream.ErrMalformed)
}

// isPrompt reports whether a connection broke as it was closed or reset, and not by a timeout.
func isPrompt(cause error) bool {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, err) {
			return true
		}
	}
	return false
}

// recordLoss records that the server was lost under an attempt of the job's request, which has ended
// with it.
func (g *Gateway) recordLoss(j *job, s catalog.Server, a *attempt, cause error) {
	g.reportLoss(j, s, a, cause)
	g.crashes.endTrial(j, false)
}

// reportLoss records that the server was lost under an attempt of the job's request, and reports it
// to the peers.
func (g *Gateway) reportLoss(j *job, s catalog.Server, a *attempt, cause error) {
	x := blame.Loss{
		Request: j.fingerprint, Server: gossip.ServerKey(serverKey(s)), ID: blame.NewLossID(),
		Began: a.sentAt, Lost: time.Now(), Prompt: isPrompt(cause),
	}
	if x.Prompt && a.writingTime(x.Lost) < blame.ProvenTime {
		x.Model, x.Parts = j.model, j.parts
		g.crashes.name(j)
	}
	x.Wrote = a.writingTime(x.Lost) >= blame.ProvenTime
	isNew := g.crashes.record(x)
	g.logRequest(j, "gateway: server lost under a request.", logrus.Fields{
		"server": serverKey(s), "serverHash": formatHash(x.Server), "fingerprint": formatHash(j.fingerprint), "new": isNew,
		"ran": milliseconds(x.Lost.Sub(a.sentAt)), "prompt": x.Prompt, "wrote": milliseconds(a.writingTime(x.Lost)), "parts": j.sharedParts(),
		"lastPart": j.lastPart(),
	})
	if x.Prompt {
		g.checkCrash(s)
	}
	if isNew {
		g.crashes.report(x)
		g.judgeLater(x.Request, x.Parts)
	}
}

const (
	// crashCheckDelay is how long after a loss the server is asked whether it still runs: one
	// question for all requests that were lost there, answered before they are judged.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds that question. A later answer may be of another start.
	crashCheckTimeout = 400 * time.Millisecond
)

// checkCrash asks a server that was lost whether it still runs: nobody else may call it soon
// enough for the answer to show that. The answer is evaluated like any other.
func (g *Gateway) checkCrash(s catalog.Server) {
	key := serverKey(s)
	if _, pending := g.crashChecks.LoadOrStore(key, true); pending {
		return
	}
	time.AfterFunc(crashCheckDelay, func() {
		g.crashChecks.Delete(key)
		if !g.limits.take(key, time.Now()) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if err := g.backend.Probe(ctx, s, g.healthPath(s)); err != nil {
			g.log.WithError(err).WithField("server", key).Info("gateway: lost server doesn't answer.")
		}
	})
}

const (
	// trialPoll is how often an attempt asks that waits for the trial of another one, maxTrialWait
	// how long it waits.
	trialPoll    = 50 * time.Millisecond
	maxTrialWait = time.Second
)

// refuseCrashing refuses a request that is known to crash servers. One that may, as others
// were lost with it, is refused for a while. If a server was lost just now, it waits until
// the losses of others there are known, or until another attempt of it has been tried.
func (g *Gateway) refuseCrashing(ctx context.Context, j *job) *verdict.Error {
	patience := time.Now().Add(maxTrialWait)
	for {
		x := g.crashes.admit(j)
		pause := x.Unsettled
		switch {
		case x.Convicted && x.Part != 0:
			g.tellConviction(j.fingerprint, x)
			return g.refusePart(j, x.Part)
		case x.Convicted:
			g.tellConviction(j.fingerprint, x)
			return verdict.New(verdict.NotRun, verdict.Crashes, "This request crashed the servers that ran it.")
		case x.Held > 0:
			return verdict.New(verdict.NotRun, verdict.Overloaded, "Servers crashed under this request and others.").WithRetryAfter(spread(x.Held))
		case x.Tried > 0 && time.Now().After(patience):
			return verdict.New(verdict.NotRun, verdict.Overloaded, "Servers crashed under this request, and another attempt of it runs.").WithRetryAfter(spread(x.Tried))
		case x.Tried > 0:
			pause = trialPoll
		case pause == 0:
			g.logSuspect(j)
			return nil
		}
		if !wait.Sleep(ctx, pause) {
			return nil
		}
	}
}

// spread returns a time up to half longer, so that callers who are told it don't come back together.
func spread(d time.Duration) time.Duration { return d + rand.N(d/2+1) }

// logSuspect logs that a request goes on under which enough servers were lost to convict it, had
// others not been lost with them, or that is tried for its last part.
func (g *Gateway) logSuspect(j *job) {
	var x blame.Suspicion
	onTrial := false
	g.crashes.use(func(l *blame.Ledger, now time.Time) {
		x, onTrial = l.Suspicion(j.fingerprint, now), j.attempt.OnTrial()
	})
	if x.Crashes == 0 && !onTrial {
		return
	}
	g.logRequest(j, "gateway: suspected request goes on.", logrus.Fields{
		"onTrial":     onTrial,
		"fingerprint": formatHash(j.fingerprint), "parts": j.sharedParts(), "lastPart": j.lastPart(), "crashes": x.Crashes, "rivals": formatHashes(x.Rivals),
	})
}

// recheck checks before each attempt what may have changed since the request was accepted.
func (g *Gateway) recheck(ctx context.Context, j *job) *verdict.Error {
	if err := g.recheckKey(j); err != nil {
		return err
	}
	return g.refuseCrashing(ctx, j)
}

// formatHash returns a fingerprint or the hash of a server as it is logged.
func formatHash(h uint64) string { return strconv.FormatUint(h, 16) }

// maxLoggedHashes bounds the hashes in one field of a log line.
const maxLoggedHashes = 8

func formatHashes(list []uint64) []string {
	out := make([]string, 0, min(len(list), maxLoggedHashes))
	for _, h := range list[:min(len(list), maxLoggedHashes)] {
		out = append(out, formatHash(h))
	}
	return out
}

// fingerprint identifies a request by its content and its caller's organisation, as a
// caller's retry has another id.
func (r *Request) fingerprint(organisation string) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.URI, "\x00", organisation, "\x00", r.Content, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
