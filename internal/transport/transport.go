// Package transport has the gRPC options shared by all connections between
// jayford's processes.
package transport

import (
	"time"

	"google.golang.org/grpc"
)

// handshakeTimeout bounds the setup of an accepted connection. A stopping server waits for
// those in their setup, including ones over which a client sends nothing.
const handshakeTimeout = 3 * time.Second

// windowBytes is the flow control window of streams and connections. One megabyte
// in flight allows 300 MB/s at a round-trip time of 3 ms, more than the longest
// prompt needs.
//
// It is fixed on both ends, since grpc-go otherwise estimates the bandwidth-delay
// product by sending a ping with each message on a quiet connection. An agent and
// an entry exchange a few small messages a second, and the pings would be a
// quarter of the bytes.
const windowBytes = 1 << 20

// DialOptions returns the client options. gRPC's retries are off: callers decide
// what to retry, and a second layer of retries would multiply the attempts.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
	}
}

// ServerOptions returns the server options.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
	}
}
