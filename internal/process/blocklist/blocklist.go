// Package blocklist prevents a daemon from communicating with given networks. Test runs use it
// to isolate availability zones, and operators to isolate a host that misbehaves.
package blocklist

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// List is a set of networks. It is safe for concurrent use. The zero value
// blocks nothing.
type List struct {
	prefixes atomic.Pointer[[]netip.Prefix]
	// Dropped counts how often Blocks returned true.
	Dropped atomic.Uint64
}

// Set replaces the blocked networks.
func (l *List) Set(p []netip.Prefix) {
	l.prefixes.Store(&p)
}

// Blocks reports whether a is in one of the blocked networks. If so, it increments
// Dropped. A nil list blocks nothing.
func (l *List) Blocks(a netip.Addr) bool {
	if l == nil {
		return false
	}
	list := l.prefixes.Load()
	if list == nil {
		return false
	}
	for _, p := range *list {
		if p.Contains(a) {
			l.Dropped.Add(1)
			return true
		}
	}
	return false
}

const maxBodyBytes = 1 << 16

// ServeHTTP implements http.Handler. It replaces the blocked networks with the JSON list in the
// body of a PUT request.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p []netip.Prefix
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&p); err != nil {
		http.Error(w, "want a JSON list of networks such as 192.0.2.0/24: "+err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(p)
}
