package blame

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const runTime = 60 * time.Millisecond

// lose records that the server was lost under the requests at a time, after runTime.
func lose(l *Ledger, at time.Time, server uint64, requests ...uint64) {
	for _, fp := range requests {
		l.RecordLoss(Loss{Request: fp, Server: server, Began: at.Add(-runTime), Lost: at}, at)
	}
}

func after(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func isConvicted(l *Ledger, fp uint64, now time.Time) bool {
	return l.Judge(fp, now).Convicted
}

func TestThirdLossConvicts(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 3 {
		assert.Assert(t, !isConvicted(l, 1, after(i)))
		lose(l, after(i), uint64(i), 1)
	}
	assert.Equal(t, l.Judge(1, after(2)), Judgement{Unsettled: DefaultSettleTime})
	assert.Assert(t, isConvicted(l, 1, after(3)))
	assert.Equal(t, len(l.Convictions(8, after(3))), 3)
	assert.Assert(t, isConvicted(l, 1, after(2).Add(DefaultRefuseFor-time.Second)))
	assert.Assert(t, !isConvicted(l, 1, after(2).Add(DefaultRefuseFor)))
	assert.Equal(t, l.Len(), 0)
}

// Guards against a conviction that a starting gateway doesn't learn because it is minutes
// old, or that is renewed whenever it is reported.
func TestConvictionIsLearnedLate(t *testing.T) {
	for age, want := range map[time.Duration]bool{DefaultRefuseFor / 2: true, DefaultRefuseFor + time.Second: false} {
		l := NewLedger(LedgerOptions{})
		now := start.Add(age)
		for i := range uint64(3) {
			lost := start.Add(time.Duration(i) * time.Second / 4)
			assert.Assert(t, l.RecordLoss(Loss{Request: 1, Server: i, Began: lost, Lost: lost}, now))
		}
		assert.Equal(t, len(l.Convictions(8, now)) == 3, want, "%s", age)
		assert.Equal(t, isConvicted(l, 1, now), want, "%s", age)
		assert.Assert(t, !isConvicted(l, 1, start.Add(DefaultRefuseFor+time.Second)))
	}
}

// Guards against counting a loss twice that several gateways report.
func TestRepeatedReportCountsOnce(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 5 {
		lose(l, after(i), 7, 1)
	}
	assert.Assert(t, !isConvicted(l, 1, after(5)))
}

// Guards against the conviction of a popular request that was running on many servers
// when a zone or a network failed.
func TestLossesAtOnceCountOnce(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for server := range uint64(20) {
		lose(l, start.Add(time.Duration(server)*time.Millisecond), server, 1)
	}
	assert.Assert(t, !isConvicted(l, 1, after(1)))
}

// Guards against the conviction of requests that were lost on the same servers as the one
// that crashes them. It is told from them by the first server that it crashes without them.
func TestOthersOnTheSameServersAreAbsolved(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 3 {
		lose(l, after(i), uint64(i), 1, 2, 3)
	}
	for fp := range uint64(4) {
		assert.Assert(t, !isConvicted(l, fp, after(4)))
	}
	lose(l, after(5), 9, 2)
	assert.Assert(t, isConvicted(l, 2, after(6)))
	lose(l, after(7), 10, 1, 2)
	for i, fp := range []uint64{1, 3} {
		assert.Assert(t, !isConvicted(l, fp, after(8)), "request %d", i)
		// What it loses by itself counts from now on.
		lose(l, after(9), uint64(20+i), fp)
		lose(l, after(10), uint64(30+i), fp)
		assert.Assert(t, !isConvicted(l, fp, after(11)))
	}
}

// Guards against a crashing request that goes on because others are always beside it: all
// are held back, and come back one by one.
func TestThoseLostTogetherAreHeldApart(t *testing.T) {
	const culprit = 50
	var all []uint64
	for fp := range uint64(culprit + 1) {
		all = append(all, fp)
	}
	l := NewLedger(LedgerOptions{})
	for i := range 4 {
		lose(l, after(i), uint64(i), all...)
	}
	crashes := 4
	for now := after(4); !isConvicted(l, culprit, now); now = now.Add(runTime) {
		assert.Assert(t, now.Before(after(30)), "not convicted")
		var running []uint64
		for _, fp := range all {
			if j := l.Judge(fp, now); j == (Judgement{}) {
				running = append(running, fp)
			}
			assert.Assert(t, !isConvicted(l, fp, now), "request %d", fp)
		}
		if !slices.Contains(running, culprit) {
			for _, fp := range running {
				l.RecordSuccess(fp, now)
			}
			continue
		}
		lose(l, now, uint64(crashes), running...)
		crashes++
	}
	assert.Assert(t, crashes <= 6, "%d crashes", crashes)
}

// Guards against losses that were none: the request has succeeded since, or the same start
// of the server answers.
func TestLossesThatAreDisproved(t *testing.T) {
	for name, disprove := range map[string]func(*Ledger){
		"success": func(l *Ledger) { l.RecordSuccess(1, after(4)) },
		"answer over a connection older than the run": func(l *Ledger) {
			l.RecordAnswer(Answer{Server: 1, Sent: after(3), Connected: after(-1)}, after(4))
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(LedgerOptions{})
			for i := range 3 {
				lose(l, after(i), uint64(i), 1)
			}
			assert.Assert(t, isConvicted(l, 1, after(3)))
			disprove(l)
			assert.Assert(t, !isConvicted(l, 1, after(5)))
			// A late report of the same loss doesn't count again.
			lose(l, after(1), 1, 1)
			assert.Assert(t, !isConvicted(l, 1, after(6)))
		})
	}
}

// Guards against taking back the loss of a server that crashed, for the answer of another
// start or of another server.
func TestAnswersThatDisproveNothing(t *testing.T) {
	soon := after(2).Add(minRestartTime / 2)
	for name, x := range map[string]Answer{
		"sent before the loss":              {Server: 2, Sent: after(1), Connected: after(-5), Identified: true},
		"over a connection of unknown age":  {Server: 2, Sent: after(3), Identified: true},
		"over a connection newer than that": {Server: 2, Sent: after(3), Connected: after(2).Add(-runTime / 2), Identified: true},
		"from another server":               {Server: 9, Sent: after(3), Connected: after(-5), Identified: true},
		"without its id":                    {Server: 2, Sent: after(2).Add(time.Millisecond), Connected: soon},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(LedgerOptions{})
			for i := range 3 {
				l.RecordLoss(Loss{Request: 1, Server: uint64(i), Began: after(i).Add(-runTime), Lost: after(i), Prompt: true}, after(i))
			}
			l.RecordAnswer(x, later(x.Sent, soon))
			assert.Assert(t, isConvicted(l, 1, after(5)))
		})
	}
}

// Guards against the conviction of a request whose connections were reset: the server answers
// on a new one before it could have started again. A loss by a timeout may be long past.
func TestServerThatAnswersAtOnceHasNotCrashed(t *testing.T) {
	for prompt, want := range map[bool]bool{true: false, false: true} {
		l := NewLedger(LedgerOptions{})
		for i := range 3 {
			l.RecordLoss(Loss{Request: 1, Server: uint64(i), Began: after(i).Add(-runTime), Lost: after(i), Prompt: prompt}, after(i))
			answered := after(i).Add(minRestartTime / 2)
			l.RecordAnswer(Answer{Server: uint64(i), Sent: answered, Connected: answered, Identified: true}, answered)
		}
		assert.Equal(t, isConvicted(l, 1, after(5)), want, "prompt %v", prompt)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(LedgerOptions{Limit: 10})
	for i := range 3 {
		lose(l, after(i), uint64(i), 1)
	}
	assert.Assert(t, isConvicted(l, 1, after(3)))
	for fp := range uint64(1000) {
		lose(l, after(4), 5, 100+fp)
	}
	assert.Equal(t, l.Len(), 6)
	assert.Equal(t, len(l.byServer[5]), 5)
	assert.Assert(t, isConvicted(l, 1, after(5)))
	l.Judge(1099, after(4).Add(DefaultLossWindow))
	assert.Equal(t, l.Len(), 5)
}

// A request crashes its servers beside up to forty others, each of which is lost up to
// four times and then succeeds or is given up. Only that one is convicted.
func TestOneOfManyIsConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(LedgerOptions{})
		const culprit = 1000
		others := rapid.IntRange(0, 40).Draw(t, "others")
		lost := make([]int, others)
		for i := range 6 {
			at := start.Add(time.Duration(i) * time.Minute)
			requests := []uint64{culprit}
			for fp := range others {
				if lost[fp] < 4 && rapid.Bool().Draw(t, "beside") {
					lost[fp]++
					requests = append(requests, uint64(fp))
				}
			}
			lose(l, at, uint64(i), rapid.Permutation(requests).Draw(t, "order")...)
			for fp := range others {
				assert.Assert(t, !isConvicted(l, uint64(fp), at.Add(time.Second)))
				if lost[fp] > 0 && rapid.Bool().Draw(t, "succeeds") {
					l.RecordSuccess(uint64(fp), at.Add(2*time.Second))
					lost[fp] = 4
				}
			}
			if isConvicted(l, culprit, at.Add(3*time.Second)) {
				assert.Assert(t, i >= DefaultCrashes-1)
				return
			}
		}
		t.Fatal("not convicted")
	})
}

// Guards against records that outlive their lists, or stay behind under a server.
func TestLedgerStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(LedgerOptions{Limit: 8})
		now := start
		fp, server := rapid.Uint64Range(0, 20), rapid.Uint64Range(0, 8)
		t.Repeat(map[string]func(*rapid.T){
			"loss": func(t *rapid.T) {
				lose(l, now.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, time.Hour}).Draw(t, "age")), server.Draw(t, "server"), fp.Draw(t, "fp"))
			},
			"success": func(t *rapid.T) { l.RecordSuccess(fp.Draw(t, "fp"), now) },
			"answer": func(t *rapid.T) {
				connected := now.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, time.Hour}).Draw(t, "connected"))
				l.RecordAnswer(Answer{Server: server.Draw(t, "server"), Sent: now, Connected: connected}, now)
			},
			"judge": func(t *rapid.T) { l.Judge(fp.Draw(t, "fp"), now) },
			"time": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{runTime, time.Second, time.Minute}).Draw(t, "passes"))
			},
			"": func(t *rapid.T) {
				assert.Equal(t, l.Len(), l.requests.suspects.Len()+l.requests.convicted.Len())
				assert.Assert(t, l.Len() <= 8)
				for s, fps := range l.byServer {
					assert.Assert(t, len(fps) > 0, "server %d", s)
					for fp := range fps {
						assert.Assert(t, l.requests.records[fp] != nil, "request %d at server %d", fp, s)
					}
				}
				for _, x := range l.Convictions(100, now) {
					assert.Assert(t, isConvicted(l, x.Request, now))
				}
			},
		})
	})
}

// Guards against a request that crashes the one server of a service again and again, which
// starts anew under the id that it had.
func TestServerThatCrashesAgainCountsAgain(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 3 {
		x := Loss{Request: 1, Server: 7, ID: NewLossID(), Began: after(5 * i).Add(-runTime), Lost: after(5 * i)}
		// Reports of one loss count once.
		assert.Assert(t, l.RecordLoss(x, after(5*i)))
		assert.Assert(t, !l.RecordLoss(x, after(5*i+1)))
	}
	assert.Assert(t, isConvicted(l, 1, after(11)))
}

// Guards against gateways that judge a request differently, as reports of its losses, of their
// disproof and of its conviction came to them in another order.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Loss
		for server := range uint64(5) {
			x := Loss{Request: 1, Server: server, Began: after(int(server)).Add(-runTime), Lost: after(int(server))}
			disproved, convicted := x, x
			disproved.Disproved, convicted.Convicted = true, true
			for _, r := range []Loss{x, disproved, convicted} {
				if rapid.Bool().Draw(t, "reported") {
					reports = append(reports, r)
				}
			}
		}
		results := map[bool]bool{}
		for range 2 {
			l := NewLedger(LedgerOptions{})
			for _, x := range rapid.Permutation(reports).Draw(t, "order") {
				l.RecordLoss(x, after(10))
			}
			results[isConvicted(l, 1, after(10))] = true
		}
		assert.Equal(t, len(results), 1)
	})
}

// Guards against a gateway that goes on refusing a request which its peers have cleared.
func TestDisproofOfAPeerEndsAConviction(t *testing.T) {
	var told []Loss
	here := NewLedger(LedgerOptions{OnChange: func(c Change) { told = append(told, c.Reports...) }})
	there := NewLedger(LedgerOptions{})
	for i := range 3 {
		lose(here, after(i), uint64(i), 1)
		lose(there, after(i), uint64(i), 1)
	}
	assert.Assert(t, isConvicted(here, 1, after(3)))
	assert.Assert(t, isConvicted(there, 1, after(3)))
	told = nil
	here.RecordAnswer(Answer{Server: 1, Sent: after(3), Connected: after(-1)}, after(4))
	assert.Equal(t, len(told), 1)
	assert.Assert(t, there.RecordLoss(told[0], after(4)))
	assert.Assert(t, !isConvicted(there, 1, after(5)))
	assert.Assert(t, !there.RecordLoss(told[0], after(5)))
}

// Guards against gateways that tell each other of a conviction without end.
func TestConvictionIsToldOnce(t *testing.T) {
	var told []Loss
	there := NewLedger(LedgerOptions{OnChange: func(c Change) { told = append(told, c.Reports...) }})
	here := NewLedger(LedgerOptions{})
	for i := range 3 {
		lose(here, after(i), uint64(i), 1)
	}
	assert.Assert(t, isConvicted(here, 1, after(3)))
	for _, x := range here.Convictions(3, after(3)) {
		assert.Assert(t, there.RecordLoss(x, after(3)))
		assert.Assert(t, !there.RecordLoss(x, after(3)))
	}
	assert.Assert(t, isConvicted(there, 1, after(3)))
	assert.Equal(t, len(told), 0)
}

// Guards against counting one crash twice under a request that ran there for two gateways.
func TestOneCrashUnderTwoRunsCountsOnce(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 2 {
		for run := range 3 {
			began := after(i).Add(-time.Duration(20-8*run) * time.Millisecond)
			l.RecordLoss(Loss{Request: 1, Server: uint64(i), ID: NewLossID(), Began: began, Lost: after(i)}, after(i))
		}
	}
	assert.Assert(t, !isConvicted(l, 1, after(3)))
}

// Guards against logs in which single losses, one for each request on each crashed server at
// each gateway, crowd out the changes of what is believed.
func TestOnlySuspicionsAreDecisive(t *testing.T) {
	var decisive []ChangeKind
	l := NewLedger(LedgerOptions{OnChange: func(c Change) {
		if c.Decisive() {
			decisive = append(decisive, c.Kind)
		}
	}})
	neighbours := []uint64{2, 3, 4, 5}
	lose(l, after(0), 1, append(neighbours, 1)...)
	for _, fp := range neighbours {
		l.RecordSuccess(fp, after(1))
	}
	assert.Equal(t, len(decisive), 0)
	lose(l, after(1), 2, 1)
	lose(l, after(2), 3, 1)
	assert.Assert(t, isConvicted(l, 1, after(3)))
	assert.DeepEqual(t, decisive, []ChangeKind{ChangeLoss, ChangeLoss, ChangeConvicted})
}
