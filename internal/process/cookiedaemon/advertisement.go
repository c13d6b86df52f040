package cookiedaemon

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const (
	// advertisedSpan is how far back the changes in an advertisement reach: three of its periods,
	// so that two consecutive lost datagrams do no harm.
	advertisedSpan = 3 * sweepPeriod
	// maxAdvertisedAge is the age of the store's content up to which a daemon sends it on.
	maxAdvertisedAge = 1500 * time.Millisecond
)

// advertise sends what this daemon holds of the store's content to its zone and to the zone readers
// of other zones, if this daemon is a store reader.
func (m *members) advertise(now time.Time) {
	v := m.view.Load()
	m.daemon.mu.Lock()
	reads := m.daemon.followsStore(v.ReaderRank(), now)
	m.daemon.mu.Unlock()
	if reads {
		m.sendAdvertisement(v.Self, append(v.Recipients(true), v.OtherZoneReaders()...), now)
	}
}

// relayAdvertisement relays what this daemon received from another one, origin. A zone reader sends
// its zone what a daemon of another zone advertised. In a large zone each member relays to its
// children, once.
func (m *members) relayAdvertisement(origin peer.ID, now time.Time) {
	v := m.view.Load()
	if v.IsZoneReader() {
		// An origin in the same zone stands in for this daemon and has sent the advertisement to
		// the others.
		if o := v.Member(origin); o != nil && o.Zone != m.daemon.cfg.Load().Zone {
			m.sendAdvertisement(v.Self, v.Recipients(true), now)
		}
		return
	}
	if to := v.Recipients(false); origin != 0 && len(to) > 0 && m.daemon.shouldRelay() {
		m.sendAdvertisement(origin, to, now)
	}
}

// shouldRelay reports whether this daemon holds more than it relayed before. If so, it records the
// present state as relayed.
func (d *Daemon) shouldRelay() bool {
	version := d.inForce.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	summary := advertisementSummary{
		bundle: version, asOf: d.state.catalog.AsOf, digest: d.state.catalog.Digest(), evacuated: d.state.evacuated.Stored.Digest(),
		confirmed: d.state.confirmedAll(),
	}
	if !summary.newer(d.lastRelayed) {
		return false
	}
	d.lastRelayed = summary
	return true
}

// sendAdvertisement sends what this daemon holds of the store's content, unless that is older than
// maxAdvertisedAge.
func (m *members) sendAdvertisement(origin peer.ID, to []*peer.Member, now time.Time) {
	d := m.daemon
	d.mu.Lock()
	confirmed := d.state.confirmedAll()
	if now.Sub(confirmed) > maxAdvertisedAge {
		d.mu.Unlock()
		return
	}
	a := &peer.Advertisement{
		From:            origin,
		Age:             now.Sub(confirmed),
		SuspicionPeriod: d.state.catalog.RemovalSuspicionLeft(now),
		BundleAsOf:      d.state.bundleAsOf,
		AsOf:            d.state.catalog.AsOf,
		Digest:          d.state.catalog.Digest(),
		Changes:         d.advertisedChanges(now),
		Evacuated:       peer.NewAdvertisedZones(&d.state.evacuated.Stored),
	}
	d.mu.Unlock()
	// The version is read after the age, so that it isn't advertised as more recent than it is
	// known to be.
	a.Bundle = d.inForce.Version()
	send(m, protocolAdvertisement, m.advertisements, a, to)
}

// advertisedChanges returns the changes for an advertisement: those of advertisedSpan if they are
// few, and otherwise those that this daemon hasn't advertised yet. While hundreds of upstreams are
// replaced, repeated changes would fill the links of hosts that relay them, and if members had to
// fetch them, each level of the tree would receive them a fetch later. d.mu must be held.
func (d *Daemon) advertisedChanges(now time.Time) []registry.Change {
	c := d.state.catalog
	changes := c.Recent(now.Add(-advertisedSpan), peer.MaxRepeatedChanges+1)
	if len(changes) > peer.MaxRepeatedChanges {
		changes = c.LoggedAfter(d.lastAdvertised, peer.MaxAdvertisedChanges)
	}
	d.lastAdvertised = c.Logged()
	if !peer.CanAdvertise(changes) {
		return nil
	}
	return changes
}

// receiveAdvertisement applies what another daemon read in the store. If the changes don't lead to
// the sender's state, the sender's catalog is fetched, and the advertisement doesn't count as
// received.
func (m *members) receiveAdvertisement(from netip.AddrPort, a *peer.Advertisement, now time.Time) {
	v := m.view.Load()
	if a.From == v.Self {
		return // This daemon's own advertisement, relayed back while members' views differ.
	}
	confirmed := now.Add(-a.Age)
	d := m.daemon
	version := d.inForce.Version()
	d.mu.Lock()
	if a.AsOf.Epoch() < d.state.epoch {
		d.mu.Unlock()
		return // The sender doesn't know yet that the store was restored from a snapshot.
	}
	d.observeEpoch(a.AsOf, "News", now)
	d.lastOrigin = a.From
	d.state.catalog.SuspectRemovalsFor(a.SuspicionPeriod, now)
	var resets []cookie.Reset
	if d.state.catalog.ApplyIfComplete(a.Changes, a.AsOf, a.Digest, now) {
		resets = d.updateEngine(now)
	}
	if a.Evacuated.Complete() {
		d.applyEvacuations(a.Evacuated.Zones, contentSource{source: "News", name: from.String(), age: a.Age}, now)
	}
	lacksBundle, lacksList := a.MissingFrom(version, d.state.catalog.AsOf, d.state.catalog.Digest())
	lacksEvacuated := a.Evacuated.MissingFrom(&d.state.evacuated.Stored)
	if !lacksList {
		d.confirmList(confirmed)
	}
	if !lacksEvacuated {
		d.confirmEvacuations(confirmed)
	}
	if lacksBundle {
		d.engine.NoteNewerVersion(a.Bundle, now)
	}
	if !lacksList && !lacksBundle && !lacksEvacuated {
		d.election.Received(confirmed, v.RanksBefore(a.From))
		d.confirmBundleAt(confirmed, a.BundleAsOf)
	} else {
		d.election.Offered(confirmed)
	}
	d.mu.Unlock()
	d.data.resets(resets)
	if lacksList || lacksBundle || lacksEvacuated {
		m.pull(catalogAddress(v, from, a.From), lacksBundle || lacksEvacuated)
		return
	}
	m.relayAdvertisement(a.From, now)
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
