package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jayford.example/jayford/internal/verdict"
)

var (
	requestsTotal        = metrics.NewCounter("jayford_gateway_requests_total")
	retriesTotal         = metrics.NewCounter("jayford_gateway_repeats_total")
	retriesUnasked       = metrics.NewCounter("jayford_gateway_repeats_unasked_total")
	budgetEmpty          = metrics.NewCounter("jayford_gateway_budget_empty_total")
	resumesTotal         = metrics.NewCounter("jayford_gateway_resumes_total")
	brokenStreams        = metrics.NewCounter("jayford_gateway_broken_streams_total")
	ordersTotal          = metrics.NewCounter("jayford_gateway_stage_orders_total")
	prefillEngines       = metrics.NewCounter("jayford_gateway_prefill_engines")
	prefillEnginesWanted = metrics.NewCounter("jayford_gateway_prefill_engines_wanted")
	prefillCrestSeconds  = metrics.NewFloatCounter("jayford_gateway_prefill_crest_seconds")
	reserveSeconds       = metrics.NewHistogram("jayford_gateway_reserve_seconds")
	prefillSeconds       = metrics.NewHistogram("jayford_gateway_prefill_seconds")
	firstEventSeconds    = metrics.NewHistogram("jayford_gateway_first_event_seconds")
	betweenEventsSeconds = metrics.NewHistogram("jayford_gateway_between_events_seconds")
	callSeconds          = metrics.NewHistogram("jayford_gateway_call_seconds")
	configVersion        = metrics.NewCounter("jayford_gateway_config_version")
	serversListed        = metrics.NewCounter("jayford_gateway_servers_listed")
	budgetSharers        = metrics.NewCounter("jayford_gateway_budget_sharers")
	peersKnown           = metrics.NewCounter("jayford_gateway_peers")
	limitedServers       = metrics.NewCounter("jayford_gateway_limited_servers")
	pausingServers       = metrics.NewCounter("jayford_gateway_pausing_servers")
	partRefusals         = metrics.NewCounter("jayford_gateway_part_refusals_total")
	refusedParts         = metrics.NewCounter("jayford_gateway_refused_parts")
	peerDoubts           = metrics.NewCounter("jayford_gateway_doubts_by_peers_total")
	speedsDropped        = metrics.NewCounter("jayford_gateway_speed_reports_dropped_total")
	lateRefusals         = metrics.NewCounter("jayford_gateway_late_refusals_total")
	prefillsSkipped      = metrics.NewCounter("jayford_gateway_prefills_left_to_decode_total")
)

// countRefusal counts a request that the gateway itself refused.
func countRefusal(e *verdict.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_refusals_total{code=%q,verdict=%q}", e.Code, e.Verdict)).Inc()
}

// countCut counts a stream that ended early, by who ended it.
func countCut(by string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_streams_cut_total{by=%q}", by)).Inc()
}

// setPrefillByTime records how the prefill engines of a service are compared.
func setPrefillByTime(service string, byTime bool) {
	x := uint64(0)
	if byTime {
		x = 1
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_prefill_by_time{service=%q}", service)).Set(x)
}

// countSending counts an attempt at a server by its outcome.
func countSending(kind string, err *verdict.Error) {
	outcome := "answered"
	if err != nil {
		outcome = string(err.Code)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_sendings_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
}

func observe(h *metrics.Histogram, since time.Time) { h.Update(time.Since(since).Seconds()) }
