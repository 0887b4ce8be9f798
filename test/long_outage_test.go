package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/settings"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const (
	// shortTerm is the lease term; the outage lasts for nine terms.
	shortTerm = time.Second
	// longOutage exceeds all bounds of the feed except the growing interval of
	// direct calls; tests of package feed step that through an hour.
	longOutage = 9 * time.Second
	// keyRefusalBound bounds the refusal of a key that can't be claimed.
	keyRefusalBound = 3 * time.Second
	// feedCalls a second are one and a half for each of the 12 processes.
	feedCalls = 18
	// otherCalls a second: three candidates each make thirty calls in a lease term,
	// which is 15 s in production, and there are a few claims and status writes.
	otherCalls = 110
	// meterInterval is the interval at which the platform's meter is read.
	meterInterval = 250 * time.Millisecond
)

// meterSample is the platform's count of calls at a time: those of the feed, and
// those of leases, claims and status.
type meterSample struct {
	at           time.Time
	feed, others uint64
}

// watchMeter reads the platform's meter until done is closed. The returned function
// waits for that and returns the samples.
func (c *cluster) watchMeter(done <-chan struct{}) func() []meterSample {
	var samples []meterSample
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(meterInterval):
			}
			var m platformstandin.Meter
			if getJSON(c.platformAddress, "/meter", &m) == nil {
				samples = append(samples, meterSample{time.Now(), m.List + m.Watch + m.Instances, m.Get + m.Put + m.Delete})
			}
		}
	})
	return func() []meterSample {
		wg.Wait()
		return samples
	}
}

// peak returns the highest number of calls of each kind in a second between two
// times.
func peak(samples []meterSample, from, to time.Time) meterSample {
	var most meterSample
	for i, a := range samples {
		for _, b := range samples[i:] {
			if a.at.After(from) && b.at.Before(to) && b.at.Sub(a.at) <= time.Second+meterInterval/2 {
				most.feed = max(most.feed, b.feed-a.feed)
				most.others = max(most.others, b.others-a.others)
			}
		}
	}
	return most
}

// The platform hangs and then refuses for many lease terms. By the end all backoffs
// except the interval of direct calls have grown to their bounds, as in an outage of
// an hour. Requests are served; a keyed call is refused as not run within its bound
// and can be sent again. After the outage an operator's change must be in force
// everywhere within the bound, keys be claimed and the lease renewed or acquired,
// without a thundering herd of calls to the platform.
func TestLongOutageEndsWithoutStampede(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 6, prefill: 1, decode: 2, services: 3, entry: func(e *settings.Entry) {
		shortIntervals(e)
		e.Capacity.LeaseTerm = settings.Duration(shortTerm)
	}})
	c.leader(nil)
	s := c.watchStatus()
	done := make(chan struct{})
	meter := c.watchMeter(done)
	h, wg := c.streamLoad("outage", 50*time.Millisecond, done)
	time.Sleep(2 * time.Second)
	calm := time.Now()
	c.platformControl(platformstandin.Control{Outage: platformstandin.OutageHang})
	keyed := &history{}
	var keys sync.WaitGroup
	for i := range 12 {
		keys.Go(func() {
			time.Sleep(time.Duration(i) * longOutage / 12)
			c.book(keyed, c.entries[i%len(c.entries)], fmt.Sprint("/book/long-", i), fmt.Sprint("long-", i))
		})
	}
	time.Sleep(longOutage / 2)
	c.platformControl(platformstandin.Control{Outage: platformstandin.OutageRefuse})
	time.Sleep(longOutage / 2)
	back := time.Now()
	c.platformControl(platformstandin.Control{})
	_, code := c.jayfordctl("label", contendedServer, labelSerial+"=after")
	assert.Check(t, code == ctl.ExitOK, "exit code %d", code)
	inForce := c.waitSerial("after", back)
	time.Sleep(4*time.Second - time.Since(back))
	end := time.Now()
	keys.Wait()
	again := &history{}
	for i := range 12 {
		c.book(again, c.entries[i%len(c.entries)], fmt.Sprint("/book/long-", i), fmt.Sprint("long-", i))
	}
	close(done)
	wg.Wait()
	s.end()
	s.checkMonotonic(t, nil)
	leads, ok := c.leaseWritten(back)
	assert.Check(t, ok && leads <= 4*shortTerm, "the lease isn't held again")
	samples := meter()
	before, during, after := peak(samples, s.begun, calm), peak(samples, calm, back), peak(samples, back, end)
	report(t, "platform out for %s, lease term %s: %s; keys refused %s, sent again %s; change in force everywhere after %s, the lease after %s; calls of %d processes in the busiest second, feed and others: %d and %d before, %d and %d during, %d and %d after",
		longOutage, shortTerm, h.describe(), keyed.outcomes(), again.outcomes(), inForce.Round(10*time.Millisecond), leads.Round(10*time.Millisecond), len(c.nodes()),
		before.feed, before.others, during.feed, during.others, after.feed, after.others)
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: len(h.all())}, "%s", h.describe())
	for _, a := range keyed.all() {
		assert.Check(t, a.whole || a.verdict == "not-run" && a.retryAfter != "", "%d %s %s: %s", a.status, a.code, a.verdict, a.text)
		assert.Check(t, a.took <= keyRefusalBound, "a key was refused after %s", a.took)
	}
	c.checkAtMostOnce(keyed)
	c.checkAtMostOnce(again)
	assert.Equal(t, again.tally(), tally{whole: 12}, "%s", again.describe())
	assert.Check(t, inForce <= inForceBound)
	for when, p := range map[string]meterSample{"during the outage": during, "after it": after} {
		assert.Check(t, p.feed <= feedCalls, "%d calls of the feed in a second %s", p.feed, when)
		assert.Check(t, p.others <= otherCalls, "%d calls of leases, claims and status in a second %s", p.others, when)
	}
	c.waitFree(freeBound)
}

// waitSerial waits until all processes show the serial as a label, and returns the
// time elapsed since since.
func (c *cluster) waitSerial(serial string, since time.Time) time.Duration {
	c.t.Helper()
	for _, n := range c.nodes() {
		eventually(c.t, inForceBound, n.id+" has the change", func() error {
			var dump configDump
			if err := getJSON(n.operator, operator.PathState, &dump); err != nil {
				return err
			}
			if got := dump.serials().label; got != serial {
				return errorf("serial %q", got)
			}
			return nil
		})
	}
	return time.Since(since)
}

// leaseWritten returns how long after since the lease was first written.
func (c *cluster) leaseWritten(since time.Time) (time.Duration, bool) {
	c.t.Helper()
	var writes []platformstandin.Accepted
	assert.NilError(c.t, getJSON(c.platformAddress, "/record", &writes))
	for _, w := range writes {
		if w.Kind == object.KindLease && w.Time.After(since) {
			return w.Time.Sub(since), true
		}
	}
	return 0, false
}
