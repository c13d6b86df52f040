package world

import (
	"net/netip"
	"sync"
	"time"
)

// cuts says which paths between hosts, and from hosts to upstreams, are cut. It is safe
// for concurrent use.
type cuts struct {
	mu sync.Mutex
	// zones holds the zone of each host.
	zones map[netip.Addr]string
	// cutZones are cut off from the others, deaf hosts hear nobody, mute ones aren't
	// heard. Numbers count cuts that overlap.
	cutZones   map[string]int
	deaf, mute map[netip.Addr]int
	servers    map[*Upstream]int
}

func newCuts() *cuts {
	return &cuts{
		zones: make(map[netip.Addr]string), cutZones: make(map[string]int),
		deaf: make(map[netip.Addr]int), mute: make(map[netip.Addr]int), servers: make(map[*Upstream]int),
	}
}

// apart reports whether two zones are cut off from each other. c.mu is held.
func (c *cuts) apart(a, b string) bool { return a != b && c.cutZones[a]+c.cutZones[b] > 0 }

// toHost returns which senders a host doesn't hear.
func (c *cuts) toHost(h *Host) func(from netip.Addr) bool {
	return func(from netip.Addr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.deaf[h.IP]+c.mute[from] > 0 || c.apart(c.zones[from], h.Zone)
	}
}

// toServer returns which senders an upstream doesn't hear.
func (c *cuts) toServer(s *Upstream) func(from netip.Addr) bool {
	return func(from netip.Addr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.servers[s] > 0 || c.apart(c.zones[from], string(s.Zone))
	}
}

// during counts something as cut for a time.
func during[K comparable](c *cuts, of map[K]int, key K, d time.Duration) {
	c.mu.Lock()
	of[key]++
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		of[key]--
	})
}

// CutPeers cuts a host off from the other hosts for a time: it hears none, or none hears
// it, or both.
func (w *World) CutPeers(h *Host, hears, heard bool, d time.Duration) {
	if !hears {
		during(w.cuts, w.cuts.deaf, h.IP, d)
	}
	if !heard {
		during(w.cuts, w.cuts.mute, h.IP, d)
	}
}

// CutZone cuts a zone off from the others for a time: hosts from hosts, and hosts from
// upstreams. Callers reach all hosts, and all hosts reach the store.
func (w *World) CutZone(zone string, d time.Duration) {
	during(w.cuts, w.cuts.cutZones, zone, d)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.harm(d)
	}
}

// CutUpstream cuts an upstream off from all hosts for a time. It goes on sending.
func (w *World) CutUpstream(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pick()
	if s == nil {
		return false
	}
	during(w.cuts, w.cuts.servers, s, d)
	s.harm(d)
	return true
}

// harm notes that the upstream's links are cut for a time. w.mu is held.
func (s *Upstream) harm(d time.Duration) {
	if until := time.Now().Add(d); until.After(s.harmed) {
		s.harmed = until
	}
}
