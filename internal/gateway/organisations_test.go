package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/quota"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
)

const secretKey = "caller-secret-1"

// fakeQuotas refuses if refuse is set, and counts what is taken and returned.
type fakeQuotas struct {
	refuse *verdict.Error
	costs  []float64
	ranks  []int
	back   int
}

func (q *fakeQuotas) SetOrganisations(*catalog.Organisations) {}

func (q *fakeQuotas) Take(_ context.Context, _ string, cost float64, rank int, _ time.Duration) (quota.Receipt, *verdict.Error) {
	q.costs, q.ranks = append(q.costs, cost), append(q.ranks, rank)
	return quota.Receipt{}, q.refuse
}

func (q *fakeQuotas) Return(quota.Receipt) { q.back++ }

// configWithKeys is testConfig with the organisation "one", which holds the keys.
func configWithKeys(version uint64, keys ...string) *catalog.Config {
	c := testConfig()
	c.Version = version
	c.Organisations = catalog.NewOrganisations()
	c.Organisations.Add(catalog.Organisation{Name: "one", Quota: catalog.Quota{PerSecond: 1000, InTokens: true, PlainCost: 200}})
	for _, k := range keys {
		c.Organisations.AddKey("one", k)
	}
	return c
}

func keyedGateway(t *testing.T, f *fakeBackend, log io.Writer) (*Gateway, *board.Board) {
	t.Helper()
	l := logrus.New()
	l.SetOutput(log)
	l.SetLevel(logrus.DebugLevel)
	b := board.New()
	g := New(Options{ID: "g1", Backend: f, Board: b, Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, KeyExpiry: 5 * time.Second, Log: l})
	settleBudget(g)
	g.SetConfig(configWithKeys(10, secretKey))
	g.SetServers(testServers())
	g.view.complete.Store(true)
	g.view.confirm(boottime.Now())
	return g, b
}

func withKey(r *Request, key string) *Request {
	r.Credentials = catalog.CredentialsOf(key)
	r.Authorization = []upstream.Header{{Name: "Authorization", Value: "Bearer " + key}}
	return r
}

// Each call that carries a request names its organisation, also when the request is
// retried or its stream resumed, and none carries the key.
func TestEachCallNamesTheOrganisation(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, c Call) (*Answer, *verdict.Error) {
		if c.Request.Generation == nil {
			return nil, full()
		}
		if c.LastEventID == "" {
			return answer(io.MultiReader(text(eventsOf("1")), errReader{io.ErrUnexpectedEOF})), nil
		}
		return answer(text(eventsOf("2"))), nil
	}
	var log bytes.Buffer
	g, b := keyedGateway(t, f, &log)
	reply, err := g.Serve(t.Context(), withKey(generation("/stream/x"), secretKey))
	assert.Assert(t, err == nil)
	_, readErr := io.ReadAll(reply.Body)
	assert.NilError(t, readErr)
	assert.NilError(t, reply.Body.Close())
	_, err = g.Serve(t.Context(), withKey(call("/again/x"), secretKey))
	assert.Assert(t, err != nil)
	assert.Assert(t, len(f.sends()) >= 4)
	for _, s := range f.sends() {
		assert.Equal(t, s.call.Organisation, "one")
		for _, h := range s.call.Request.Headers {
			assert.Assert(t, !strings.Contains(h.Value, secretKey))
		}
	}
	assert.Assert(t, len(f.prefills) > 0)
	for _, name := range f.organisations {
		assert.Equal(t, name, "one")
	}
	checkNoKey(t, b, &log, err)
}

// Guards against keys in log lines, error texts and state dumps.
func checkNoKey(t *testing.T, b *board.Board, log *bytes.Buffer, err *verdict.Error) {
	t.Helper()
	dump, jsonErr := b.Dump()
	assert.NilError(t, jsonErr)
	assert.Assert(t, log.Len() > 0)
	for _, s := range []string{log.String(), string(dump), err.Error(), err.Message} {
		assert.Assert(t, !strings.Contains(s, secretKey), s)
	}
}

func TestUnknownKeysAreRefused(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("x")), nil }}
	var log bytes.Buffer
	g, b := keyedGateway(t, f, &log)
	for _, key := range []string{"", "caller-secret-12", "caller-secret", strings.Repeat(secretKey, 100)} {
		_, err := g.Serve(t.Context(), withKey(call("/again/x"), key))
		assert.Equal(t, err.Code, verdict.Unauthorized)
		checkNoKey(t, b, &log, err)
	}
	assert.Equal(t, len(f.sends()), 0)
}

// Without organisations in the configuration, callers' credentials are the servers' business.
func TestCredentialsAreForwardedWithoutOrganisations(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("x")), nil }}
	g := newGateway(t, f)
	_, err := g.Serve(t.Context(), withKey(call("/again/x"), secretKey))
	assert.Assert(t, err == nil)
	assert.DeepEqual(t, f.sends()[0].call.Request.Headers, []upstream.Header{{Name: "Authorization", Value: "Bearer " + secretKey}})
	assert.Equal(t, f.sends()[0].call.Organisation, "")
}

// Guards against a request that waits for an engine and is sent after its key was removed.
func TestKeyRemovedWhileARequestWaits(t *testing.T) {
	f := &fakeBackend{}
	var g *Gateway
	f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
		g.SetConfig(configWithKeys(11))
		return "hold", nil
	}
	g, _ = keyedGateway(t, f, io.Discard)
	_, err := g.Serve(t.Context(), withKey(generation("/stream/x"), secretKey))
	assert.Equal(t, err.Code, verdict.Unauthorized)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, len(f.prefills)+len(f.sends()), 0)
}

// Guards against the loss of an answer that is ready because the request's key was removed
// before it could be retried.
func TestReadyAnswerOutlivesItsKey(t *testing.T) {
	f := &fakeBackend{}
	var g *Gateway
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		g.SetConfig(configWithKeys(11))
		a := answer(text("failed"))
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	g, _ = keyedGateway(t, f, io.Discard)
	reply, err := g.Serve(t.Context(), withKey(call("/again/x"), secretKey))
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, reply.Status, http.StatusInternalServerError)
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against keys that are accepted on the word of a configuration that can't be
// confirmed: the stored one couldn't be decoded, was deleted, or is gone from the listing.
func TestUnconfirmedConfigurationAcceptsNoKey(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("x")), nil }}
	g, _ := keyedGateway(t, f, io.Discard)
	g.view.confirmedAt.Store(int64(boottime.Now() - 10*time.Second))
	source := &configSource{g: g, sources: Sources{ConfigName: "main", Decoder: brokenDecoder{}}}
	source.current.Store(true)
	source.apply(follow.Update{Objects: []platform.Object{{Name: "main"}}})
	source.confirm(boottime.Now())
	source.current.Store(true)
	source.apply(follow.Update{Objects: []platform.Object{{Name: "main", Deleted: true}}})
	source.confirm(boottime.Now())
	source.current.Store(true)
	source.apply(follow.Update{Full: true})
	source.confirm(boottime.Now())
	_, err := g.Serve(t.Context(), withKey(call("/again/x"), secretKey))
	assert.Equal(t, err.Code, verdict.PlatformDown)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0)
}

type brokenDecoder struct{}

func (brokenDecoder) Config(platform.Object) (*catalog.Config, error) { return nil, io.EOF }

func (brokenDecoder) Server(platform.Object) (catalog.Server, error) { return catalog.Server{}, io.EOF }

// What a request takes from its quota is given back only if it certainly hasn't run.
func TestQuotaIsGivenBackIfNothingRan(t *testing.T) {
	for _, x := range []struct {
		fails *verdict.Error
		back  int
	}{{full(), 1}, {lost(), 0}} {
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, x.fails }}
		g, _ := keyedGateway(t, f, io.Discard)
		q := &fakeQuotas{}
		g.LimitOrganisations(q)
		_, err := g.Serve(t.Context(), withKey(call("/once/x"), secretKey))
		assert.Assert(t, err != nil)
		assert.DeepEqual(t, q.costs, []float64{200})
		assert.Equal(t, q.back, x.back)
	}
}

func TestRequestsBeyondTheQuotaAreNotSent(t *testing.T) {
	f := &fakeBackend{}
	g, _ := keyedGateway(t, f, io.Discard)
	q := &fakeQuotas{refuse: verdict.New(verdict.NotRun, verdict.OverQuota, "used up")}
	g.LimitOrganisations(q)
	r := generation("/stream/x")
	_, err := g.Serve(t.Context(), withKey(r, secretKey))
	assert.Equal(t, err.Code, verdict.OverQuota)
	assert.DeepEqual(t, q.costs, []float64{float64(r.Generation.Prompt + r.Generation.MaxOutput)})
	assert.Equal(t, len(f.prefills)+len(f.sends()), 0)
}

// peersInContact are peers of which one has been in contact with the platform.
type peersInContact struct{ peerLoad }

func (peersInContact) PlatformReachableSince(time.Time) time.Time {
	return time.Now().Add(-time.Minute)
}

// Guards against a gateway cut off from the platform that stays in the load balancer's rotation
// and refuses its callers, who are told to come back too late for their objective; and against a
// fleet that turns unready as a whole when the platform is down.
func TestGatewayThatLosesItsKeysSendsCallersElsewhere(t *testing.T) {
	for name, x := range map[string]struct {
		peers      Peers
		age        time.Duration
		ready      bool
		retryAfter time.Duration
	}{
		"confirmed lately":         {peers: peersInContact{}, age: time.Second, ready: true},
		"two checks from expiry":   {peers: peersInContact{}, age: 3 * time.Second, ready: false},
		"expired, others have it":  {peers: peersInContact{}, age: 6 * time.Second, ready: false, retryAfter: elsewhereRetryAfter},
		"expired, peers not heard": {age: 6 * time.Second, ready: false, retryAfter: elsewhereRetryAfter},
		"expired everywhere":       {peers: peerLoad{}, age: 6 * time.Second, ready: true, retryAfter: 500 * time.Millisecond},
	} {
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("ok")), nil }}
		g, _ := keyedGateway(t, f, io.Discard)
		if x.peers != nil {
			g.Join(x.peers)
		}
		g.view.confirmedAt.Store(int64(boottime.Now() - x.age))
		assert.Equal(t, g.Ready(), x.ready, name)
		_, err := g.Serve(t.Context(), withKey(call("/again/x"), secretKey))
		if x.retryAfter == 0 {
			assert.Assert(t, err == nil, "%s: %v", name, err)
			continue
		}
		assert.Equal(t, err.Code, verdict.PlatformDown, name)
		assert.Equal(t, err.RetryAfter, x.retryAfter, name)
	}
}
