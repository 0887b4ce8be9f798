package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
)

// Request is a caller's request, with its whole body.
type Request struct {
	// ID is chosen by the caller; each of its attempts has its own.
	ID     string
	Method string
	// URI is the path with its query as the caller sent it, Path the path alone.
	URI, Path string
	// Host is as the caller sent it, HostName the same without the port.
	Host, HostName string
	// Headers are the headers to forward, without Authorization.
	Headers []upstream.Header
	// Credentials identify the caller's organisation.
	Credentials catalog.Credentials
	// Authorization has the headers with the caller's credentials. They are forwarded
	// only if the configuration declares no organisations.
	Authorization []upstream.Header
	Body          []byte
	// Content distinguishes requests with equal bodies; it may be empty.
	Content string
	// HeaderBytes is the size of the headers as received.
	HeaderBytes int
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// CallerTimeout is the caller's timeout, counted from Arrived; 0 if it set none.
	CallerTimeout time.Duration
	// Generation is nil for a request that isn't a generation.
	Generation *Generation
	// Charge asks for more memory in bytes until the request ends, and reports whether there is
	// some; nil if that isn't bounded.
	Charge func(bytes int64) bool
}

func (r *Request) charge(n int64) bool { return r.Charge == nil || r.Charge(n) }

// Generation has the parameters of a generation request.
type Generation struct {
	// Prompt and MaxOutput are in tokens.
	Prompt, MaxOutput int
	// Hint is the caller's estimate of the output in tokens, 0 for none.
	Hint int
	// LastEventID is the id of the last event that the caller received, if it
	// resumes a broken stream itself.
	LastEventID string
	// FirstAttemptID is the id of the caller's attempt that brought the first event of that
	// stream, "" if it doesn't say.
	FirstAttemptID string
	// Model is the name of the model, SharedParts the ids of the prompt's parts that other
	// prompts may have too, LastPart that of the part behind them, which belongs to the request or
	// to its session.
	Model       string
	SharedParts []string
	LastPart    string
}

// Call is one attempt of a request at a server.
type Call struct {
	Request *Request
	// Organisation is the name of the caller's organisation, "" if it has none.
	Organisation string
	// IsRanked: requests of the service differ in Rank, which is how urgent this one is,
	// from 0 to 9.
	IsRanked bool
	Rank     int
	// Timeout is the time until the caller's deadline; 0 for none.
	Timeout time.Duration
	// ReservationID is the id of a reservation at the server.
	ReservationID string
	// PrefillServer is the server that ran the prefill, PrefillResult the id of its
	// result there.
	PrefillServer catalog.Server
	PrefillResult string
	// LastEventID is the id of the last event that was delivered.
	LastEventID string
	// MaxIdle is how long a pooled connection may have been idle to be used for the call.
	MaxIdle time.Duration
	// Trace is set by the call, also if that fails; nil if it isn't wanted.
	Trace *upstream.Trace
}

// Reservation describes a decode slot and memory to reserve.
type Reservation struct {
	Tokens int
	// TTL is how long the reservation lasts unless a request uses it.
	TTL time.Duration
	// Organisation is the name of the organisation for which it is made, "" for none.
	Organisation string
}

// Answer is a server's response to a Call.
type Answer struct {
	*upstream.Response
	// Verified reports whether the answer carries a valid proof of the server's identity.
	Verified bool
}

// Prefilled identifies the result of a prefill, which its server keeps.
type Prefilled struct {
	Result string
	Tokens int
}

// Report is an engine's load as reported by itself, some hundred milliseconds old.
type Report struct {
	Stage                 catalog.Stage
	Queued, Running       int
	UsedTokens, AllTokens int
	// Busy is set while the engine carries out an order. Orders counts the accepted ones.
	Busy   bool
	Orders uint64
}

// StageOrder is the order to an engine to change its stage.
type StageOrder struct {
	Stage catalog.Stage
	// Holder is the instance that sends the order, Fence the fencing token of its lease.
	Holder string
	Fence  uint64
	// Orders is the number of orders that the engine must have accepted so far.
	Orders uint64
}

// Signals are what an answer says about its server, beside answering the request.
type Signals struct {
	// Limit is the server's rate limit, nil if the answer doesn't tell whether it has one.
	Limit *RateLimit
	// Pause is how long the server wants no request from this gateway, 0 if it doesn't ask
	// for a pause.
	Pause time.Duration
	// Leaving: the server says that it is leaving.
	Leaving bool
	// Exchange describes the exchange that was answered, nil if another server answered.
	Exchange *Exchange
}

// Exchange is an answered exchange with a server.
type Exchange struct {
	// Name is the kind of exchange, for logs.
	Name string
	// SentAt is when it began, ConnectedAt when its connection was established.
	SentAt, ConnectedAt time.Time
	// Identified: the answer shows that its server has the id of the one that was called,
	// but not that it is the same start of it.
	Identified bool
}

// RateLimit is the rate limit in a server's answer.
type RateLimit struct {
	// Present is false if the answer carried no limit.
	Present bool
	// PerSecond is the request rate that the server accepts from all gateways together.
	PerSecond float64
	// RequestedAt is when the call that was answered began.
	RequestedAt time.Time
}

// Backend sends requests to backend servers. Each method makes one exchange and
// never retries. The verdict of an error says whether the request may have run.
type Backend interface {
	Send(ctx context.Context, s catalog.Server, c Call) (*Answer, *verdict.Error)
	Prefill(ctx context.Context, s catalog.Server, c Call) (Prefilled, *verdict.Error)
	// Reserve reserves a decode slot and memory. It returns the reservation's id.
	Reserve(ctx context.Context, s catalog.Server, r Reservation) (hold string, err *verdict.Error)
	// Release frees a reservation, Discard a prefill's result.
	Release(ctx context.Context, s catalog.Server, hold string) error
	Discard(ctx context.Context, s catalog.Server, result string) error
	Report(ctx context.Context, s catalog.Server) (Report, error)
	Order(ctx context.Context, s catalog.Server, o StageOrder) error
	// Probe runs the server's health check.
	Probe(ctx context.Context, s catalog.Server, path string) error
	// OnSignals registers f, which is called with the signals in each answer, whatever
	// its status, before the answer is returned. It must be called before any other
	// method.
	OnSignals(f func(catalog.Server, Signals))
	// CloseConnections closes the pooled connections to the server.
	CloseConnections(s catalog.Server)
}

// Reply is the response to a caller. Body must be closed.
type Reply struct {
	Status  int
	Headers http.Header
	// Length is the length of Body in bytes, -1 if it is unknown.
	Length int64
	Body   io.ReadCloser
}
