package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"jayford.example/jayford/internal/engine"
)

// chunksPerSecond sets the grain of a transfer: one chunk a hundredth of what
// the link carries in a second.
const chunksPerSecond = 100

// Headers of a KV transfer. One byte of the body stands for a chunk.
const (
	headerKVChunks = "Kv-Chunks"
	headerKVBytes  = "Kv-Bytes"
)

// link paces transfers; its rate is shared by all that run at once.
type link struct {
	limiter *rate.Limiter
	chunk   int
}

func newLink(bytesPerSecond int64) *link {
	chunk := max(1, int(bytesPerSecond/chunksPerSecond))
	l := rate.NewLimiter(rate.Limit(bytesPerSecond), chunk)
	l.AllowN(time.Now(), chunk) // no burst: an idle link is no faster
	return &link{limiter: l, chunk: chunk}
}

// wait takes the time of a chunk, or of what is left if that is less.
func (k *link) wait(ctx context.Context, left int64) error {
	return k.limiter.WaitN(ctx, int(min(int64(k.chunk), left)))
}

// sendKV answers a pull: it streams a byte per chunk at the link's pace.
func (l *life) sendKV(c *fasthttp.RequestCtx, name string) {
	j, err := l.pull(name)
	if err != nil {
		fail(c, err)
		return
	}
	total := int64(j.tokens) * l.e.opts.KVBytesPerToken
	chunk := int64(l.out.chunk)
	c.Response.Header.Set(headerKVBytes, strconv.FormatInt(total, 10))
	c.Response.Header.Set(headerKVChunks, strconv.FormatInt((total+chunk-1)/chunk, 10))
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		l.pulled(j, l.sendChunks(w, j, total) == nil)
	})
}

func (l *life) sendChunks(w *bufio.Writer, j *job, total int64) error {
	for left := total; left > 0; left -= int64(l.out.chunk) {
		l.e.gate.wait(j.ctx)
		l.e.linkGate.wait(j.ctx)
		if err := l.out.wait(j.ctx, left); err != nil {
			return err
		}
		if err := w.WriteByte('.'); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// importKV pulls a result from the prefill engine at source.
func (l *life) importKV(j *job, source, name string) error {
	dialer := net.Dialer{Timeout: l.e.opts.TransferTimeout}
	conn, err := dialer.DialContext(j.ctx, "tcp", source)
	if err != nil {
		return transferError(err)
	}
	defer conn.Close()
	defer context.AfterFunc(j.ctx, func() { _ = conn.Close() })()
	client := fasthttp.HostClient{
		Addr:                      source,
		Dial:                      func(string) (net.Conn, error) { return conn, nil },
		StreamResponseBody:        true,
		ReadTimeout:               l.e.opts.TransferTimeout,
		MaxIdemponentCallAttempts: 1,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + source + engine.PathKV + name)
	req.SetConnectionClose()
	if err := client.Do(req, resp); err != nil {
		return transferError(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() == fasthttp.StatusGone {
		return eris.Wrap(engine.ErrKVGone, name)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Wrapf(engine.ErrTransfer, "status %d", resp.StatusCode())
	}
	left, err := strconv.ParseInt(string(resp.Header.Peek(headerKVBytes)), 10, 64)
	if err != nil {
		return transferError(err)
	}
	chunks, err := strconv.ParseInt(string(resp.Header.Peek(headerKVChunks)), 10, 64)
	if err != nil {
		return transferError(err)
	}
	return l.receive(j, resp.BodyStream(), chunks, left)
}

// receive reads the chunks, which share this engine's link as well.
func (l *life) receive(j *job, body io.Reader, chunks, left int64) error {
	grain := make([]byte, 1)
	for ; chunks > 0; chunks-- {
		if _, err := io.ReadFull(body, grain); err != nil {
			return transferError(err)
		}
		size := (left + chunks - 1) / chunks
		for left -= size; size > 0; size -= int64(l.in.chunk) {
			if err := l.in.wait(j.ctx, size); err != nil {
				return transferError(err)
			}
		}
	}
	return nil
}

func transferError(err error) error {
	return eris.Wrap(fmt.Errorf("%w: %w", engine.ErrTransfer, err), "pull")
}
