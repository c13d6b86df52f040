package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It keeps each object as the bytes that it sends. It is safe for
// concurrent use.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   map[string][]event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type object struct {
	created, revision uint64
	spec              json.RawMessage
}

type event struct {
	revision uint64
	name     string
	object   object
	deleted  bool
}

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// pageItems is the number of objects in a page of a list.
	pageItems = 500
)

func newStore() *store {
	return &store{
		revision: 1, kinds: make(map[string]map[string]object), events: make(map[string][]event), changed: make(chan struct{}),
	}
}

// put creates or replaces an object. The write is acknowledged when put returns. A write that changes nothing doesn't
// increase the revision.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Everything that the cases write can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, b)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	o, ok := s.kinds[kind][name]
	if ok && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.created = s.revision
	}
	o.revision, o.spec = s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][name] = o
	s.record(kind, event{revision: s.revision, name: name, object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(kind, event{revision: s.revision, name: name, object: o, deleted: true})
}

func (s *store) record(kind string, e event) {
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// names returns the names of all objects of a kind, in order.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (o *object) encode(name string) string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}`,
		name, o.revision, o.created, o.spec)
}

func (e *event) encode() string {
	return fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, e.object.encode(e.name))
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind)
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var in struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, &in)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][in.Meta.Name]
	switch {
	case !exists && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
	case exists && (r.Method == http.MethodPost || in.Meta.Revision != 0 && in.Meta.Revision != o.revision):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, o.encode(in.Meta.Name))
	default:
		o = s.putLocked(kind, in.Meta.Name, in.Spec)
		answer(w, o.encode(in.Meta.Name))
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, o.encode(name))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := s.names(kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []string
	more := false
	for _, name := range names {
		o, ok := s.kinds[kind][name]
		if name <= after || !ok {
			continue
		}
		if more = len(items) == pageItems; more {
			break
		}
		items = append(items, o.encode(name))
	}
	answer(w, fmt.Sprintf(`{"items":[%s],"hasMore":%t,"asOf":%d}`, strings.Join(items, ","), more, s.revision))
}

// watch answers with the events after a revision as soon as there are any, or with none after the requested wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, changed := s.since(kind, from)
		body := fmt.Sprintf(`{"events":[%s],"asOf":%d}`, strings.Join(events, ","), asOf)
		if len(events) > 0 {
			answer(w, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, body)
			return
		}
	}
}

func (s *store) since(kind string, from uint64) (events []string, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.events[kind] {
		if e := &s.events[kind][i]; e.revision > from {
			events = append(events, e.encode())
		}
	}
	return events, s.revision, s.changed
}

func answer(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // The client may have closed the connection.
}
