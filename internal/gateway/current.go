package gateway

import (
	"context"
	"time"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/wait"
)

const (
	// listConfirmTimeout bounds the wait for the store to confirm the list of servers.
	listConfirmTimeout = 400 * time.Millisecond
	// pollInterval is the least time between the begins of two polls: the platform's rates of
	// calls are shared by all processes, and many streams break at a time.
	pollInterval = 100 * time.Millisecond
	// pollRetryDelay is the pause before the next try of a poll while the followed list is
	// being recovered.
	pollRetryDelay = 20 * time.Millisecond
)

// awaitConfirmed waits until no server is missing from the list that was stored before a moment
// (package boottime), and reports whether that is so. The store is polled for it, at most once
// a call, and once for all calls that wait when a poll begins.
func (v *softwareVersions) awaitConfirmed(ctx context.Context, at time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, listConfirmTimeout)
	defer cancel()
	for {
		isConfirmed, changed := v.requestConfirmed(at)
		if isConfirmed || changed == nil {
			return isConfirmed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// requestConfirmed reports whether the list is confirmed as of a moment. If not, it has the store
// polled, and returns a channel that is closed when that may have changed, nil if a poll that
// began since didn't help.
func (v *softwareVersions) requestConfirmed(at time.Duration) (isConfirmed bool, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.history.IsConfirmed(at):
		return true, nil
	case v.polling:
		return false, v.confirmed
	case v.poll == nil || v.polledAt >= at:
		return false, nil
	}
	v.polling = true
	go v.runPoll(v.poll, v.polledAt+pollInterval-boottime.Now())
	return false, v.confirmed
}

// runPoll polls the store after a pause. An answer with nothing new confirms the list too.
func (v *softwareVersions) runPoll(poll func() bool, pause time.Duration) {
	wait.Sleep(context.Background(), pause)
	began := boottime.Now()
	polled := poll()
	if polled {
		storePolls.Inc()
	} else {
		wait.Sleep(context.Background(), pollRetryDelay)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polling = false
	if polled {
		v.polledAt = began
	}
	v.notifyLocked()
}

// setPoll sets the function that polls the store for servers.
func (v *softwareVersions) setPoll(poll func() bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.poll = poll
}

// confirm records that at a moment the store held no server that the list lacks.
func (v *softwareVersions) confirm(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.Confirm(at)
	v.notifyLocked()
}

func (v *softwareVersions) notifyLocked() {
	close(v.confirmed)
	v.confirmed = make(chan struct{})
}
