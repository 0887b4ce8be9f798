package lease

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/standin/faultnet"
	standin "jayford.example/jayford/internal/standin/platform"
)

// stepper makes a runner's calls one at a time, each a renewal interval after the one before.
type stepper struct {
	t        *testing.T
	platform *standin.Platform
	network  *faultnet.Listener
	client   *platform.HTTP
	runner   *Runner
	now      time.Time
}

// newHolder starts a platform and a runner that holds its lease.
func newHolder(t *testing.T) *stepper {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &stepper{t: t, platform: standin.New(standin.Options{}), network: faultnet.New(ln), now: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.platform.Serve(ctx, s.network) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	s.client = platform.NewHTTP(ln.Addr().String(), 5*time.Second)
	s.runner = NewRunner(Options{Store: s.client, Scope: "scope", Self: "a#1", Term: term})
	s.step(ActionRead)
	s.step(ActionWrite)
	s.assertHeld(true)
	return s
}

// repeatReplies has each reply sent again as the next call arrives on its connection, ahead of that
// call's own reply.
func (s *stepper) repeatReplies() {
	s.network.Repeat(func(replies [][]byte) [][]byte { return replies[len(replies)-1:] })
}

func (s *stepper) step(want ActionKind) {
	s.t.Helper()
	s.now = s.now.Add(term / callsPerTerm)
	a := s.runner.machine.Tick(s.now, true, platform.NewOperation())
	assert.Equal(s.t, a.Kind, want)
	s.runner.carryOut(s.t.Context(), a)
}

func (s *stepper) assertHeld(want bool) {
	s.t.Helper()
	_, held := s.runner.FencingToken()
	assert.Equal(s.t, held, want)
}

// Guards against two holders of a lease: the repeated reply to the write by which a process acquired
// it counts as a renewal, though another process has written the object since.
func TestRepeatedReplyDoesNotRenewALostLease(t *testing.T) {
	s := newHolder(t)
	s.repeatReplies()
	fence, _ := s.runner.FencingToken()
	_, err := s.platform.Put(platform.Object{Kind: object.KindLease, Name: "scope", Version: fence, Spec: []byte(`{"format":1,"holder":"b#1"}`)})
	assert.NilError(t, err)
	s.step(ActionWrite)
	s.assertHeld(false)
}

// Guards against a lease that its holder counts as lost though the platform has renewed it, as the
// repeated reply to another call says that there was a conflict, no object or a refusal.
func TestRepeatedReplyDoesNotLoseARenewedLease(t *testing.T) {
	for name, call := range map[string]func(*stepper) error{
		"conflict": func(s *stepper) error {
			_, err := s.client.Put(s.t.Context(), platform.Object{Kind: object.KindClaims, Name: "x", Version: 1 << 40, Spec: []byte(`{}`)})
			return err
		},
		"no object": func(s *stepper) error {
			_, err := s.client.Get(s.t.Context(), object.KindClaims, "x")
			return err
		},
		"refused": func(s *stepper) error {
			s.platform.SetControl(standin.Control{Outage: standin.OutageRefuse})
			defer s.platform.SetControl(standin.Control{})
			_, err := s.client.Get(s.t.Context(), object.KindLease, "scope")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHolder(t)
			s.t = t
			s.repeatReplies()
			before, _ := s.runner.FencingToken()
			assert.Assert(t, call(s) != nil)
			s.step(ActionWrite)
			s.assertHeld(true)
			after, _ := s.runner.FencingToken()
			assert.Assert(t, after > before, "the renewal isn't known")
		})
	}
}

// Guards against a lease that counts as another process's, as the repeated reply to a read of
// another lease is taken for that to the read of this one.
func TestRepeatedReplyIsNotTheReadOfAnotherLease(t *testing.T) {
	s := newHolder(t)
	_, err := s.platform.Put(platform.Object{Kind: object.KindLease, Name: "other", Spec: []byte(`{"format":1,"holder":"b#1","termNanoseconds":15000000000}`)})
	assert.NilError(t, err)
	s.repeatReplies()
	_, err = s.client.Get(t.Context(), object.KindLease, "other")
	assert.NilError(t, err)
	stored, ok := s.runner.read(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, stored.Lease.Holder, "a#1")
}
