package grant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "jayford.example/jayford/api/jayfordv1"
)

// machine drives a Core by random messages and keeps what it was told.
type machine struct {
	c       *Core
	now     time.Duration
	seq     uint64
	starts  map[Key]int
	entries map[Key]string
	waiting map[Key]bool
	running map[Key]bool
	sent    map[Key]bool
	next    int
}

func (m *machine) key(t *rapid.T) Key {
	n := rapid.IntRange(0, m.next).Draw(t, "key")
	return Key{fmt.Sprint("r", n), 1, pb.Phase(1 + n%3)}
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
		t.Fatalf("%v: sent %v, told %v", a.Key, m.sent[a.Key], a.Refusal.Verdict)
	}
	if !a.Refusal.CrashedAlone {
		return
	}
	for k := range m.running {
		if k != a.Key && m.sent[k] {
			t.Fatalf("%v blamed beside %v", a.Key, k)
		}
	}
}

func (m *machine) reserve(t *rapid.T) {
	m.next++
	k := m.key(t)
	r := Request{
		Key: k, Entry: fmt.Sprintf("e%d#%d", rapid.IntRange(0, 2).Draw(t, "entry"), rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Organisation: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "org")),
		Exclusive:    rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
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

func (m *machine) start(t *rapid.T) {
	k := m.key(t)
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
	delete(m.running, k)
	m.c.Done(m.now, k, time.Duration(rapid.IntRange(0, 1000).Draw(t, "keep"))*ms)
}

func (m *machine) renew(t *rapid.T) {
	m.seq++
	var list []Attempt
	for range rapid.IntRange(0, 6).Draw(t, "listed") {
		list = append(list, m.key(t).Attempt())
	}
	m.c.Renew(m.now, fmt.Sprintf("e%d#%d", rapid.IntRange(0, 2).Draw(t, "entry"), rapid.IntRange(1, 2).Draw(t, "incarnation")), m.seq, list)
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
		t.Fatalf("%d exclusive among %d", exclusive, total)
	}
}

// drained lets all entries fall silent: nothing may stay but what the server
// still has to confirm.
func (m *machine) drained(t *rapid.T) {
	// The lapse, and one grace after a pause.
	for range 40 {
		m.now += lapse / 10
		m.c.Tick(m.now)
		m.take(t)
	}
	for k := range m.running {
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

func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			c: New(testConfig()), starts: map[Key]int{}, entries: map[Key]string{},
			waiting: map[Key]bool{}, running: map[Key]bool{}, sent: map[Key]bool{},
		}
		m.c.ServerUp(0)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": m.reserve, "reserve2": m.reserve, "start": m.start, "start2": m.start,
			"send": m.send, "done": m.done, "renew": m.renew,
			"release": func(t *rapid.T) { k := m.key(t); m.c.Release(m.now, k, m.entries[k]) },
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * ms
				m.c.Tick(m.now)
			},
			"pause": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1000, 5000).Draw(t, "pause")) * ms
			},
			"broken":  func(t *rapid.T) { m.c.Broken(m.now, m.key(t)) },
			"sound":   func(*rapid.T) { m.c.ServerSound(m.now, m.now) },
			"down":    func(*rapid.T) { m.c.ServerDown(m.now) },
			"up":      func(*rapid.T) { m.c.ServerUp(m.now) },
			"up2":     func(*rapid.T) { m.c.ServerUp(m.now) },
			"leaving": func(t *rapid.T) { m.c.SetLeaving(m.now, rapid.Bool().Draw(t, "leaving")) },
			"":        m.check,
		})
		m.c.SetLeaving(m.now, false)
		m.drained(t)
	})
}
