package faultnet

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// listenRetry is the pause before a port is tried again.
const listenRetry = 20 * time.Millisecond

// Listen takes addr again, which another socket may hold for a moment. It
// returns nil when ctx ends first.
func Listen(ctx context.Context, addr string) net.Listener {
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln
		}
		if !Sleep(ctx, listenRetry) {
			return nil
		}
	}
}

// Sleep waits for d. It returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// DebugLog keeps fasthttp's lines on cut connections off the usual log: cutting
// them is what these servers are for.
type DebugLog struct{ Entry *logrus.Entry }

// Printf implements fasthttp.Logger.
func (d DebugLog) Printf(format string, args ...any) { d.Entry.Debugf(format, args...) }
