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
	"github.com/go-json-experiment/json/jsontext"

	"github.com/fescueshed/fescueshed/platform/wire"
)

// Faults is what the store does wrong. The zero value is nothing.
type Faults struct {
	// Status refuses every call with it, if it isn't zero.
	Status int
	// ResetConnections cuts every connection, NoAnswers never answers.
	ResetConnections, NoAnswers bool
	// Delay holds each answer back.
	Delay time.Duration
	// SlowEvents holds answers of watches back that bring events, as a store does that takes long
	// to put a large answer together.
	SlowEvents time.Duration
	// HideEvents makes watches hear nothing.
	HideEvents bool
	// ServePreRestore answers lists and watches with what the store held before it was restored from a snapshot, as a member of it
	// does that lags behind the others.
	ServePreRestore bool
	// ServeOneOf refuses all but one of so many calls for want of a rate, if it is more
	// than one. Stale reads don't count.
	ServeOneOf int
	// OnlyFrom restricts the trouble to calls from these addresses, if there are any.
	OnlyFrom []netip.Addr
}

// Store is a metadata store behind an HTTP handler. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	events   map[string][]storedEvent
	revision uint64
	// epoch rises each time the store is restored from a snapshot.
	epoch uint64
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	trouble   Faults
	calls     int
	// stale is what stale reads see, nil if they see all. former is what was there before the last return.
	stale, former *copied
}

// copied is the store's content as it was.
type copied struct {
	objects  map[string]map[string]object
	revision uint64
	epoch    uint64
}

// object is a stored object as it goes out. It is bytes, since other writers may have put
// anything there.
type object struct {
	meta wire.Meta
	body jsontext.Value
}

// storedEvent is an event as it goes out. It is encoded once: to encode it for each watch kept a watch of
// seven megabytes waiting for seconds on a busy machine.
type storedEvent struct {
	revision uint64
	encoded  jsontext.Value
}

// pageObjects is small, so that tests with few upstreams see several pages.
const pageObjects = 5

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]map[string]object),
		events:  make(map[string][]storedEvent),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the trouble.
func (s *Store) SetFaults(t Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// FreezeStaleReads makes stale reads see the present content from now on, whatever changes.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = s.copy()
}

// copy returns the present content. s.mu is held.
func (s *Store) copy() *copied {
	c := &copied{objects: make(map[string]map[string]object), revision: s.revision, epoch: s.epoch}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Snapshot returns what restores the store to its present content: all that was acknowledged since is gone,
// its revisions are given out again, and a watch from one that isn't there is answered that the history is gone.
func (s *Store) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copy()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for kind, events := range s.events {
			s.events[kind] = slices.DeleteFunc(events, func(e storedEvent) bool { return e.revision > c.revision })
		}
		s.former = s.copy()
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

// CallCount returns how often the store was called.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object and returns when it is acknowledged.
func (s *Store) Put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, encode(spec))
}

// PutRaw replaces an object, as a whole, by what another writer makes of its revision.
func (s *Store) PutRaw(kind, name string, body func(revision uint64) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, jsontext.Value("null"))
	o := s.objects[kind][name]
	o.body = jsontext.Value(body(o.meta.Revision))
	s.objects[kind][name] = o
	s.events[kind][len(s.events[kind])-1].encoded = encode(&wire.Event{Object: o.body})
}

// Content returns an object as it goes out, empty if there is none.
func (s *Store) Content(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].body)
}

func encode(v any) jsontext.Value {
	b, err := json.Marshal(v, outgoing)
	if err != nil {
		panic(err) // All that tests write can be encoded.
	}
	return b
}

// outgoing lets bytes of other writers pass as they are.
var outgoing = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

func (s *Store) put(kind, name string, spec jsontext.Value) {
	s.revision++
	o, ok := s.objects[kind][name]
	if !ok {
		o.meta = wire.Meta{Name: name, Created: s.revision}
	}
	o.meta.Revision = s.revision
	o.body = encode(&wire.Object{Meta: o.meta, Spec: spec})
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.note(kind, wire.Event{Object: o.body})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.note(kind, wire.Event{Object: o.body, Deleted: true})
}

func (s *Store) note(kind string, e wire.Event) {
	s.events[kind] = append(s.events[kind], storedEvent{revision: s.revision, encoded: encode(&e)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history: whoever watches from before must list again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
	clear(s.events)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count()
	t := s.troubleFor(r)
	tellEpoch(w, s.Epoch())
	switch {
	case t.ResetConnections:
		panic(http.ErrAbortHandler)
	case t.NoAnswers:
		<-r.Context().Done()
		return
	case t.Status != 0:
		w.WriteHeader(t.Status)
		return
	}
	q := r.URL.Query()
	stale := q.Has(wire.QueryStale)
	if t.ServeOneOf > 1 && !stale && s.CallCount()%t.ServeOneOf != 0 {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(t.Delay)
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

func (s *Store) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// troubleFor returns the trouble that a call meets.
func (s *Store) troubleFor(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trouble
	if len(t.OnlyFrom) == 0 {
		return t
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !slices.Contains(t.OnlyFrom, from.Addr()) {
		return Faults{}
	}
	return t
}

// write creates an object or replaces one under a condition.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var in wire.ObjectWrite
	if err := json.UnmarshalRead(r.Body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][in.Meta.Name]
	switch {
	case exists && o.meta.Revision != in.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
	case !exists && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.put(kind, in.Meta.Name, in.Spec)
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
	answer(w, &o.body)
}

func (s *Store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	from := &copied{objects: s.objects, revision: s.revision, epoch: s.epoch}
	switch {
	case s.trouble.ServePreRestore && s.former != nil:
		from = s.former
	case stale && s.stale != nil:
		from = s.stale
	}
	p := wire.Page{AsOf: from.revision}
	for _, name := range slices.Sorted(maps.Keys(from.objects[kind])) {
		if name <= after {
			continue
		}
		if len(p.Items) == pageObjects {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, from.objects[kind][name].body)
	}
	s.mu.Unlock()
	tellEpoch(w, from.epoch)
	answer(w, &p)
}

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
		p, gone, changed := s.since(w, kind, from)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(p.Events) > 0 {
			time.Sleep(s.troubleFor(r).SlowEvents)
			answer(w, p)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, p)
			return
		}
	}
}

// since returns the events after a revision, whether the history is gone, and what
// is closed at the next change. It tells the epoch that they are of.
func (s *Store) since(w http.ResponseWriter, kind string, from uint64) (*wire.Page, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trouble.ServePreRestore && s.former != nil {
		tellEpoch(w, s.former.epoch)
		return &wire.Page{AsOf: s.former.revision}, false, s.changed
	}
	tellEpoch(w, s.epoch)
	if from < s.forgotten || from > s.revision {
		return nil, true, nil
	}
	if s.trouble.HideEvents {
		return &wire.Page{AsOf: from}, false, s.changed
	}
	p := &wire.Page{AsOf: s.revision}
	for _, e := range s.events[kind] {
		if e.revision > from {
			p.Events = append(p.Events, e.encoded)
		}
	}
	return p, false, s.changed
}

// tellEpoch puts the epoch of what an answer says into its head.
func tellEpoch(w http.ResponseWriter, epoch uint64) {
	w.Header().Set(wire.HeaderEpoch, strconv.FormatUint(epoch, 10))
}

func answer[T any](w http.ResponseWriter, p *T) {
	b, err := json.Marshal(p, outgoing)
	if err != nil {
		panic(http.ErrAbortHandler) // Nothing that the store holds can't be encoded.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // The caller may have gone away.
}
