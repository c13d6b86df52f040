package metadata

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/fescueshed/fescueshed/platform/wire"
)

// Faults are the faults that the store shows at present. The zero value means none.
type Faults struct {
	// Status is the HTTP status with which the store refuses every call, unless it is zero.
	Status int
	// ResetConnections aborts the connection of every call. NoAnswers leaves every call without an answer until the
	// client ends it.
	ResetConnections, NoAnswers bool
	// Delay is how long the store waits before it handles a call.
	Delay time.Duration
	// SlowEvents delays the answers to watches that contain events, as a store does that takes long
	// to build a large answer.
	SlowEvents time.Duration
	// HideEvents makes watches return no events.
	HideEvents bool
	// ServePreRestore answers lists and watches with the content from before the last restore from a snapshot, as a
	// member of the store does that lags behind the others.
	ServePreRestore bool
	// ServeOneOf, if more than one, makes the store serve one call in ServeOneOf and refuse the others as rate limited.
	// Stale reads are always served.
	ServeOneOf int
	// OnlyFrom restricts the faults to calls from these addresses. If it is empty, they apply to all calls.
	// HideEvents and ServePreRestore apply to all calls in any case.
	OnlyFrom []netip.Addr
}

// Store is an in-memory metadata store that is served by HTTP. It is safe for concurrent use.
type Store struct {
	// writes is held by writers, also while they encode objects. It is locked before mu, which guards the fields.
	writes   sync.Mutex
	mu       sync.Mutex
	objects  map[string]map[string]object
	events   map[string][]storedEvent
	revision uint64
	// epoch counts how often the store was restored from a snapshot.
	epoch uint64
	// historyStart is the revision up to which the events were dropped.
	historyStart uint64
	// changed is closed, and replaced, at each change.
	changed chan struct{}
	faults  Faults
	calls   int
	// staleView is the content that stale reads return, nil if they return the current content. preRestore is the
	// content from before the last restore from a snapshot, nil if there was none.
	staleView, preRestore *snapshot
}

// snapshot is a copy of the store's content at one revision.
type snapshot struct {
	objects  map[string]map[string]object
	revision uint64
	epoch    uint64
}

// object is a stored object. Its body is kept as the bytes that the store sends, since other writers may have
// written anything there.
type object struct {
	meta wire.Meta
	body string
}

// storedEvent is an event in its encoded form. It is encoded only once: encoding it for each watch delayed a watch
// of seven megabytes by seconds on a busy machine.
type storedEvent struct {
	revision uint64
	encoded  string
}

// maxPageItems is the number of objects in a page of a list. It is small so that tests with few upstreams get
// several pages.
const maxPageItems = 5

// maxPageBytes is the size of a page from which it gets no more objects.
const maxPageBytes = 1 << 20

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]map[string]object),
		events:  make(map[string][]storedEvent),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// FreezeStaleReads makes stale reads return the content as of this call, whatever changes later.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleView = s.takeSnapshot()
}

// takeSnapshot returns a copy of the present content. s.mu must be held.
func (s *Store) takeSnapshot() *snapshot {
	c := &snapshot{objects: make(map[string]map[string]object), revision: s.revision, epoch: s.epoch}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Snapshot returns a function that restores the store to its present content. A restore loses all writes that were
// acknowledged since and assigns their revisions again. A watch from a revision that the store hasn't reached yet is
// then answered that the history was dropped.
func (s *Store) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.takeSnapshot()
	return func() {
		s.writes.Lock()
		defer s.writes.Unlock()
		s.mu.Lock()
		defer s.mu.Unlock()
		for kind, events := range s.events {
			s.events[kind] = slices.DeleteFunc(events, func(e storedEvent) bool { return e.revision > c.revision })
		}
		s.preRestore = s.takeSnapshot()
		s.epoch++
		s.revision, s.objects = c.revision, make(map[string]map[string]object)
		for kind, objects := range c.objects {
			s.objects[kind] = maps.Clone(objects)
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Epoch returns how often the store was restored from a snapshot.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// CallCount returns how many calls the store received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates or replaces an object. The write is acknowledged when Put returns.
func (s *Store) Put(kind, name string, spec any) {
	s.writes.Lock()
	defer s.writes.Unlock()
	s.put(kind, name, encode(spec))
}

// PutRaw replaces a whole object, metadata included, by the bytes that body returns for its new revision, as another
// writer could. The bytes may be invalid.
func (s *Store) PutRaw(kind, name string, body func(revision uint64) string) {
	s.writes.Lock()
	defer s.writes.Unlock()
	s.put(kind, name, "null")
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.body = body(o.meta.Revision)
	s.objects[kind][name] = o
	s.events[kind][len(s.events[kind])-1].encoded = encodeEvent(o.body, false)
}

// PutSpec creates or replaces an object whose content consists of the given bytes, as another writer could. They may be
// invalid.
func (s *Store) PutSpec(kind, name, spec string) {
	s.writes.Lock()
	defer s.writes.Unlock()
	s.put(kind, name, spec)
}

// Content returns an object as the store sends it, empty if there is none.
func (s *Store) Content(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].body
}

// put writes an object under the next revision. s.writes must be held. Other calls are answered while a large object
// is encoded.
func (s *Store) put(kind, name, spec string) {
	s.mu.Lock()
	next := s.revision + 1
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		o.meta = wire.Meta{Name: name, Created: next}
	}
	o.meta.Revision = next
	o.body = encodeObject(&o.meta, spec)
	event := encodeEvent(o.body, false)

	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = next
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.recordEvent(kind, event)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.writes.Lock()
	defer s.writes.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.recordEvent(kind, encodeEvent(o.body, true))
}

// recordEvent adds an event of the present revision to the history and wakes the watches. s.mu must be held.
func (s *Store) recordEvent(kind, encoded string) {
	s.events[kind] = append(s.events[kind], storedEvent{revision: s.revision, encoded: encoded})
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops all events so far: a client that watches from an earlier revision must list again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.revision
	clear(s.events)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.countCall()
	f := s.faultsFor(r)
	setEpochHeader(w, s.Epoch())
	switch {
	case f.ResetConnections:
		panic(http.ErrAbortHandler)
	case f.NoAnswers:
		<-r.Context().Done()
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	}
	q := r.URL.Query()
	stale := q.Has(wire.QueryStale)
	if f.ServeOneOf > 1 && !stale && s.CallCount()%f.ServeOneOf != 0 {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(f.Delay)
	path, ok := strings.CutPrefix(r.URL.Path, wire.ObjectsPath)
	kind, name, named := strings.Cut(path, "/")
	switch {
	case !ok:
		http.NotFound(w, r)
		return
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind)
		return
	case named && r.Method == http.MethodDelete:
		if s.Content(kind, name) == "" {
			w.WriteHeader(http.StatusNotFound)
		}
		s.Delete(kind, name)
		return
	case named:
		s.get(w, kind, name)
		return
	}
	if q.Has(wire.QueryWatch) {
		s.watch(w, r, kind)
		return
	}
	s.list(w, kind, q.Get(wire.QueryAfter), stale)
}

func (s *Store) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// faultsFor returns the faults that apply to a call.
func (s *Store) faultsFor(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if len(f.OnlyFrom) == 0 {
		return f
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !slices.Contains(f.OnlyFrom, from.Addr()) {
		return Faults{}
	}
	return f
}

// write creates an object, or replaces one if the call names its present revision. It answers 409 if the call names
// another one, and 404 if a PUT names an object that doesn't exist.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var in wire.ObjectWrite
	if err := json.UnmarshalRead(r.Body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	s.mu.Lock()
	o, exists := s.objects[kind][in.Meta.Name]
	s.mu.Unlock()
	switch {
	case exists && o.meta.Revision != in.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
	case !exists && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.put(kind, in.Meta.Name, string(in.Spec))
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o.body)
}

// list answers with a page of the objects whose names come after the given one.
func (s *Store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	source := &snapshot{objects: s.objects, revision: s.revision, epoch: s.epoch}
	switch {
	case s.faults.ServePreRestore && s.preRestore != nil:
		source = s.preRestore
	case stale && s.staleView != nil:
		source = s.staleView
	}
	var items []string
	hasMore, size := false, 0
	for _, name := range slices.Sorted(maps.Keys(source.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == maxPageItems || size >= maxPageBytes {
			hasMore = true
			break
		}
		body := source.objects[kind][name].body
		items, size = append(items, body), size+len(body)
	}
	s.mu.Unlock()
	setEpochHeader(w, source.epoch)
	writeJSON(w, encodeList(items, hasMore, source.revision))
}

// watch answers with the events after a revision as soon as there are any, or with none after the requested wait.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get(wire.QueryWatch), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get(wire.QueryWait))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, changed := s.eventsSince(w, kind, from)
		if changed == nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := encodeEvents(events, asOf)
		if len(events) > 0 {
			time.Sleep(s.faultsFor(r).SlowEvents)
			writeJSON(w, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, body)
			return
		}
	}
}

// eventsSince returns the events after a revision, the revision up to which they lead, and a channel that is closed at the
// next change, nil if the history from there was dropped. It sets the header with the epoch of the events.
func (s *Store) eventsSince(
	w http.ResponseWriter, kind string, from uint64,
) (events []string, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ServePreRestore && s.preRestore != nil {
		setEpochHeader(w, s.preRestore.epoch)
		return nil, s.preRestore.revision, s.changed
	}
	setEpochHeader(w, s.epoch)
	if from < s.historyStart || from > s.revision {
		return nil, 0, nil
	}
	if s.faults.HideEvents {
		return nil, from, s.changed
	}
	for _, e := range s.events[kind] {
		if e.revision > from {
			events = append(events, e.encoded)
		}
	}
	return events, s.revision, s.changed
}
