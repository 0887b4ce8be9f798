package test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/crowd"
)

const (
	// entryMemory is what an entry may take, and entrySoftLimit the runtime's limit that its process
	// is started with.
	entryMemory    = 256 << 20
	entrySoftLimit = "192MiB"
	crowdTime      = 3 * time.Second
	crowdSample    = 50 * time.Millisecond
	ordinaryTries  = 5
)

// checkEntryCrowd lets callers of one kind loose on an entry.
func checkEntryCrowd(t *testing.T, callers int, kind crowd.Kind) {
	t.Helper()
	listen, operator := freeAddress(t), freeAddress(t)
	p := &process{t: t, name: "dev", path: filepath.Join(binaries, "jayfordd"), env: []string{"GOMEMLIMIT=" + entrySoftLimit}, args: []string{
		"dev", "--listen", listen, "--operator", operator,
	}}
	p.start()
	t.Cleanup(p.kill)
	eventually(t, 20*time.Second, "an answer", func() error { return completeOnce(listen) })
	c := crowd.Start(listen, callers, kind)
	defer c.End()
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(crowdSample) {
		checkEntryUsage(t, p, listen)
	}
	var err error
	for range ordinaryTries {
		if err = completeOnce(listen); err == nil {
			break
		}
		time.Sleep(time.Second)
	}
	assert.NilError(t, err)
	u := checkEntryUsage(t, p, listen)
	t.Logf("%.1f MB resident at the most, %d descriptors", float64(u.PeakResident)/(1<<20), u.Descriptors)
}

func checkEntryUsage(t *testing.T, p *process, listen string) crowd.Usage {
	t.Helper()
	u, err := crowd.Measure(p.cmd.Process.Pid, listen)
	assert.NilError(t, err, "the process has ended")
	assert.Assert(t, u.PeakResident+u.Unread <= entryMemory, "%d bytes of memory, %d of them unread", u.PeakResident+u.Unread, u.Unread)
	return u
}

// completeOnce sends an ordinary completion.
func completeOnce(listen string) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+listen+"/v1/completions", "application/json", strings.NewReader(`{"model":"small-model","prompt":"hello there","max_tokens":2}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return err
}

var entryTarget = crowd.Target{Path: "/v1/completions", Host: "entry.example"}

// Guards against memory that a head's Content-Length alone allocates in an entry.
func TestCrowdAtTheEntryThatAnnouncesBodies(t *testing.T) {
	const length = 4_000_000
	checkEntryCrowd(t, 120, crowd.Unfinished(entryTarget, length, length))
}

// Guards against chunked bodies at an entry that grow without a common bound.
func TestCrowdAtTheEntryOfUnfinishedChunkedBodies(t *testing.T) {
	checkEntryCrowd(t, 120, crowd.UnfinishedChunks(entryTarget, 3_900_000, 64<<10))
}

// Guards against heads at an entry whose short lines cost many times their bytes.
func TestCrowdAtTheEntryOfShortHeaderLines(t *testing.T) {
	checkEntryCrowd(t, 900, crowd.HeadWithoutBody(entryTarget, crowd.Repeated("a:\r\n", 15<<10)))
}
