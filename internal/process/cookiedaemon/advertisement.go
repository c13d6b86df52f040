package cookiedaemon

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

const (
	// advertisedSpan is how far back the changes in an advertisement reach: three of its periods,
	// so that two consecutive lost datagrams do no harm.
	advertisedSpan = 3 * sweepPeriod
	// maxAdvertisedAge is the age of the store's content up to which a daemon sends it on.
	maxAdvertisedAge = 1500 * time.Millisecond
)

// advertise sends what this daemon holds of the store's content to its zone and to the store
// readers of other zones, if this daemon is a store reader.
func (m *members) advertise(now time.Time) {
	v := m.view.Load()
	m.c.mu.Lock()
	reads := m.c.followsStore(v.ReaderRank(), now)
	m.c.mu.Unlock()
	if reads {
		m.sendAdvertisement(v.Self, append(v.Recipients(true), v.OtherZoneReaders()...), now)
	}
}

// relayAdvertisement relays what this daemon received from another one, origin. A zone's store
// reader sends its zone what another zone's store reader advertised. In a large zone each member
// relays to its children, once.
func (m *members) relayAdvertisement(origin peer.ID, now time.Time) {
	v := m.view.Load()
	if v.IsZoneReader() {
		// An origin in the same zone stands in for this daemon and has sent the advertisement to
		// the others.
		if o := v.Member(origin); o != nil && o.Zone != m.c.cfg.Load().Zone {
			m.sendAdvertisement(v.Self, v.Recipients(true), now)
		}
		return
	}
	if to := v.Recipients(false); origin != 0 && len(to) > 0 && m.c.shouldRelay() {
		m.sendAdvertisement(origin, to, now)
	}
}

// shouldRelay reports whether this daemon holds more than it relayed before. If so, it records the
// present state as relayed.
func (c *Daemon) shouldRelay() bool {
	version := c.inForce.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := advertisementSummary{
		bundle: version, asOf: c.state.catalog.AsOf, digest: c.state.catalog.Digest(), evacuated: c.state.evacuated.Stored.Digest(),
		confirmed: c.state.confirmedAll(),
	}
	if !w.newer(c.lastRelayed) {
		return false
	}
	c.lastRelayed = w
	return true
}

// sendAdvertisement sends what this daemon holds of the store's content, unless that is older than
// maxAdvertisedAge.
func (m *members) sendAdvertisement(origin peer.ID, to []*peer.Member, now time.Time) {
	c := m.c
	c.mu.Lock()
	confirmed := c.state.confirmedAll()
	if now.Sub(confirmed) > maxAdvertisedAge {
		c.mu.Unlock()
		return
	}
	n := &peer.Advertisement{
		From:            origin,
		Age:             now.Sub(confirmed),
		SuspicionPeriod: c.state.catalog.RemovalSuspicionLeft(now),
		BundleAsOf:      c.state.bundleAsOf,
		AsOf:            c.state.catalog.AsOf,
		Digest:          c.state.catalog.Digest(),
		Changes:         c.state.catalog.Recent(now.Add(-advertisedSpan), peer.MaxAdvertisedChanges),
		Evacuated:       peer.NewAdvertisedZones(&c.state.evacuated.Stored),
	}
	c.mu.Unlock()
	// The version is read after the age, so that it isn't advertised as more recent than it is
	// known to be.
	n.Bundle = c.inForce.Version()
	send(m, protocolAdvertisement, m.advertisements, n, to)
}

// receiveAdvertisement applies what another daemon read in the store. If the changes don't lead to
// the sender's state, the sender's catalog is fetched, and the advertisement doesn't count as
// received.
func (m *members) receiveAdvertisement(from netip.AddrPort, n *peer.Advertisement, now time.Time) {
	v := m.view.Load()
	if n.From == v.Self {
		return // This daemon's own advertisement, relayed back while members' views differ.
	}
	confirmed := now.Add(-n.Age)
	c := m.c
	version := c.inForce.Version()
	c.mu.Lock()
	if n.AsOf.Epoch() < c.state.epoch {
		c.mu.Unlock()
		return // The sender doesn't know yet that the store was restored from a snapshot.
	}
	c.observeEpoch(n.AsOf, "News", now)
	c.lastOrigin = n.From
	c.state.catalog.SuspectRemovalsFor(n.SuspicionPeriod, now)
	var resets []cookie.Reset
	if c.state.catalog.ApplyIfComplete(n.Changes, n.AsOf, n.Digest, now) {
		resets = c.updateEngine(now)
	}
	if n.Evacuated.Complete() {
		c.applyEvacuations(n.Evacuated.Zones, contentSource{source: "News", name: from.String(), age: n.Age}, now)
	}
	lacksBundle, lacksList := n.MissingFrom(version, c.state.catalog.AsOf, c.state.catalog.Digest())
	lacksEvacuated := n.Evacuated.MissingFrom(&c.state.evacuated.Stored)
	if !lacksList {
		c.confirmList(confirmed)
	}
	if !lacksEvacuated {
		c.confirmEvacuations(confirmed)
	}
	if !lacksList && !lacksBundle && !lacksEvacuated {
		c.election.Received(confirmed, v.RanksBefore(n.From))
		c.confirmBundleAt(confirmed, n.BundleAsOf)
	}
	c.mu.Unlock()
	c.data.resets(resets)
	if lacksList || lacksBundle || lacksEvacuated {
		m.pull(catalogAddress(v, from, n.From), lacksBundle || lacksEvacuated)
		return
	}
	m.relayAdvertisement(n.From, now)
}

// catalogAddress returns the RPC address of the daemon that sent an advertisement. Behind address
// translation the datagram doesn't show it; then it is the address of the daemon from which the
// advertisement originates.
func catalogAddress(v *peer.View, from netip.AddrPort, origin peer.ID) netip.AddrPort {
	if m := v.MemberAt(from.Addr()); m != nil {
		return m.RPC
	}
	if m := v.Member(origin); m != nil {
		return m.RPC
	}
	return from
}
