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

// chunksPerSecond sets the chunk size of a transfer: the bytes that the link
// carries in a hundredth of a second.
const chunksPerSecond = 100

// Headers of a KV transfer. Each byte of the body represents one chunk.
const (
	headerKVChunks = "Kv-Chunks"
	headerKVBytes  = "Kv-Bytes"
)

// link limits the rate of transfers. Concurrent transfers share the rate.
type link struct {
	limiter *rate.Limiter
	chunk   int
}

func newLink(bytesPerSecond int64) *link {
	chunk := max(1, int(bytesPerSecond/chunksPerSecond))
	l := rate.NewLimiter(rate.Limit(bytesPerSecond), chunk)
	l.AllowN(time.Now(), chunk) // no burst after idle time
	return &link{limiter: l, chunk: chunk}
}

// wait blocks for the transfer time of one chunk, or of left bytes if that is less.
func (k *link) wait(ctx context.Context, left int64) error {
	return k.limiter.WaitN(ctx, int(min(int64(k.chunk), left)))
}

// sendKV serves a pull: it streams one byte per chunk at the link's rate.
func (p *process) sendKV(c *fasthttp.RequestCtx, name string) {
	j, err := p.beginPull(name)
	if err != nil {
		fail(c, err)
		return
	}
	total := int64(j.tokens) * p.e.opts.KVBytesPerToken
	chunk := int64(p.out.chunk)
	c.Response.Header.Set(headerKVBytes, strconv.FormatInt(total, 10))
	c.Response.Header.Set(headerKVChunks, strconv.FormatInt((total+chunk-1)/chunk, 10))
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		p.endPull(j, p.sendChunks(w, j, total) == nil)
	})
}

func (p *process) sendChunks(w *bufio.Writer, j *job, total int64) error {
	for left := total; left > 0; left -= int64(p.out.chunk) {
		p.e.gate.wait(j.ctx)
		p.e.linkGate.wait(j.ctx)
		if err := p.out.wait(j.ctx, left); err != nil {
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
func (p *process) importKV(j *job, source, name string) error {
	dialer := net.Dialer{Timeout: p.e.opts.TransferTimeout}
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
		ReadTimeout:               p.e.opts.TransferTimeout,
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
	return p.receive(j, resp.BodyStream(), chunks, left)
}

// receive reads the chunks at the rate of this engine's incoming link.
func (p *process) receive(j *job, body io.Reader, chunks, left int64) error {
	buf := make([]byte, 1)
	for ; chunks > 0; chunks-- {
		if _, err := io.ReadFull(body, buf); err != nil {
			return transferError(err)
		}
		size := (left + chunks - 1) / chunks
		for left -= size; size > 0; size -= int64(p.in.chunk) {
			if err := p.in.wait(j.ctx, size); err != nil {
				return transferError(err)
			}
		}
	}
	return nil
}

func transferError(err error) error {
	return eris.Wrap(fmt.Errorf("%w: %w", engine.ErrTransfer, err), "pull")
}
