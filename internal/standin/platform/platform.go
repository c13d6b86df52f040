// Package platform stands in for the platform's object service. Tests and trials can switch
// faults on and off.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/platform"
)

// Faults are the faults that the service shows at present. The zero value means none.
type Faults struct {
	// Down makes the service refuse every call.
	Down bool
	// Delay is how long the service waits before it handles a call.
	Delay time.Duration
	// LoseAnswers is how many of the next writes take effect but get no answer.
	LoseAnswers int
}

// Service is an in-memory object service that is served by HTTP. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	// changed is closed at each write and replaced by a new channel.
	changed chan struct{}
	hosts   []platform.Host
	faults  Faults
	counts  Counts
}

// Counts holds how many calls of each kind the service received.
type Counts struct {
	Reads, Writes, Watches int
}

// New returns an empty service.
func New() *Service {
	return &Service{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

// SetHosts replaces the list of hosts.
func (s *Service) SetHosts(h []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = h
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns how many calls of each kind the service received.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	key, isObject := strings.CutPrefix(r.URL.Path, platform.ObjectsPath)
	switch {
	case r.URL.Path == platform.HostsPath && r.Method == http.MethodGet:
		s.serveHosts(w)
	case isObject && r.Method == http.MethodGet:
		s.serveGet(w, r, key)
	case isObject && r.Method == http.MethodPut:
		s.servePut(w, r, key)
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) serveHosts(w http.ResponseWriter) {
	s.mu.Lock()
	s.counts.Reads++
	b, err := json.Marshal(s.hosts)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("ETag", `"1"`)
	_, _ = w.Write(b)
}

// serveGet returns an object. With the parameter after, it waits for a version later than that, for at most
// the time in the parameter wait.
func (s *Service) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	watch := q.Has("after")
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		o, ok := s.objects[key]
		changed := s.changed
		s.countRead(watch)
		s.mu.Unlock()
		if ok && (!watch || uint64(o.Version) > after) {
			w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(o.Version), 10)))
			_, _ = w.Write(o.Body)
			return
		}
		if !watch {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// countRead counts a call of serveGet. A watch is counted each time it checks the object. s.mu must be held.
func (s *Service) countRead(watch bool) {
	if watch {
		s.counts.Watches++
		return
	}
	s.counts.Reads++
}

// servePut writes an object if the condition in the request's headers holds.
func (s *Service) servePut(w http.ResponseWriter, r *http.Request, key string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxObjectBytes+1))
	if err != nil || len(body) > platform.MaxObjectBytes {
		http.Error(w, "the object is too large or was cut off", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	s.counts.Writes++
	old := s.objects[key]
	if !preconditionHolds(r, old.Version) {
		s.mu.Unlock()
		http.Error(w, "the object has another version", http.StatusPreconditionFailed)
		return
	}
	next := old.Version + 1
	s.objects[key] = platform.Object{Version: next, Body: body}
	close(s.changed)
	s.changed = make(chan struct{})
	loseAnswer := s.faults.LoseAnswers > 0
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(next), 10)))
}

// preconditionHolds reports whether an object of a version, zero if there is none, meets a request's If-None-Match or
// If-Match header.
func preconditionHolds(r *http.Request, version platform.ObjectVersion) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return version == 0
	}
	return r.Header.Get("If-Match") == strconv.Quote(strconv.FormatUint(uint64(version), 10))
}
