package emulator

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// advertisePeriod is the interval at which a store reader advertises its content.
const advertisePeriod = 500 * time.Millisecond

// advertise sends an advertisement to the host's zone and to the zone readers of other zones if the
// host is a store reader and its content is at most one second old.
func (h *fleetHost) advertise() {
	if !h.ready || !h.readsStore() || h.sim.now-h.contentAsOf > time.Second || h.needsRelist() {
		return
	}
	v := h.currentView()
	h.sendAdvertisement(h, append(v.Recipients(true), v.OtherZoneReaders()...))
}

// sendAdvertisement sends the host's content as of contentAsOf, which origin has read.
func (h *fleetHost) sendAdvertisement(origin *fleetHost, to []*peer.Member) {
	asOf, caughtUp := h.contentAsOf, h.caughtUp
	for _, m := range to {
		o := h.sim.byAddress[m.RPC]
		h.sim.result.Messages++
		h.sim.after(fleetDelay, func() { o.receiveAdvertisement(origin, h, asOf, caughtUp) })
	}
}

// receiveAdvertisement handles an advertisement as of a time that origin sent, and relays it once.
func (h *fleetHost) receiveAdvertisement(origin, sender *fleetHost, asOf time.Duration, caughtUp bool) {
	if !h.running || !h.ready || origin == h {
		return
	}
	v := h.currentView()
	if caughtUp && h.needsRelist() {
		h.fetchRestoredList(sender, origin)
	}
	h.election.Received(wallStart.Add(asOf), v.RanksBefore(origin.self.ID))
	if asOf <= h.contentAsOf {
		return
	}
	h.contentAsOf = asOf
	h.relay(origin)
}

// relay sends the host's content on to those that receive it from this host.
func (h *fleetHost) relay(origin *fleetHost) {
	v := h.currentView()
	switch {
	case v.IsZoneReader() && origin.self.Zone != h.self.Zone:
		h.sendAdvertisement(h, v.Recipients(true))
	case !v.IsZoneReader():
		h.sendAdvertisement(origin, v.Recipients(false))
	}
}
