package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is one object of the platform's store.
type storedObject struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
}

// historyTime is history-s: the store forgets older changes.
const historyTime = 20 * time.Second

type storeEvent struct {
	kind     string
	revision uint64
	at       time.Time
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

// store is an in-memory stand-in of the platform's metadata store.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storeEvent
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	// watches counts the watches of servers that are waiting, by the link that they came on.
	watches map[int]int
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{}), watches: map[int]int{}}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// listen returns the address of a link of its own to the store.
func (s *store) listen(link int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms")); ms >= leastWait && strings.HasSuffix(r.URL.Path, "/servers") {
			s.countWatch(link, 1)
			defer s.countWatch(link, -1)
		}
		s.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// leastWait is the least wait-ms of a call that waits for changes.
const leastWait = 500

func (s *store) countWatch(link, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[link] += n
}

// watching reports whether a watch of servers is waiting that came on a link.
func (s *store) watching(link int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[link] > 0
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, nil, text)
}

func (s *store) putLocked(kind, name string, finalizers []string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o, ok := s.objects[kind][name]
	s.revision++
	if !ok {
		o = storedObject{Metadata: objectMeta{Name: name, Created: s.revision}}
	}
	o.Metadata.Revision, o.Metadata.Finalizers, o.Spec = s.revision, finalizers, spec
	s.objects[kind][name] = o
	s.addEventLocked(storeEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.addEventLocked(storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) addEventLocked(e storeEvent) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls of the store that the gateway makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, at := []storedObject{}, s.revision
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > page
	answer(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "has-more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.forgetLocked()
		if after < s.forgotten {
			s.mu.Unlock()
			answer(w, http.StatusGone, nil)
			return
		}
		events, at, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) forgetLocked() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
		s.forgotten = s.events[0].revision
		s.events = s.events[1:]
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	want, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	conflict := ok && want != 0 && want != o.Metadata.Revision
	if ok && !conflict {
		s.removeLocked(kind, name)
	}
	s.mu.Unlock()
	switch {
	case !ok:
		answer(w, http.StatusNotFound, nil)
	case conflict:
		answer(w, http.StatusConflict, o)
	default:
		answer(w, http.StatusOK, o)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storedObject
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case create && ok, !create && ok && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
	case !create && !ok:
		answer(w, http.StatusNotFound, nil)
	default:
		answer(w, http.StatusOK, s.putLocked(kind, name, in.Metadata.Finalizers, in.Spec))
	}
}
