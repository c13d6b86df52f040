package carrier

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

const (
	// newsSpan is how far back the changes in a news reach: three of its periods, so
	// that two lost datagrams in a row cost nothing.
	newsSpan = 3 * sweepPeriod
	// staleNews is how old the store's word may be for a daemon to pass it on.
	staleNews = 1500 * time.Millisecond
)

// tellNews tells the zone and the readers of other zones what this daemon knows of the
// store, if it is one that reads.
func (m *members) tellNews(now time.Time) {
	v := m.view.Load()
	m.c.mu.Lock()
	reads := m.c.follows(v.ReaderRank(), now)
	m.c.mu.Unlock()
	if reads {
		m.sendNews(v.Self, append(v.Recipients(true), v.OtherZoneReaders()...), now)
	}
}

// passNews passes on what another daemon told: a zone's reader tells its zone what
// another zone's told, and in a large zone each member tells its children, once.
func (m *members) passNews(origin peer.ID, now time.Time) {
	v := m.view.Load()
	if v.IsZoneReader() {
		// One of the own zone stands in for this daemon and has told the others.
		if o := v.Member(origin); o != nil && o.Zone != m.c.cfg.Load().Zone {
			m.sendNews(v.Self, v.Recipients(true), now)
		}
		return
	}
	if to := v.Recipients(false); origin != 0 && len(to) > 0 && m.c.passesOn() {
		m.sendNews(origin, to, now)
	}
}

// passesOn reports whether this daemon knows more than it passed on before, and notes
// what it knows as passed on.
func (c *Carrier) passesOn() bool {
	version := c.inForce.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := word{
		bundle: version, asOf: c.known.catalog.AsOf, digest: c.known.catalog.Digest(), evacuated: c.known.evacuated.Stored.Digest(),
		as: c.known.confirmedAll(),
	}
	if !w.newer(c.passed) {
		return false
	}
	c.passed = w
	return true
}

// sendNews sends what this daemon knows, if that is fresh.
func (m *members) sendNews(origin peer.ID, to []*peer.Member, now time.Time) {
	c := m.c
	c.mu.Lock()
	as := c.known.confirmedAll()
	if now.Sub(as) > staleNews {
		c.mu.Unlock()
		return
	}
	n := &peer.Advertisement{
		From:            origin,
		Age:             now.Sub(as),
		SuspicionPeriod: c.known.catalog.RemovalSuspicion(now),
		BundleAsOf:      c.known.bundleAsOf,
		AsOf:            c.known.catalog.AsOf,
		Digest:          c.known.catalog.Digest(),
		Changes:         c.known.catalog.Recent(now.Add(-newsSpan), peer.MaxAdvertisedChanges),
		Evacuated:       peer.NewAdvertisedZones(&c.known.evacuated.Stored),
	}
	c.mu.Unlock()
	// Read after the age, so that a version isn't called newer than it is known to be.
	n.Bundle = c.inForce.Version()
	send(m, protocolNews, m.news, n, to)
}

// heardNews takes in what another daemon read in the store. If that doesn't lead to
// what the sender knows, everything is fetched from it, and the news don't count as
// heard.
func (m *members) heardNews(from netip.AddrPort, n *peer.Advertisement, now time.Time) {
	v := m.view.Load()
	if n.From == v.Self {
		return // This daemon's own word, which came back while others differ in who is there.
	}
	as := now.Add(-n.Age)
	c := m.c
	version := c.inForce.Version()
	c.mu.Lock()
	if n.AsOf.Epoch() < c.known.epoch {
		c.mu.Unlock()
		return // The sender hasn't heard yet that the store was restored from a snapshot.
	}
	c.seeEpoch(n.AsOf, "News", now)
	c.origin = n.From
	c.known.catalog.SuspectRemovalsFor(n.SuspicionPeriod, now)
	var resets []cookie.Reset
	if c.known.catalog.ApplyIfComplete(n.Changes, n.AsOf, n.Digest, now) {
		resets = c.follow(now)
	}
	if n.Evacuated.Complete() {
		c.takeEvacuations(n.Evacuated.Zones, bundleSource{source: "News", name: from.String(), age: n.Age}, now)
	}
	lacksBundle, lacksList := n.MissingFrom(version, c.known.catalog.AsOf, c.known.catalog.Digest())
	lacksEvacuated := n.Evacuated.MissingFrom(&c.known.evacuated.Stored)
	if !lacksList {
		c.confirmList(as)
	}
	if !lacksEvacuated {
		c.confirmEvacuations(as)
	}
	if !lacksList && !lacksBundle && !lacksEvacuated {
		c.reading.Received(as, v.RanksBefore(n.From))
		c.confirmBundleAt(as, n.BundleAsOf)
	}
	c.mu.Unlock()
	c.data.resets(resets)
	if lacksList || lacksBundle || lacksEvacuated {
		m.pull(teller(v, from, n.From), lacksBundle || lacksEvacuated)
		return
	}
	m.passNews(n.From, now)
}

// teller returns where to ask the daemon that sent news. Behind address translation the
// datagram doesn't show it; then the one that the news are from is asked.
func teller(v *peer.View, from netip.AddrPort, origin peer.ID) netip.AddrPort {
	if m := v.MemberAt(from.Addr()); m != nil {
		return m.RPC
	}
	if m := v.Member(origin); m != nil {
		return m.RPC
	}
	return from
}
