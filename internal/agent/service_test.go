package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/settings"
)

// plainService listens on loopback and passes each parsed request to serve.
func plainService(t *testing.T, serve func(conn net.Conn, r *http.Request)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn, r)
				}
			}()
		}
	}()
	return l
}

func launchService(t *testing.T, l net.Listener) *harness {
	cfg := testSettings()
	cfg.Backend, cfg.BackendKind = l.Addr().String(), settings.BackendService
	return launch(t, Options{Settings: cfg}).up(t)
}

func (b *harness) call(t *testing.T, id string, headers ...*pb.Header) *pb.CallReply {
	t.Helper()
	r, err := b.client.Call(t.Context(), &pb.CallRequest{
		Attempt: attempt(id), Method: "GET", Uri: "/v1/x?y=1", Headers: headers, DeadlineMs: 5000,
	})
	assert.NilError(t, err)
	return r
}

// A service reads a GET and closes without an answer. fasthttp would retry it
// up to five times; it must run once, and is reported as may have run.
func TestUnansweredCallRunsOnce(t *testing.T) {
	var runs atomic.Int32
	l := plainService(t, func(net.Conn, *http.Request) { runs.Add(1) })
	b := launchService(t, l)
	refusal := b.call(t, "a").GetRefusal()
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_SERVER_LOST)
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	assert.Assert(t, !refusal.GetCrashedAlone())
	assert.Equal(t, b.call(t, "a").GetRefusal().GetReason(), pb.Reason_REASON_DUPLICATE)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, runs.Load(), int32(1))
}

// The service refuses connections, so the request has provably not run.
func TestRefusedDialIsNotRun(t *testing.T) {
	l := plainService(t, func(net.Conn, *http.Request) {})
	b := launchService(t, l)
	l.Close()
	refusal := b.call(t, "a").GetRefusal()
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_SERVER_DOWN)
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
}

// The service's process ends during a call that ran alone.
func TestServiceCrashBlamesLoneCall(t *testing.T) {
	var l net.Listener
	l = plainService(t, func(net.Conn, *http.Request) { l.Close() })
	refusal := launchService(t, l).call(t, "a").GetRefusal()
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	assert.Assert(t, refusal.GetCrashedAlone())
}

// The caller cancels while the service works. The service sees its connection
// close, and the slot is freed.
func TestCancelledCallClosesConnection(t *testing.T) {
	began, closed := make(chan struct{}), make(chan struct{})
	l := plainService(t, func(conn net.Conn, _ *http.Request) {
		close(began)
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	b := launchService(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := b.client.Call(ctx, &pb.CallRequest{Attempt: attempt("a"), Method: "POST", Uri: "/", Body: []byte("x")})
	assert.Assert(t, err != nil)
	<-closed
	eventually(t, "slot free", func() bool { return b.agent.Load().GetUsed() == 0 })
}

func TestCallDeadline(t *testing.T) {
	l := plainService(t, func(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) })
	b := launchService(t, l)
	b.renew(t, "a")
	r, err := b.client.Call(t.Context(), &pb.CallRequest{Attempt: attempt("a"), Method: "GET", Uri: "/", DeadlineMs: 100})
	assert.NilError(t, err)
	assert.Equal(t, r.GetRefusal().GetReason(), pb.Reason_REASON_DEADLINE)
	assert.Equal(t, r.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
}

func TestCallHeaders(t *testing.T) {
	var got *http.Request
	l := plainService(t, func(conn net.Conn, r *http.Request) {
		got = r
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nX-Answer: 1\r\nX-Hop: 1\r\nConnection: X-Hop, close\r\nContent-Length: 2\r\n\r\nok")
	})
	b := launchService(t, l)
	r := b.call(t, "req-1",
		&pb.Header{Key: "Host", Value: []byte("gallery.example")}, &pb.Header{Key: "X-Ask", Value: []byte("1")},
		&pb.Header{Key: "X-Mine", Value: []byte("1")}, &pb.Header{Key: "Connection", Value: []byte("X-Mine")},
		&pb.Header{Key: "jayford-request", Value: []byte("forged")}, &pb.Header{Key: "Content-Length", Value: []byte("9")})
	assert.Equal(t, r.GetStatus(), uint32(201))
	assert.Equal(t, string(r.GetBody()), "ok")
	assert.Equal(t, got.Host, "gallery.example")
	assert.Equal(t, got.RequestURI, "/v1/x?y=1")
	assert.DeepEqual(t, got.Header["Jayford-Request"], []string{"req-1"})
	assert.Equal(t, got.Header.Get("X-Ask"), "1")
	assert.Equal(t, got.Header.Get("X-Mine"), "")
	names := map[string]string{}
	for _, h := range r.GetHeaders() {
		names[h.GetKey()] = string(h.GetValue())
	}
	assert.Equal(t, names["X-Answer"], "1")
	assert.Equal(t, names["X-Hop"]+names["Connection"], "")
}

// Guards against calls to a service that has asked for a pause, also those that waited for
// a slot when it did.
func TestPausedServiceGetsNoCalls(t *testing.T) {
	const pause = 500 * time.Millisecond
	var arrivals atomic.Int32
	l := plainService(t, func(conn net.Conn, _ *http.Request) {
		status := "200 OK"
		if arrivals.Add(1) == 1 {
			status = "503 Service Unavailable\r\nRetry-After: 0.5"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
	})
	b := launchService(t, l)
	began := time.Now()
	assert.Equal(t, b.call(t, "a").GetStatus(), uint32(http.StatusServiceUnavailable))
	refusal := b.call(t, "b").GetRefusal()
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_PAUSED)
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	assert.Assert(t, refusal.GetRetryAfterMs() > 0 && refusal.GetRetryAfterMs() <= 500)
	assert.Equal(t, arrivals.Load(), int32(1))
	time.Sleep(time.Until(began.Add(pause + 100*time.Millisecond)))
	assert.Equal(t, b.call(t, "c").GetStatus(), uint32(http.StatusOK))
	assert.Equal(t, b.agent.Load().GetUsed(), uint32(0))
}
