// Package blocklist keeps a daemon from speaking with given networks. Trials cut
// availability zones off with it, and operators a host that misbehaves.
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
	// Dropped counts what was blocked.
	Dropped atomic.Uint64
}

// Set replaces the networks.
func (l *List) Set(p []netip.Prefix) {
	l.prefixes.Store(&p)
}

// Blocks reports whether a is in one of the networks, and counts it then. A nil
// list blocks nothing.
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

// ServeHTTP replaces the networks by the JSON list in the body of a PUT.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p []netip.Prefix
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&p); err != nil {
		http.Error(w, "want a JSON list of networks such as 192.0.2.0/24: "+err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(p)
}
