package logs

import (
	"bytes"
	"io"
	stdlog "log"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/grpclog"
)

// TakeLibraries makes the standard library's logger and gRPC's write their lines to log as
// warnings. They write to standard error otherwise, and make their caller wait if its reader
// stands still. It must be called before gRPC is used. Of gRPC's lines only errors are logged.
func TakeLibraries(log *logrus.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&lineWriter{log})
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, &lineWriter{log}))
}

// lineWriter logs what is written to it. The text is a field, as it varies, so that the rate
// limit counts such lines as one kind.
type lineWriter struct{ log *logrus.Logger }

func (w *lineWriter) Write(b []byte) (int, error) {
	w.log.WithField("detail", string(bytes.TrimSpace(b))).Warn("logs: a library reports.")
	return len(b), nil
}
