package gateway

import (
	"strconv"

	"jayford.example/jayford/internal/catalog"
)

// candidate is a server beside the name of its start. The name is made once per
// list: with 1,100 servers a choice would else spend most of its time on it.
type candidate struct {
	catalog.Server
	start string
}

// start names one start of a server.
func start(s catalog.Server) string {
	return s.ID + "#" + strconv.FormatInt(s.Incarnation, 10)
}

// pool tells apart the servers that can take the same work.
type pool struct {
	service string
	stage   catalog.Stage
}

// listing is one list of servers. It never changes, so that choices read it
// without a lock.
type listing struct {
	all []candidate
	// pools has the servers that take new work.
	pools map[pool][]candidate
}

func newListing(list []catalog.Server) *listing {
	l := &listing{all: make([]candidate, 0, len(list)), pools: map[pool][]candidate{}}
	for _, s := range list {
		c := candidate{s, start(s)}
		l.all = append(l.all, c)
		if !s.Leaving {
			p := pool{s.Service, s.Stage}
			l.pools[p] = append(l.pools[p], c)
		}
	}
	return l
}

// usable returns the servers of a service and stage that take new work. The
// caller must not change it.
func (l *listing) usable(service string, stage catalog.Stage) []candidate {
	return l.pools[pool{service, stage}]
}

// engines returns the servers of a service of all stages that take new work.
func (l *listing) engines(service string) []candidate {
	var out []candidate
	for _, s := range []catalog.Stage{catalog.NoStage, catalog.Prefill, catalog.Decode} {
		out = append(out, l.usable(service, s)...)
	}
	return out
}
