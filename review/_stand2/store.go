package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: objects by kind and name, lists and watches.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]*object
	events   map[string][]event
	revision uint64
	changed  chan struct{}
	calls    int
}

type object struct {
	name              string
	revision, created uint64
	spec              json.RawMessage
}

type event struct {
	revision uint64
	object   string
	deleted  bool
}

func newStore() *store {
	return &store{
		objects: map[string]map[string]*object{}, events: map[string][]event{}, revision: 1, changed: make(chan struct{}),
	}
}

func (o *object) encode() string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}`,
		o.name, o.revision, o.created, o.spec)
}

// put writes an object unless it is the same already.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, b)
}

func (s *store) putLocked(kind, name string, spec []byte) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.spec) == string(spec) {
		return
	}
	s.revision++
	n := &object{name: name, revision: s.revision, created: s.revision, spec: spec}
	if o != nil {
		n.created = o.created
	}
	s.objects[kind][name] = n
	s.record(kind, event{revision: s.revision, object: n.encode()})
}

// replaceQuietly replaces the content without a change, as a heartbeat does that changes the sequence only.
func (s *store) replaceQuietly(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		n := *o
		n.spec = b
		s.objects[kind][name] = &n
	}
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, event{revision: s.revision, object: o.encode(), deleted: true})
}

func (s *store) record(kind string, e event) {
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(storeDelay)
	kind, name, named := strings.Cut(path, "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	case named:
		s.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Meta struct {
			Name     string
			Revision uint64
		}
		Spec json.RawMessage
	}
	b, _ := io.ReadAll(r.Body)
	if json.Unmarshal(b, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && in.Meta.Revision != 0 && in.Meta.Revision != o.revision:
		w.WriteHeader(http.StatusConflict)
		io.WriteString(w, o.encode())
		return
	case r.Method == http.MethodPut && o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.putLocked(kind, name, in.Spec)
	io.WriteString(w, s.objects[kind][name].encode())
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	io.WriteString(w, o.encode())
}

// pageItems is the number of objects in a page of a list.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]string, 0, len(names))
	for _, n := range names {
		items = append(items, s.objects[kind][n].encode())
	}
	fmt.Fprintf(w, `{"items":[%s],"hasMore":%t,"asOf":%d}`, strings.Join(items, ","), more, s.revision)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var list []string
		for _, e := range s.events[kind] {
			if e.revision > from {
				list = append(list, fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, e.object))
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		body := fmt.Sprintf(`{"events":[%s],"asOf":%d}`, strings.Join(list, ","), asOf)
		if len(list) > 0 {
			io.WriteString(w, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			io.WriteString(w, body)
			return
		}
	}
}
