package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
)

func testWorkload(rate float64) Workload {
	return Workload{
		Format: 1, Name: "test",
		SharedPrompt:  SharedPrompt{Words: 5, Seed: 1},
		Organisations: []Organisation{{Name: "a", Share: 1, Demand: 1}, {Name: "b", Share: 1, Demand: 3}},
		Classes: []Class{{
			Name: "chat", Kind: KindCompletion, Rate: rate, Priority: Interactive,
			Deadline: settings.Duration(2 * time.Second), Model: "m", SharedPrompt: true,
			PromptWords: Span{3, 5}, MaxTokens: Span{2, 4},
			Targets: Targets{TTFT: settings.Duration(time.Second), PerToken: settings.Duration(time.Second)},
		}, {
			Name: "get", Kind: KindCall, Rate: rate, Priority: Interactive, Path: "/things/{n}", Items: 3,
			Deadline: settings.Duration(2 * time.Second), Targets: Targets{TTFT: settings.Duration(time.Second)},
		}},
	}
}

func event(w http.ResponseWriter, data string) {
	fmt.Fprintf(w, "data: %s\n\n", data) //nolint:errcheck // a test's server
	w.(http.Flusher).Flush()
}

const tokenEvent = `{"choices":[{"text":"tok "}]}`

func answerWhole(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerAttempts, "2")
	if r.Method == http.MethodGet {
		fmt.Fprint(w, r.URL.Path) //nolint:errcheck // a test's server
		return
	}
	event(w, tokenEvent)
	event(w, tokenEvent)
	event(w, `{"choices":[{"text":"","finish_reason":"length"}]}`)
	event(w, "[DONE]")
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestRunReportsWholeAnswers(t *testing.T) {
	target := serve(t, answerWhole)
	var progress bytes.Buffer
	reads := 0.0
	report, err := Run(context.Background(), Options{
		Workload: testWorkload(100), Targets: []string{target},
		Plan:     PlanOptions{Seed: 3, Duration: 500 * time.Millisecond},
		Progress: &progress, ProgressEvery: 100 * time.Millisecond,
		Prefill: func(context.Context) (Prefill, error) {
			reads++
			return Prefill{Tokens: 100 * reads, Wasted: 10 * reads}, nil
		},
	})
	assert.NilError(t, err)
	total := report.Total
	assert.Assert(t, total.Sent > 40, total.Sent)
	assert.Equal(t, total.Good, total.Sent, "%+v %v", total, report.Faults)
	assert.Equal(t, report.Classes[0].PerToken.Count, int64(report.Classes[0].Whole))
	assert.DeepEqual(t, report.Attempts, []AttemptCount{{2, total.Sent}})
	assert.DeepEqual(t, report.Prefill, Prefill{Tokens: 100, Wasted: 10, Share: 0.1})
	assert.Equal(t, report.MinShareRatio, 1.0)
	assert.Assert(t, strings.Contains(progress.String(), "load: "))

	var text, svg bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "lowest share ratio 1.000"))
	assert.NilError(t, report.WriteSVG(&svg))
	assert.Assert(t, strings.Contains(svg.String(), "</svg>"))
}

func TestRunCountsStallFromIntendedTime(t *testing.T) {
	// One request occupies the client's only slot for 300 ms, so later requests
	// are sent late and answered at once. Latencies counted from the actual send
	// time would hide the stall.
	first := true
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			time.Sleep(300 * time.Millisecond)
		}
		answerWhole(w, r)
	})
	w := testWorkload(100)
	w.Classes = w.Classes[1:]
	report, err := Run(context.Background(), Options{
		Workload: w, Targets: []string{target}, Concurrency: 1,
		Plan: PlanOptions{Seed: 1, Duration: 200 * time.Millisecond},
	})
	assert.NilError(t, err)
	assert.Assert(t, report.Late > 5, report.Late)
	assert.Assert(t, report.Total.TTFT.P50 > 100, "%+v", report.Total.TTFT)
}

func TestOutcomes(t *testing.T) {
	// The server sends a whole answer, refuses with a verdict, ends a stream with
	// an error, ends it without an error, returns an error without a verdict, or
	// never answers. Only a final [DONE] makes an answer whole.
	release := make(chan struct{})
	defer close(release)
	handlers := map[Outcome]http.HandlerFunc{
		Whole: answerWhole,
		Refused: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerVerdict, "not-run")
			http.Error(w, `{"error":{"code":"overloaded"}}`, http.StatusTooManyRequests)
		},
		Broken: func(w http.ResponseWriter, _ *http.Request) {
			event(w, tokenEvent)
			event(w, `{"error":{"code":"server-lost","verdict":"may-have-run"}}`)
		},
		Cut:    func(w http.ResponseWriter, _ *http.Request) { event(w, tokenEvent) },
		Failed: func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusBadGateway) },
		TimedOut: func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-release:
			}
		},
	}
	codes := map[Outcome]string{Refused: "overloaded", Broken: "server-lost"}
	for want, h := range handlers {
		s := &sender{client: http.DefaultClient, start: time.Now(), maxAnswer: 1 << 20}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		a := s.send(ctx, serve(t, h), Request{Kind: KindCompletion, Model: "m"})
		cancel()
		assert.Equal(t, a.Outcome, want, "%v", a.Err)
		assert.Equal(t, a.Code, codes[want])
	}
}

func TestCheckMakesAnswersWrong(t *testing.T) {
	report, err := Run(context.Background(), Options{
		Workload: testWorkload(50), Targets: []string{serve(t, answerWhole)},
		Plan: PlanOptions{Seed: 1, Duration: 100 * time.Millisecond},
		Check: func(s Request, a Answer) error {
			if s.Kind == KindCall && a.Text == s.Path {
				return nil
			}
			return errors.New("not asked for")
		},
	})
	assert.NilError(t, err)
	assert.Equal(t, report.Classes[0].Wrong, report.Classes[0].Sent)
	assert.Equal(t, report.Classes[1].Wrong, 0)
	assert.Equal(t, report.Classes[0].Good, 0)
}

func TestRunRefusesRemoteTargets(t *testing.T) {
	o := Options{
		Workload: testWorkload(1), Targets: []string{"192.0.2.1:80"},
		Plan: PlanOptions{Duration: time.Second},
	}
	_, err := Run(context.Background(), o)
	assert.ErrorIs(t, err, ErrRemote)
	o.Targets = []string{"localhost:80"}
	_, err = Run(context.Background(), o)
	assert.ErrorContains(t, err, "target")
}

func TestScrapePrefillSumsSeries(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "jayford_prefill_tokens_total{model=\"a b\"} 10\njayford_prefill_tokens_total{model=\"c\"} 5\n"+ //nolint:errcheck // a test's server
			"jayford_prefill_wasted_tokens_total 3\nother 7\n")
	})
	p, err := ScrapePrefill([]string{target, target})(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Prefill{Tokens: 30, Wasted: 6})
}

func TestExamplesParse(t *testing.T) {
	for name, fleet := range map[string]Fleet{
		"zifferblatt":   {ModelServers: 20, Services: 3},
		"kavango":       {ModelServers: 10, Services: 3},
		"many-prefixes": {ModelServers: 10, Services: 0},
	} {
		w, err := ReadWorkload("../../examples/" + name + ".workload.json")
		assert.NilError(t, err)
		assert.Equal(t, w.Fleet.ModelServers, fleet.ModelServers)
		assert.Equal(t, w.Fleet.Services, fleet.Services)
	}
}

func TestParseWorkloadListsProblems(t *testing.T) {
	text := `{"format":1,"name":"x","organisations":[{"name":"a","share":1,"demand":1}],
"classes":[{"name":"c","kind":"completion","rate":0,"priority":"interactive","deadline":"5s",
"model":"m","promptWords":{"min":5,"max":3},"maxTokens":{"min":1,"max":1},
"targets":{"ttft":"1s","perToken":"1s"},"organisations":["b"],"burst":{"sise":3}}]}`
	_, err := ParseWorkload("w.json", []byte(text))
	for _, want := range []string{
		"w.json:2: classes[0].rate: expected",
		"w.json:3: classes[0].promptWords.max: expected 5 to",
		"w.json:4: classes[0].organisations[0]: expected a name",
		"w.json:4: classes[0].burst.sise: unknown key",
	} {
		assert.ErrorContains(t, err, want)
	}
}
