package grant

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "jayford.example/jayford/api/jayfordv1"
)

// machine drives a Core with random messages and tracks the expected state.
type machine struct {
	c       *Core
	now     time.Duration
	seq     uint64
	starts  map[Key]int
	entries map[Key]string
	waiting map[Key]bool
	running map[Key]bool
	sent    map[Key]bool
	stopped map[Key]bool
	next    int
	keys    []Key
}

// rarely is true in less than a tenth of its draws; rapid favours small
// numbers.
func rarely(t *rapid.T, label string) bool {
	return rapid.IntRange(0, 15).Draw(t, label) == 11
}

// entry draws one of three entries, rarely a restarted one.
func entry(t *rapid.T) string {
	incarnation := 1
	if rarely(t, "restarted") && rarely(t, "again") {
		incarnation = 2
	}
	return fmt.Sprintf("e%d#%d", rapid.IntRange(0, 2).Draw(t, "entry"), incarnation)
}

// fresh returns an unused key. Its counterpart key returns one of the last ten,
// so that most messages meet a grant and some meet one that has ended.
func (m *machine) fresh(t *rapid.T) Key {
	m.next++
	k := Key{fmt.Sprint("r", m.next), 1, pb.Phase(rapid.IntRange(1, 3).Draw(t, "phase"))}
	m.keys = append(m.keys, k)
	return k
}

func (m *machine) key(t *rapid.T) Key {
	if len(m.keys) == 0 {
		return Key{"none", 1, pb.Phase_PHASE_CALL}
	}
	last := m.keys[max(0, len(m.keys)-10):]
	return rapid.SampledFrom(last).Draw(t, "key")
}

func (m *machine) take(t *rapid.T) {
	for _, a := range m.c.Ready() {
		switch a.Kind {
		case Admit, Refuse:
			if !m.waiting[a.Key] {
				t.Fatalf("%v answered twice", a.Key)
			}
			delete(m.waiting, a.Key)
		case Stop:
			if !m.running[a.Key] {
				t.Fatalf("%v stopped but not running", a.Key)
			}
			m.stopped[a.Key] = true
		case Lost:
			m.checkLost(t, a)
			delete(m.running, a.Key)
		case Drop:
		}
	}
}

func (m *machine) checkLost(t *rapid.T, a Action) {
	notRun := a.Refusal.Verdict == pb.Verdict_VERDICT_NOT_RUN
	if notRun == m.sent[a.Key] {
		t.Fatalf("%v: sent %v, reported %v", a.Key, m.sent[a.Key], a.Refusal.Verdict)
	}
	if !a.Refusal.CrashedAlone {
		return
	}
	for k := range m.running {
		if k != a.Key && m.sent[k] {
			t.Fatalf("%v blamed as alone while %v was running", a.Key, k)
		}
	}
}

func (m *machine) reserve(t *rapid.T) {
	k := m.fresh(t)
	if rarely(t, "used") {
		k = m.key(t)
	}
	r := Request{
		Key: k, Entry: entry(t),
		Organisation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "org")),
		Exclusive:    rarely(t, "exclusive"),
		Batch:        rapid.Bool().Draw(t, "batch"),
		Wait:         time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms,
		Idle:         time.Duration(rapid.IntRange(1, 3000).Draw(t, "idle")) * ms,
	}
	switch o, _ := m.c.Reserve(m.now, r); o {
	case Waiting:
		m.waiting[k] = true
		m.entries[k] = r.Entry
	case Granted:
		m.entries[k] = r.Entry
	case Refused:
	}
}

func (m *machine) start(t *rapid.T) { m.startKey(t, m.key(t)) }

// run does what entries do most: reserve, start and send.
func (m *machine) run(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "runs") {
		m.reserve(t)
		m.check(t)
		k := m.keys[len(m.keys)-1]
		m.startKey(t, k)
		if m.c.Send(m.now, k) {
			m.sent[k] = true
		}
	}
}

func (m *machine) startKey(t *rapid.T, k Key) {
	if m.c.Start(m.now, k, m.entries[k]) != nil {
		return
	}
	m.starts[k]++
	if m.starts[k] > 1 {
		t.Fatalf("%v started twice", k)
	}
	m.running[k] = true
}

func (m *machine) send(t *rapid.T) {
	if k := m.key(t); m.c.Send(m.now, k) {
		m.sent[k] = true
	}
}

func (m *machine) done(t *rapid.T) {
	k := m.key(t)
	if !m.running[k] {
		return
	}
	m.c.Done(m.now, k, time.Duration(rapid.IntRange(0, 1000).Draw(t, "keep"))*ms)
	m.take(t)
	delete(m.running, k)
}

func (m *machine) renew(t *rapid.T) {
	m.seq++
	var list []Attempt
	for range rapid.IntRange(0, 6).Draw(t, "listed") {
		list = append(list, m.key(t).Attempt())
	}
	m.c.Renew(m.now, entry(t), m.seq, list)
}

func (m *machine) check(t *rapid.T) {
	m.take(t)
	held := make(map[pb.Phase]int)
	total, exclusive := 0, 0
	for k, g := range m.c.grants {
		if g.state == waiting && !m.waiting[k] {
			t.Fatalf("%v waits but was answered", k)
		}
		if !g.holdsSlot() {
			continue
		}
		held[k.Phase]++
		total++
		if g.Exclusive {
			exclusive++
		}
	}
	for p, n := range held {
		if n > m.c.cfg.Slots || n != m.c.used[p] {
			t.Fatalf("phase %v holds %d, counted %d", p, n, m.c.used[p])
		}
	}
	if exclusive > 0 && total != 1 {
		t.Fatalf("%d exclusive attempts among %d that hold a slot", exclusive, total)
	}
}

// drained stops all renewals: every grant must end, except those that only wait
// for the confirmation of the server.
func (m *machine) drained(t *rapid.T) {
	// Long enough for a lapse and one grace time after a pause.
	m.take(t)
	for range 40 {
		m.now += lapse / 10
		m.c.Tick(m.now)
		m.take(t)
	}
	for k := range m.running {
		if !m.stopped[k] {
			t.Fatalf("%v runs on though its entry is gone", k)
		}
		m.c.Done(m.now, k, 0)
	}
	m.take(t)
	if n := len(m.c.grants); n != 0 {
		t.Fatalf("%d grants left: %+v", n, m.c.Views())
	}
	if len(m.waiting) != 0 || m.c.totalUsed() != 0 || m.c.exclusive != nil {
		t.Fatalf("left: waiting %v, used %v", m.waiting, m.c.used)
	}
	for _, q := range m.c.queues {
		if len(q) != 0 {
			t.Fatal("a queue isn't empty")
		}
	}
}

// TestMain raises the number of random runs: each takes below 0.1 ms, and most
// seeded faults were found only after some hundreds.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("5000")
	}
	os.Exit(m.Run())
}

func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			c: New(testConfig()), starts: map[Key]int{}, entries: map[Key]string{},
			waiting: map[Key]bool{}, running: map[Key]bool{},
			sent: map[Key]bool{}, stopped: map[Key]bool{},
		}
		m.c.ServerUp(0)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": m.reserve, "start": m.start, "run": m.run, "run2": m.run,
			"send": m.send, "done": m.done, "renew": m.renew,
			"release": func(t *rapid.T) { k := m.key(t); m.c.Release(m.now, k, m.entries[k]) },
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * ms
				m.c.Tick(m.now)
			},
			"pause": func(t *rapid.T) {
				if rarely(t, "long") {
					m.now += time.Duration(rapid.IntRange(1000, 5000).Draw(t, "pause")) * ms
				}
			},
			"broken":  func(t *rapid.T) { m.c.Broken(m.now, m.key(t)) },
			"sound":   func(*rapid.T) { m.c.ServerHealthy(m.now, m.now, pb.Reason_REASON_CONNECTION_LOST) },
			"down":    func(*rapid.T) { m.c.ServerDown(m.now, true) },
			"up":      func(*rapid.T) { m.c.ServerUp(m.now) },
			"up2":     func(*rapid.T) { m.c.ServerUp(m.now) },
			"leaving": func(t *rapid.T) { m.c.SetLeaving(m.now, rapid.Bool().Draw(t, "leaving")) },
			"":        m.check,
		})
		m.c.SetLeaving(m.now, false)
		m.drained(t)
	})
}
