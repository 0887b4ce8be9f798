package gossip

import (
	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
)

// handleStore passes on a datagram about what the store holds.
func (e *Exchange) handleStore(from string, m *pb.StoreMessage) {
	e.mu.RLock()
	admitted := e.admitLocked(from)
	e.mu.RUnlock()
	if admitted && e.opts.OnStore != nil {
		received.Inc()
		e.opts.OnStore(from, m)
	}
}

// SendStore sends a datagram about what the store holds to a gateway, and reports whether it
// fits into one. It is lost before Run.
func (e *Exchange) SendStore(to string, m *pb.StoreMessage) bool {
	text, err := e.encodeStore(m)
	if err != nil {
		e.opts.Log.WithError(err).Warn("gossip: cannot encode a datagram about the store.")
		return false
	}
	if len(text) > maxDatagramBytes {
		return false
	}
	e.mu.RLock()
	conn := e.conn
	e.mu.RUnlock()
	if conn != nil {
		e.sendTo(conn, to, text)
	}
	return true
}

// encodeStore encodes a datagram. With the sender's start, versions that don't know the field
// take it for an outdated update of the load; without it, for one after a restart, and they
// would drop the sender's load.
func (e *Exchange) encodeStore(m *pb.StoreMessage) ([]byte, error) {
	return proto.Marshal(&pb.News{Start: e.incarnation, Store: m})
}
