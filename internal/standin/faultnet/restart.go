package faultnet

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/wait"
)

// listenRetry is the interval between attempts to listen.
const listenRetry = 20 * time.Millisecond

// ListenRetrying listens on addr. It retries while the address is in use, as another
// socket may hold it briefly, and returns nil if ctx ends first.
func ListenRetrying(ctx context.Context, addr string) net.Listener {
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

// DebugLogger logs fasthttp's messages at debug level. Most are about connections
// that were cut on purpose.
type DebugLogger struct{ Entry *logrus.Entry }

// Printf implements fasthttp.Logger.
func (d DebugLogger) Printf(format string, args ...any) { d.Entry.Debugf(format, args...) }
