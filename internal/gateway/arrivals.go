package gateway

import (
	"errors"
	"time"

	"jayford.example/jayford/internal/verdict"
)

// takeRetries takes n retries from the budget for the job's next arrivals, and reports
// whether there were as many. Those that there were remain the job's.
func (g *Gateway) takeRetries(j *job, n int) bool {
	for range n {
		if !g.budget.takeRetry(j.service.Name) {
			return false
		}
		j.arrivals.Took()
	}
	return true
}

// canRetry reports whether the job may get the retry that its next run needs. It takes none:
// the run may be sent much later, and a retry counts from when it is taken.
func (g *Gateway) canRetry(j *job) bool {
	return j.arrivals.OwedForRun() == 0 || g.budget.mayAllow(j.service.Name)
}

// countRun records an attempt to have the request run.
func (g *Gateway) countRun(j *job, err *verdict.Error) {
	if err == nil || err.Verdict != verdict.NotRun {
		j.runs++
	}
	if arrived(err) {
		j.arrivals.Ran()
		g.checkUnasked(j)
	}
}

// checkUnasked charges the budget if the last arrival was sent without a retry from it.
func (g *Gateway) checkUnasked(j *job) {
	for range j.arrivals.Unasked() {
		g.budget.chargeRetry(j.service.Name)
		j.arrivals.Took()
	}
}

// arrived reports whether an attempt that ended with err, nil for an answer, may have
// reached its server.
func arrived(err *verdict.Error) bool {
	return err == nil || err.Code != verdict.Unreachable && !errors.Is(err, errPausing)
}

// notSentOnRetryAfter is the Retry-After of requests that no server took and that aren't sent
// on, for want of budget or of servers: sent anew by its caller, a request needs no budget for
// its first server, which is most likely another one.
const notSentOnRetryAfter = 500 * time.Millisecond

// budgetEmptyError returns the refusal of a request that can't be sent on.
func budgetEmptyError() *verdict.Error {
	return verdict.New(
		verdict.NotRun, verdict.Overloaded, "No server has taken the request, and the budget for repeats is empty.",
	).WithRetryAfter(notSentOnRetryAfter)
}
