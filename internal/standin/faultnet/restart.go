package faultnet

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/wait"
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
		if !wait.Sleep(ctx, listenRetry) {
			return nil
		}
	}
}

// DebugLog keeps fasthttp's lines on cut connections off the usual log: cutting
// them is what these servers are for.
type DebugLog struct{ Entry *logrus.Entry }

// Printf implements fasthttp.Logger.
func (d DebugLog) Printf(format string, args ...any) { d.Entry.Debugf(format, args...) }
