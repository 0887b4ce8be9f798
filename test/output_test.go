package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endableOutput gives the process a pipe as output and returns a function that ends its reader.
func (p *process) endableOutput(t *testing.T) (end func()) {
	t.Helper()
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	t.Cleanup(func() { _ = w.Close() })
	p.output = w
	return sync.OnceFunc(func() { _ = r.Close() })
}

// Guards against entries and agents that are ended by SIGPIPE, with what they run, as the readers
// of their output have ended.
func TestRequestsSurviveTheEndOfTheLogsReaders(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, services: 1})
	var endReaders []func()
	for _, n := range c.nodes() {
		assert.Assert(t, n.terminate(20*time.Second), "%s didn't stop", n.id)
		endReaders = append(endReaders, n.endableOutput(t))
		n.start()
	}
	c.waitReady(c.entries[0])
	h := &history{}
	const requests, pause = 60, 30 * time.Millisecond
	wg := c.load(h, requests, pause, func(i int) request {
		return request{entry: c.entries[0], prompt: fmt.Sprint("output ", i), maxTokens: 5 + i%20, stream: i%3 == 0}
	})
	time.Sleep(requests * pause / 3)
	for _, end := range endReaders {
		end()
	}
	wg.Wait()
	h.add(exchange(context.Background(), request{entry: c.entries[0]}, http.MethodPost, "/book/1", nil))
	for _, n := range c.nodes() {
		assert.Check(t, n.terminate(20*time.Second), "%s didn't stop", n.id)
		assert.Check(t, n.exitCode() == 0, "%s: %s", n.id, n.cmd.ProcessState)
	}
	assert.Equal(t, h.tally(), tally{whole: requests + 1}, "%s", h.describe())
}

// Guards against a dev system that is ended by SIGPIPE as the reader of its output has ended.
func TestDevSurvivesTheEndOfItsReader(t *testing.T) {
	listen := freeAddress(t)
	p := &process{t: t, name: "dev", path: filepath.Join(binaries, "jayfordd"), args: []string{
		"dev", "--log-level", "debug", "--listen", listen, "--operator", freeAddress(t),
	}}
	p.endableOutput(t)()
	p.start()
	defer p.kill()
	eventually(t, 20*time.Second, "dev", func() error {
		resp, err := httpClient.Get("http://" + listen + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	a := exchange(context.Background(), request{entry: &node{listen: listen}}, http.MethodGet, "/faces/42", nil)
	assert.Equal(t, a.status, http.StatusOK, "%v", a.err)
	assert.Assert(t, p.terminate(20*time.Second))
	assert.Equal(t, p.exitCode(), 0, "%s", p.cmd.ProcessState)
}
