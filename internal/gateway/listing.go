package gateway

import (
	"strconv"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/origin"
)

// candidate is a server with its key. The key is built once per list, as building it
// would take most of the time of a choice among 1,100 servers.
type candidate struct {
	catalog.Server
	key string
	// software is the hash of the server's software version, 0 if it doesn't say one.
	software uint64
}

// serverKey identifies one incarnation of a server.
func serverKey(s catalog.Server) string {
	return s.ID + "#" + strconv.FormatInt(s.Incarnation, 10)
}

// poolKey identifies the servers that can take the same work.
type poolKey struct {
	service string
	stage   catalog.Stage
}

// listing is an immutable list of servers, which is read without a lock.
type listing struct {
	all []candidate
	// pools has the servers that accept new work.
	pools map[poolKey][]candidate
	// byHash has the servers' places in all by their gossip.ServerKey.
	byHash map[uint64]int
}

func newListing(list []catalog.Server) *listing {
	l := &listing{all: make([]candidate, 0, len(list)), pools: map[poolKey][]candidate{}, byHash: make(map[uint64]int, len(list))}
	for i, s := range list {
		c := candidate{s, serverKey(s), origin.Hash(s.Software)}
		l.all = append(l.all, c)
		l.byHash[gossip.ServerKey(c.key)] = i
		if !s.Leaving {
			p := poolKey{s.Service, s.Stage}
			l.pools[p] = append(l.pools[p], c)
		}
	}
	return l
}

// find returns the server with a gossip.ServerKey.
func (l *listing) find(hash uint64) (candidate, bool) {
	i, ok := l.byHash[hash]
	if !ok {
		return candidate{}, false
	}
	return l.all[i], true
}

// isPrefill reports whether the server with a gossip.ServerKey is a prefill engine.
func (l *listing) isPrefill(hash uint64) bool {
	c, ok := l.find(hash)
	return ok && c.Stage == catalog.Prefill
}

// servers returns all servers.
func (l *listing) servers() []catalog.Server {
	out := make([]catalog.Server, len(l.all))
	for i := range l.all {
		out[i] = l.all[i].Server
	}
	return out
}

// usable returns the servers of a service and stage that accept new work. The caller
// must not modify the result.
func (l *listing) usable(service string, stage catalog.Stage) []candidate {
	return l.pools[poolKey{service, stage}]
}

// engines returns the servers of a service in any stage that accept new work.
func (l *listing) engines(service string) []candidate {
	var out []candidate
	for _, s := range []catalog.Stage{catalog.NoStage, catalog.Prefill, catalog.Decode} {
		out = append(out, l.usable(service, s)...)
	}
	return out
}
