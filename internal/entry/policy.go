package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	convictionBuffer   = 256
	convictionTTL      = 24 * time.Hour
	platformTimeout    = 2 * time.Second
	platformRetryDelay = time.Second
)

var (
	attemptsTotal      = metrics.NewCounter("jayford_attempts_total")
	hedgesTotal        = metrics.NewCounter("jayford_hedges_total")
	misdirectedAnswers = metrics.NewCounter("jayford_crossed_answers_total")
	prefillTokens      = metrics.NewCounter("jayford_prefill_tokens_total")
	prefillWasted      = metrics.NewCounter("jayford_prefill_wasted_tokens_total")
	// prefillRefusedBytes counts the bytes of prompts that were sent along with
	// a reservation that was refused.
	prefillRefusedBytes = metrics.NewCounter("jayford_prefill_vain_bytes_total")
)

func refusals(e *verdict.Error) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`jayford_refusals_total{code=%q,verdict=%q}`, e.Code, e.Verdict))
}

// retryDecision returns the retry policy's decision on a failed try.
func (e *Entry) retryDecision(err *verdict.Error, t retry.Attempt) retry.Decision {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	t.Now = time.Now()
	return retry.Decide(err, t, e.retryBudget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// recordFirstTry credits the retry and hedge budgets for a request's first try.
func (e *Entry) recordFirstTry(organisation, pool string) {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	e.retryBudget.Advance(time.Now())
	e.retryBudget.RecordFirst(organisation)
	e.retryBudget.RecordFirst(pool)
	e.hedgeBudget.Advance(time.Now())
	e.hedgeBudget.RecordFirst(pool)
}

func (e *Entry) allowHedge(pool string) bool {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	e.hedgeBudget.Advance(time.Now())
	return e.hedgeBudget.Allow(pool, pool)
}

func (e *Entry) allowRetry(organisation, pool string) bool {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	e.retryBudget.Advance(time.Now())
	return e.retryBudget.Allow(organisation, pool)
}

// blameState returns the state of a fingerprint, taking into account the
// convictions published by other entries. A convicted fingerprint is known to
// crash servers.
func (e *Entry) blameState(fp uint64) blame.State {
	c, ok := e.routing.current().snapshot.Convictions[fp]
	if ok && time.Now().Before(c.Until) {
		return blame.Convicted
	}
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	return e.blame.State(fp, time.Now())
}

// recordCrash records that a server was lost while it ran a request with the
// fingerprint fp; alone reports whether the server ran nothing else. A conviction is queued for
// publishing.
func (e *Entry) recordCrash(fp uint64, alone bool) {
	e.policyMu.Lock()
	state := e.blame.RecordCrash(fp, alone, time.Now())
	e.policyMu.Unlock()
	e.log.WithField("fingerprint", fmt.Sprintf("%016x", fp)).WithField("state", state).Warn("entry: a server was lost while it ran a request.")
	if state != blame.Convicted {
		return
	}
	select {
	case e.convictions <- fp:
	default:
		e.log.Warn("entry: conviction not published, the buffer is full.")
	}
}

func (e *Entry) recordCleared(fp uint64) {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	e.blame.RecordSuccess(fp)
}

// publishConvictions sends new convictions to the connected agents and stores
// them in the platform for all other entries, until ctx ends. It retries while
// the platform is down; meanwhile this entry and those agents already refuse the
// requests.
func (e *Entry) publishConvictions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case fp := <-e.convictions:
			e.agents.Convict(ctx, []uint64{fp})
			for e.publish(ctx, fp) != nil && wait.Sleep(ctx, platformRetryDelay) {
				e.log.Debug("entry: retrying to publish a conviction to the platform.")
			}
		}
	}
}

func (e *Entry) publish(ctx context.Context, fp uint64) error {
	spec, err := json.Marshal(object.Conviction{Format: object.Format, Fingerprint: fp, Until: time.Now().Add(convictionTTL)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_, err = platform.PutWithReadBack(ctx, e.store, platform.Object{
		Kind: object.KindConviction, Name: fmt.Sprintf("%016x", fp), Spec: spec,
	})
	if errors.Is(err, platform.ErrConflict) {
		// Another entry has published it.
		return nil
	}
	return err
}

// claim claims the idempotency key of a request that must not run twice.
func (e *Entry) claim(ctx context.Context, r *request) *verdict.Error {
	if r.idempotent || r.key == "" {
		return nil
	}
	return e.claims.Claim(ctx, r.organisation, r.key, r.id)
}

// unclaim releases the idempotency key of a request that has not run, so that
// its caller may send it again. Call it before the refusal is sent.
func (e *Entry) unclaim(r *request) {
	if r.idempotent || r.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := e.claims.Free(ctx, r.organisation, r.key, r.id); err != nil {
		e.log.WithField("request", r.id).WithError(err).Warn("entry: idempotency key will be released later.")
	}
}

// recordRefusal records an agent's refusal as evidence of its server's health.
func (e *Entry) recordRefusal(id string, r *pb.Refusal) {
	switch r.Reason {
	case pb.Reason_REASON_LEAVING:
		e.members.markLeaving(id)
	case pb.Reason_REASON_SERVER_DOWN, pb.Reason_REASON_SERVER_LOST, pb.Reason_REASON_TRANSFER:
		e.members.observe(id, doubt.Down)
	default:
		e.members.observe(id, doubt.Refusal)
	}
}

func (e *Entry) rankedLast(id string) bool { return e.members.rankLast(id) }

// verdictOfRPC returns the verdict for a failed RPC. Only a refused connection
// proves that the call didn't reach the agent.
func verdictOfRPC(err error) verdict.Verdict {
	if status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "connection refused") {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
