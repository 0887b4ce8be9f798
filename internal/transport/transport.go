// Package transport holds the gRPC options that all connections between
// jayford's own processes have in common.
package transport

import "google.golang.org/grpc"

// window is the flow control window of streams and connections, in bytes. A
// megabyte in flight fills 300 MB/s at a round trip of 3 ms, more than the
// longest prompt asks for.
//
// It is fixed on both ends, since grpc-go otherwise measures the link to fit the
// window: with each message on a quiet connection it sends a ping and gets one
// back. A quiet connection with a few small messages a second is what an agent
// has with each of its entries, and the pings would be a quarter of its bytes.
const window = 1 << 20

// DialOptions returns the options of a connection. gRPC's retries are off: the
// callers decide what to try again, and a second layer would multiply.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(window),
	}
}

// ServerOptions returns the options of a listener.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(window),
		grpc.StaticConnWindowSize(window),
	}
}
