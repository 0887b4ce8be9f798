package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/settings"
)

// pausedAgent makes the test binary run an agent instead of the tests.
const pausedAgent = "JAYFORD_TEST_PAUSED_AGENT"

// tickingEngine decodes a token every 20 ms, endlessly.
type tickingEngine struct{ *fakeEngine }

func (e tickingEngine) Decode(ctx context.Context, r engine.DecodeRequest, emit func(engine.Event) error) error {
	for i := 0; ctx.Err() == nil; i++ {
		if err := emit(engine.Event{Attempt: r.Attempt, Token: &engine.Token{Index: i}}); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

func TestMain(m *testing.M) {
	if os.Getenv(pausedAgent) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	a := New(Options{Settings: settings.DefaultAgent(), Engine: tickingEngine{newFakeEngine()}})
	if err := a.Serve(context.Background(), l); err != nil {
		panic(err)
	}
}

func startPausable(t *testing.T) (*os.Process, *harness) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), pausedAgent+"=1")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	b := &harness{addr: strings.TrimSpace(line)}
	b.client = b.dial(t)
	return cmd.Process, b
}

// The agent's process is stopped for longer than LapseAfter. An entry that
// keeps renewing keeps its stream. Another entry dies during the pause, with
// its last renewal waiting in the agent's socket: its attempt is still
// cancelled soon after the pause.
func TestAgentPause(t *testing.T) {
	process, b := startPausable(t)
	lapse := settings.DefaultAgent().LapseAfter.D()
	eventually(t, "server up", func() bool {
		r, err := b.client.Renew(t.Context(), &pb.RenewRequest{Entry: "probe#1"})
		return err == nil && !r.GetLoad().GetDown()
	})
	b.renew(t, "alive")
	s := b.decode(t, t.Context(), "alive")
	dying := &pb.Attempt{Request: "dying", Number: 1, Entry: "e2#1"}
	dyingClient := b.dial(t)
	reserved, err := dyingClient.Reserve(t.Context(), &pb.ReserveRequest{Attempt: dying, Phase: pb.Phase_PHASE_DECODE})
	assert.NilError(t, err)
	assert.Assert(t, reserved.GetRefusal() == nil)
	_, err = dyingClient.Decode(t.Context(), &pb.DecodeRequest{Attempt: dying})
	assert.NilError(t, err)
	var got atomic.Int64
	go func() {
		for {
			e, err := s.Recv()
			if err != nil || e.GetRefusal() != nil {
				got.Store(-1)
				return
			}
			got.Add(int64(len(e.GetTokens())))
		}
	}()
	eventually(t, "tokens", func() bool { return got.Load() > 0 })

	assert.NilError(t, process.Signal(syscall.SIGSTOP))
	time.Sleep(lapse + lapse/4)
	last, cancel := context.WithTimeout(t.Context(), lapse/4)
	_, _ = dyingClient.Renew(last, &pb.RenewRequest{Entry: "e2#1", Sequence: 1, Attempts: []*pb.Attempt{dying}})
	cancel()
	assert.NilError(t, process.Signal(syscall.SIGCONT))

	used := func() uint32 {
		r, err := b.client.Renew(t.Context(), &pb.RenewRequest{Entry: "probe#1"})
		assert.NilError(t, err)
		return r.GetLoad().GetUsed()
	}
	woke := time.Now()
	eventually(t, "the dead entry's slot is free", func() bool { return used() == 1 })
	assert.Assert(t, time.Since(woke) < lapse, "freed after %v", time.Since(woke))
	before := got.Load()
	time.Sleep(lapse)
	assert.Assert(t, before > 0 && got.Load() > before, "the living entry's stream was cut")
	assert.Equal(t, used(), uint32(1))
}
