package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/settings"
)

// machine is the memory of an agent's machine in these tests.
const machine = 256 << 20

// endlessAnswers begin answers whose rest comes again and again until the reader closes; one
// announces a body that doesn't come.
var endlessAnswers = map[string]struct{ begin, next string }{
	"head":      {"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 1000) + "\r\n"},
	"body":      {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 1000)},
	"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("c", 1000) + "\r\n"},
	"announced": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxAnswerBytes), ""},
	"too large": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 8*maxAnswerBytes), strings.Repeat("d", 1000)},
}

// launchOnMachine launches an agent that has the memory of a machine, beside a service.
func launchOnMachine(t *testing.T, slots int, serve func(net.Conn, *http.Request)) pb.AgentClient {
	t.Helper()
	limits := memory.Of(machine)
	before := debug.SetMemoryLimit(limits.Runtime)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	cfg := testSettings()
	// No entry renews the grants.
	cfg.Slots, cfg.LapseAfter = slots, settings.Duration(time.Minute)
	cfg.Backend, cfg.BackendKind = plainService(t, serve).Addr().String(), settings.BackendService
	b := launch(t, Options{Settings: cfg, Answers: memory.NewArriving(limits.Answers, time.Now)}).up(t)
	conn, err := grpc.NewClient(b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return pb.NewAgentClient(conn)
}

// maxHeap samples the heap of the process until the returned function is called.
func maxHeap() (stop func() uint64) {
	done, result := make(chan struct{}), make(chan uint64)
	go func() {
		var m runtime.MemStats
		for most := uint64(0); ; {
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-done:
				result <- most
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-result
	}
}

// Guards against a service whose answers have no end and that takes the memory of its agent's
// machine, with which all calls there end.
func TestAnswersWithoutEndStayWithinTheMachinesMemory(t *testing.T) {
	const calls = 32
	for kind, x := range endlessAnswers {
		t.Run(kind, func(t *testing.T) {
			next := strings.Repeat(x.next, 64)
			client := launchOnMachine(t, calls+1, func(c net.Conn, r *http.Request) {
				if r.URL.Path == "/sound" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound")
					return
				}
				_, err := io.WriteString(c, x.begin)
				for err == nil && next != "" {
					_, err = io.WriteString(c, next)
				}
				_, _ = io.Copy(io.Discard, c)
			})
			call := func(id, uri string) *pb.CallReply {
				r, err := client.Call(t.Context(), &pb.CallRequest{Attempt: attempt(id), Method: "GET", Uri: uri, DeadlineMs: 1500})
				assert.Check(t, err)
				return r
			}
			heap := maxHeap()
			var open sync.WaitGroup
			var ended atomic.Bool
			for i := range calls {
				open.Go(func() {
					r := call(fmt.Sprint(kind, i), "/endless")
					assert.Check(t, r.GetRefusal().GetVerdict() == pb.Verdict_VERDICT_MAY_HAVE_RUN, "%d", r.GetStatus())
				})
			}
			go func() {
				open.Wait()
				ended.Store(true)
			}()
			sound := 0
			for n := 0; n == 0 || !ended.Load(); n++ {
				if r := call(fmt.Sprint("sound", n), "/sound"); string(r.GetBody()) == "sound" {
					sound++
				} else {
					t.Errorf("a sound call ended with %v", r.GetRefusal())
				}
				time.Sleep(10 * time.Millisecond)
			}
			most := heap()
			t.Logf("%d sound calls, %d MB", sound, most>>20)
			assert.Check(t, most <= machine, "%d MB", most>>20)
		})
	}
}

// Guards against bounds that turn away the largest answer that is allowed while nothing else
// is going on.
func TestLargestAnswerIsWhole(t *testing.T) {
	for kind, head := range map[string]string{
		"length":   fmt.Sprintf("Content-Length: %d\r\n", maxAnswerBytes),
		"chunks":   "Transfer-Encoding: chunked\r\n",
		"unframed": "",
	} {
		t.Run(kind, func(t *testing.T) {
			client := launchOnMachine(t, 1, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
				body := strings.Repeat("b", maxAnswerBytes)
				if kind == "chunks" {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				}
				_, _ = io.WriteString(c, body)
			})
			for i := range 3 {
				r, err := client.Call(t.Context(), &pb.CallRequest{Attempt: attempt(fmt.Sprint(i)), Method: "GET", Uri: "/", DeadlineMs: 20_000})
				assert.NilError(t, err)
				assert.Equal(t, len(r.GetBody()), maxAnswerBytes, "%v", r.GetRefusal())
			}
		})
	}
}

// Guards against a body that is cut short counting as complete.
func TestTruncatedAnswerOfAService(t *testing.T) {
	for _, answer := range []string{
		"Content-Length: 9\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
	} {
		b := launchService(t, plainService(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+answer) }))
		r := b.call(t, "a")
		assert.Equal(t, r.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN, "%q gave %q", answer, r.GetBody())
	}
}
