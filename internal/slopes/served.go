package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/settings"
)

// At full size a model has 28 prefill and 56 decode engines, and each entry uses a
// subset of 16 of them. prefillPeers and decodePeers are the numbers of entries
// whose subset contains a given agent; nearly all of them use the agent within the
// minute for which they keep an idle connection.
const (
	prefillPeers = fullEntries * 16 / 28
	decodePeers  = fullEntries * 16 / 56
	// transferTime is the time for which a prefill's result is held until decode
	// has begun.
	transferTime = 300 * time.Millisecond
	// prefillTime is the time for a prompt of 1,000 tokens.
	prefillTime    = 100 * time.Millisecond
	prefillWords   = 1000
	servedSlots    = 64
	requestTimeout = 5 * time.Second
	warmUpEvery    = 20 * time.Millisecond
	standInSlots   = 128
	requestsToken  = 1000
)

// served generates the requests that one agent serves.
type served struct {
	phase pb.Phase
	pools []*agents.Pool
	at    string
	// prompts counts the bytes of prompts, failed the failed requests.
	prompts, failed atomic.Int64
	next            atomic.Int64
}

func (b *Bench) newServed(phase pb.Phase, entries int, address string, m *meter) *served {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &served{phase: phase, at: address}
	creds := grpc.WithTransportCredentials(&meteredCredentials{insecure.NewCredentials(), m})
	for i := range entries {
		p := agents.NewPool(entryName(i), creds, log)
		b.group.Go(func() error { return p.Run(b.ctx) })
		s.pools = append(s.pools, p)
	}
	return s
}

// request runs one request over p, as an entry does. A short request ends after
// the reservation.
func (s *served) request(ctx context.Context, p *agents.Pool, short bool) error {
	conn, err := p.Conn("agent-0", s.at)
	if err != nil {
		return err
	}
	at := &pb.Attempt{Request: requestName(0, int(s.next.Add(1))), Number: 1, Entry: p.Entry}
	conn.StartRenewing(at)
	defer conn.Release(at, s.phase)
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := conn.Reserve(call, &pb.ReserveRequest{
		Attempt: at, Phase: s.phase, Incarnation: conn.Incarnation(), Fingerprint: rand.Uint64(),
		IdleMs: uint32(grantIdle.Milliseconds()), WaitMs: uint32(requestTimeout.Milliseconds()), PromptTokens: requestsToken,
		Organisation: "organisation-001",
	})
	if err != nil {
		return err
	}
	if r.Refusal != nil {
		return eris.Errorf("reservation refused: %s", r.Refusal.Reason)
	}
	switch {
	case short:
		return nil
	case s.phase == pb.Phase_PHASE_DECODE:
		return wait(ctx, answerTime)
	}
	prompt := []byte(strings.Repeat("word ", prefillWords))
	s.prompts.Add(int64(len(prompt)))
	if _, err := conn.Prefill(call, &pb.PrefillRequest{Attempt: at, Model: modelName(0), Prompt: prompt}); err != nil {
		return err
	}
	return wait(ctx, transferTime)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// run sends requests of random entries at the given rate until ctx ends.
func (s *served) run(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		go func() {
			if err := s.request(ctx, s.pools[rand.N(len(s.pools))], false); err != nil && ctx.Err() == nil {
				s.failed.Add(1)
			}
		}()
	}
}

// measureAgent measures an agent that serves the given rate of requests, with all
// entries connected.
func (b *Bench) measureAgent(phase pb.Phase, entries int, perSecond float64) (cost, error) {
	var out cost
	err := b.runScenario(fullFleet(deadAddress), func() error {
		p, a, err := b.startAgent(newEngine(standInSlots, prefillTime), servedSlots)
		if err != nil {
			return err
		}
		var wire meter
		s := b.newServed(phase, entries, a.Peer, &wire)
		for _, pool := range s.pools {
			if err := s.request(b.ctx, pool, true); err != nil {
				return err
			}
			time.Sleep(warmUpEvery)
		}
		if perSecond > 0 {
			b.group.Go(func() error { s.run(b.ctx, perSecond); return nil })
		}
		settle := settleTime
		if phase == pb.Phase_PHASE_DECODE {
			settle += answerTime
		}
		time.Sleep(settle)
		prompts, begin := s.prompts.Load(), time.Now()
		out, err = b.measure(p, &wire)
		out.bytes -= float64(s.prompts.Load()-prompts) / time.Since(begin).Seconds()
		if n := s.failed.Load(); n > 0 {
			b.printf("  %d requests failed\n", n)
		}
		return err
	})
	return out, err
}

// Served measures agents that serve requests of connected entries, using the
// entries' own client code.
func Served(b *Bench) error {
	for _, role := range []struct {
		name    string
		phase   pb.Phase
		entries int
		rates   []float64
		size    float64
	}{
		{settings.BackendEngine + " for prefill", pb.Phase_PHASE_PREFILL, prefillPeers, []float64{0, 1, 2.5, 5, 8}, 4.9},
		{settings.BackendEngine + " for decode", pb.Phase_PHASE_DECODE, decodePeers, []float64{0, 0.5, 1, 2.5, 5}, 2.45},
	} {
		costs := newCostSeries(fmt.Sprintf("an agent of an %s, %d entries", role.name, role.entries), "requests/s")
		for _, r := range role.rates {
			s, err := b.measureAgent(role.phase, role.entries, r)
			if err != nil {
				return err
			}
			costs.add(r, s)
		}
		costs.print(b, role.size)
	}
	return nil
}
