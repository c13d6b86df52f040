package world

import (
	"net/netip"
	"sync"
	"time"
)

// cuts holds which paths between hosts, and from hosts to upstreams, are cut. It is safe
// for concurrent use.
type cuts struct {
	mu sync.Mutex
	// zones holds the zone of each host.
	zones map[netip.Addr]string
	// cutZones are zones that are cut off from the other zones. Hosts in inboundCut receive nothing from
	// anybody, and nobody receives anything from hosts in outboundCut. The numbers count overlapping cuts.
	cutZones                map[string]int
	inboundCut, outboundCut map[netip.Addr]int
	upstreams               map[*Upstream]int
}

func newCuts() *cuts {
	return &cuts{
		zones: make(map[netip.Addr]string), cutZones: make(map[string]int),
		inboundCut: make(map[netip.Addr]int), outboundCut: make(map[netip.Addr]int), upstreams: make(map[*Upstream]int),
	}
}

// zonesCut reports whether two zones are cut off from each other. c.mu must be held.
func (c *cuts) zonesCut(a, b string) bool { return a != b && c.cutZones[a]+c.cutZones[b] > 0 }

// blockedToHost returns a function that reports whether datagrams and connections from a sender to a host are blocked.
func (c *cuts) blockedToHost(h *Host) func(from netip.Addr) bool {
	return func(from netip.Addr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.inboundCut[h.IP]+c.outboundCut[from] > 0 || c.zonesCut(c.zones[from], h.Zone)
	}
}

// blockedToUpstream returns a function that reports whether datagrams and connections from a sender to an upstream are
// blocked.
func (c *cuts) blockedToUpstream(s *Upstream) func(from netip.Addr) bool {
	return func(from netip.Addr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.upstreams[s] > 0 || c.zonesCut(c.zones[from], string(s.Zone))
	}
}

// cutFor counts key as cut in the map of, for the duration d.
func cutFor[K comparable](c *cuts, of map[K]int, key K, d time.Duration) {
	c.mu.Lock()
	of[key]++
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		of[key]--
	})
}

// CutPeers cuts a host off from the other hosts for a time. Unless receives is set, the host receives nothing from
// them; unless sends is set, they receive nothing from it.
func (w *World) CutPeers(h *Host, receives, sends bool, d time.Duration) {
	if !receives {
		cutFor(w.cuts, w.cuts.inboundCut, h.IP, d)
	}
	if !sends {
		cutFor(w.cuts, w.cuts.outboundCut, h.IP, d)
	}
}

// CutZone cuts a zone off from the others for a time: hosts from hosts, and hosts from
// upstreams. Callers still reach all hosts, and all hosts still reach the store.
func (w *World) CutZone(zone string, d time.Duration) {
	cutFor(w.cuts, w.cuts.cutZones, zone, d)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.upstreams {
		s.markLinkCut(d)
	}
}

// CutUpstream cuts the paths from all hosts to some upstream for a time. The upstream can still send. CutUpstream
// returns false if there is no upstream that may be removed.
func (w *World) CutUpstream(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pickRemovable()
	if s == nil {
		return false
	}
	cutFor(w.cuts, w.cuts.upstreams, s, d)
	s.markLinkCut(d)
	return true
}

// markLinkCut records that links of the upstream are cut for a time. w.mu must be held.
func (s *Upstream) markLinkCut(d time.Duration) {
	if until := time.Now().Add(d); until.After(s.linkCutUntil) {
		s.linkCutUntil = until
	}
}
