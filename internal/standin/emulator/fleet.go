package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Fleet describes the start of many hosts, without callers' flows. The decisions come from the
// product's own peer.Membership, peer.Startup, peer.ReaderElection and peer.RetryPause. The store
// only counts its calls.
type Fleet struct {
	// Zones is the number of zones. Large and Small are the numbers of large and small hosts in
	// each.
	Zones, Large, Small int
	// SmallShare is a small host's share of a core in thousandths, smallShare if it is zero.
	SmallShare int
	// Upstreams is the number of registered upstreams.
	Upstreams int
	// FirstStart says that the system starts for the first time and no callers wait. Otherwise a
	// caller's packet arrives at each host after CallerDelay on average.
	FirstStart  bool
	CallerDelay time.Duration
	// SeedsDown makes all seed addresses those of hosts that don't run.
	SeedsDown bool
	// StoreFrom and StoreUntil are the start and the end of a period in which the store refuses
	// all calls.
	StoreFrom, StoreUntil time.Duration
	// StoreRestored says that the store is restored from a snapshot at StoreUntil: hosts that
	// watch must list again, and hosts that receive an advertisement of it must fetch the whole
	// list.
	StoreRestored bool
	// RefuseCatalogRequests makes every member refuse requests for its catalog.
	RefuseCatalogRequests bool
	// Length is the duration of the simulation.
	Length time.Duration
}

// FleetResult is the result of a start.
type FleetResult struct {
	// Calls is the number of calls to the store, Refused the number of those that it refused.
	Calls, Refused int
	// ReadyTimes holds the time from each host's start until it could place flows, in ascending
	// order. Hosts that never could are left out.
	ReadyTimes []time.Duration
	// Relisted is the number of hosts that listed again after the store was restored from a
	// snapshot. CatchUpTimes holds the time from then until each host had received the restored
	// list, in ascending order.
	Relisted     int
	CatchUpTimes []time.Duration
	// StoreReaders is the number of hosts that read the store at the end.
	StoreReaders int
	// Messages counts datagrams between hosts, MembersSent the members in the lists that they
	// exchanged, and MostTracked is the largest number of members that a host tracks at the end.
	Messages, MembersSent, MostTracked int
}

// Parameters of the model. largeShare and smallShare are the hosts' shares of a core, in
// thousandths. fleetDelay is the one-way delay between hosts, storeLatency the time until an answer
// of the store arrives. Work is the processor time on a whole core; a host with a share of a core
// takes longer. messageWork is for each message sent or received, callWork for each call,
// storeEntryWork for each upstream in an answer of the store, and catalogEntryWork for each entry of
// a list that another host sends.
const (
	largeShare        = 800
	smallShare        = 61
	startSpread       = 300 * time.Millisecond
	fleetDelay        = 500 * time.Microsecond
	storeLatency      = 4 * time.Millisecond
	messageWork       = 100 * time.Microsecond
	callWork          = 1200 * time.Microsecond
	storeEntryWork    = 10 * time.Microsecond
	catalogEntryWork  = 2 * time.Microsecond
	fleetTick         = 100 * time.Millisecond
	fleetPollPeriod   = 20 * time.Millisecond
	fleetGossipPeriod = 200 * time.Millisecond
	fleetTracked      = 16
	fleetSyncPeriod   = 500 * time.Millisecond
	fleetSyncDuration = 6 * time.Second
	fleetSeeds        = 3
	watchWait         = 800 * time.Millisecond
)

// fleetHost is one daemon of a Fleet.
type fleetHost struct {
	sim            *fleetSimulation
	share          int
	started        time.Duration
	running        bool
	ready          bool
	callersWaiting bool
	membership     *peer.Membership
	startup        peer.Startup
	election       peer.ReaderElection
	self           peer.Member
	// view is the last view of membership, viewEpoch its epoch.
	view      *peer.View
	viewEpoch uint64
	// busyUntil is when all earlier work is done.
	busyUntil       time.Duration
	failures        int
	calling         bool
	catalogRequests int
	// contentAsOf is the time as of which the host holds the store's content.
	contentAsOf time.Duration
	// caughtUp says that the host holds the list of the restored store, catchingUp that it is
	// fetching it.
	caughtUp, catchingUp bool
}

// fleetSimulation runs one Fleet with one seed.
type fleetSimulation struct {
	*clock
	fleet     *Fleet
	rng       *rand.Rand
	hosts     []*fleetHost
	byAddress map[netip.AddrPort]*fleetHost
	seeds     []netip.AddrPort
	result    FleetResult
}

// RunFleet simulates a start. Equal arguments give equal results.
func RunFleet(f *Fleet, seed uint64) *FleetResult {
	sim := &fleetSimulation{
		clock: newClock(), fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[netip.AddrPort]*fleetHost),
	}
	for z := range f.Zones {
		for i := range f.Large + f.Small {
			sim.addHost(z, i)
		}
	}
	for i := range fleetSeeds {
		at := sim.hosts[(i*len(sim.hosts))/fleetSeeds+f.Large].self.Control
		if f.SeedsDown {
			at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 99, 0, byte(i + 1)}), 1)
		}
		sim.seeds = append(sim.seeds, at)
	}
	for _, h := range sim.hosts {
		sim.after(time.Duration(sim.rng.Int64N(int64(startSpread))), h.start)
	}
	sim.run(f.Length)
	for _, h := range sim.hosts {
		if h.ready && h.readsStore() {
			sim.result.StoreReaders++
		}
		sim.result.MostTracked = max(sim.result.MostTracked, len(h.currentView().Members))
	}
	slices.Sort(sim.result.ReadyTimes)
	slices.Sort(sim.result.CatchUpTimes)
	return &sim.result
}

func (sim *fleetSimulation) addHost(zone, i int) {
	h := &fleetHost{sim: sim, share: cmp.Or(sim.fleet.SmallShare, smallShare)}
	if i < sim.fleet.Large {
		h.share = largeShare
	}
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 8166)
	name := fmt.Sprintf("host-%d-%d", zone, i)
	h.self = peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: bundle.Zone(fmt.Sprintf("zone-%d", zone)), Data: at, Control: at, RPC: at,
		Incarnation: 1, Boot: sim.rng.Uint64(), Size: uint32(h.share),
	}
	sim.hosts = append(sim.hosts, h)
	sim.byAddress[at] = h
}

// afterWork calls do after the host has spent processor time d, in addition to its earlier work.
func (h *fleetHost) afterWork(d time.Duration, do func()) {
	h.busyUntil = max(h.busyUntil, h.sim.now) + d*1000/time.Duration(h.share)
	h.sim.after(h.busyUntil-h.sim.now, do)
}

// start starts the process.
func (h *fleetHost) start() {
	h.running, h.started = true, h.sim.now
	h.membership = peer.NewMembership(peer.Config{
		ProbePeriod: 2 * peer.DefaultProbePeriod, GossipPeriod: fleetGossipPeriod,
		TrackedPerOtherZone: fleetTracked, Updates: peer.MaxUpdates,
	}, h.self, rand.New(rand.NewPCG(h.sim.rng.Uint64(), 1)))
	h.startup = peer.Startup{StartedAt: h.sim.wallTime(), FirstStart: h.sim.fleet.FirstStart}
	if !h.sim.fleet.FirstStart {
		h.sim.after(h.sim.jitter(2*h.sim.fleet.CallerDelay), func() { h.callersWaiting = true })
	}
	h.send(h.membership.Seed(h.sim.seeds))
	h.sim.every(fleetTick, fleetTick, func() { h.send(h.membership.Tick(h.sim.wallTime())) })
	h.pingSeeds(3 * fleetTick)
	h.sim.after(contactsAfter, h.pingContacts)
	h.sim.after(fleetPollPeriod, h.pollUntilReady)
	h.sim.every(fleetTick, fleetTick, h.poll)
	h.sim.every(advertisePeriod, advertisePeriod, h.advertise)
	h.sim.after(fleetPollPeriod, h.requestCatalog)
}

// pingSeeds pings the seeds after a pause if the host isn't ready or knows no other member. The
// pause then doubles, up to 24 ticks.
func (h *fleetHost) pingSeeds(pause time.Duration) {
	h.sim.after(pause, func() {
		if !h.ready || len(h.currentView().Members) == 1 {
			h.send(h.membership.Seed(h.sim.seeds))
		}
		h.pingSeeds(min(2*pause, 24*fleetTick))
	})
}

// contactsAfter is the time from a host's start until it reads the contacts from the store, if it
// knows no other member by then.
const contactsAfter = 700 * time.Millisecond

// pingContacts reads the contacts from the store and pings them: the first host of each zone. It does
// nothing if the host isn't ready or knows another member, or at a first start.
func (h *fleetHost) pingContacts() {
	if !h.ready || len(h.currentView().Members) > 1 || h.sim.fleet.FirstStart {
		return
	}
	h.sim.result.Calls++
	h.afterWork(callWork, func() {
		for z := range h.sim.fleet.Zones {
			first := h.sim.hosts[z*(h.sim.fleet.Large+h.sim.fleet.Small)]
			h.send(h.membership.PingAddress(first.self.Control))
		}
	})
}

// currentView returns the host's view of the members.
func (h *fleetHost) currentView() *peer.View {
	if e := h.membership.Epoch(); h.view == nil || e != h.viewEpoch {
		h.view, h.viewEpoch = h.membership.View(), e
	}
	return h.view
}

// send delivers membership messages.
func (h *fleetHost) send(list []peer.Envelope) {
	h.sim.result.Messages += len(list)
	for i := range list {
		e := list[i]
		h.afterWork(messageWork, func() {
			h.sim.after(fleetDelay, func() {
				if to := h.sim.byAddress[e.To]; to != nil && to.running {
					to.afterWork(messageWork, func() { to.send(to.membership.Receive(h.sim.wallTime(), h.self.Control, &e.Message)) })
				}
			})
		})
	}
}

// readsStore reports whether the host reads the store now, by the same rules as package cookiedaemon.
func (h *fleetHost) readsStore() bool {
	v := h.currentView()
	if !h.ready {
		return h.startup.ShouldRead(peer.StartupState{
			CallersWaiting: h.callersWaiting, ServingMemberSeen: h.membership.ServingMemberSeen(), Rank: v.ReaderRank(),
			Others: len(v.Members) - 1,
		}, h.sim.wallTime())
	}
	return h.election.ShouldRead(h.startup.ReaderRank(v.ReaderRank(), h.sim.wallTime()), h.sim.wallTime())
}

// pollUntilReady polls at short intervals until the host is ready.
func (h *fleetHost) pollUntilReady() {
	if h.ready {
		return
	}
	h.poll()
	h.sim.after(fleetPollPeriod, h.pollUntilReady)
}

// poll calls the store if the host is a store reader: it lists both kinds while it starts, and
// watches both after that.
func (h *fleetHost) poll() {
	if h.calling || !h.readsStore() {
		return
	}
	h.calling = true
	calls, content, wait := 2, time.Duration(h.sim.fleet.Upstreams)*storeEntryWork, time.Duration(0)
	if h.ready {
		content, wait = 0, watchWait
	}
	h.sim.result.Calls += calls
	h.afterWork(time.Duration(calls)*callWork, func() { h.sim.after(wait+storeLatency, func() { h.handleAnswer(content) }) })
}

// handleAnswer handles the answer of the store, which takes the work content to process.
func (h *fleetHost) handleAnswer(content time.Duration) {
	if now := h.sim.now; now >= h.sim.fleet.StoreFrom && now < h.sim.fleet.StoreUntil {
		h.sim.result.Refused += 2
		pause := peer.RetryPause(h.currentView().ReaderRank(), h.failures, h.sim.rng.Float64())
		h.failures++
		for _, o := range h.sim.hosts {
			if o.running && h.ready {
				o.election.ReportStoreLost(h.sim.wallTime())
			}
		}
		h.sim.after(pause, func() { h.calling = false })
		return
	}
	if h.needsRelist() {
		h.relist()
		return
	}
	asOf := h.sim.now
	h.afterWork(content, func() {
		h.failures, h.calling = 0, false
		h.recordContent(asOf)
	})
}

// needsRelist reports whether the store was restored from a snapshot and the host doesn't hold
// the restored list.
func (h *fleetHost) needsRelist() bool {
	return h.sim.fleet.StoreRestored && h.ready && !h.caughtUp && h.sim.now >= h.sim.fleet.StoreUntil
}

// relist lists both kinds again after the store refused to resume their watches.
func (h *fleetHost) relist() {
	h.sim.result.Calls += 2
	h.sim.result.Relisted++
	h.afterWork(2*callWork, func() {
		h.sim.after(storeLatency, func() {
			asOf := h.sim.now
			h.afterWork(time.Duration(h.sim.fleet.Upstreams)*storeEntryWork, func() {
				h.failures, h.calling = 0, false
				h.markCaughtUp()
				h.recordContent(asOf)
				h.advertise()
			})
		})
	})
}

// markCaughtUp records that the host holds the list of the restored store.
func (h *fleetHost) markCaughtUp() {
	if !h.caughtUp {
		h.caughtUp = true
		h.sim.result.CatchUpTimes = append(h.sim.result.CatchUpTimes, h.sim.now-h.sim.fleet.StoreUntil)
	}
}

// fetchRestoredList fetches the whole list from a host that advertised it, because the changes in
// the advertisement don't connect to the list that this host holds.
func (h *fleetHost) fetchRestoredList(source, origin *fleetHost) {
	if h.catchingUp {
		return
	}
	h.catchingUp = true
	spent := time.Duration(h.sim.fleet.Upstreams) * catalogEntryWork
	source.afterWork(callWork+spent, func() {
		h.afterWork(callWork+spent, func() {
			h.markCaughtUp()
			h.relay(origin)
		})
	})
}

// recordContent records that the host holds the store's content as of a time.
func (h *fleetHost) recordContent(asOf time.Duration) {
	h.contentAsOf = max(h.contentAsOf, asOf)
	h.election.Received(wallStart.Add(asOf), false)
	if !h.ready {
		h.ready = true
		h.membership.SetBundle(1)
		h.sim.result.ReadyTimes = append(h.sim.result.ReadyTimes, h.sim.now-h.started)
		h.synchronizeMembers()
	}
}

// synchronizeMembers fetches the members that random other hosts know while the fleet starts.
func (h *fleetHost) synchronizeMembers() {
	if h.sim.now-h.started < fleetSyncDuration {
		h.sim.after(fleetSyncPeriod/2+h.sim.jitter(fleetSyncPeriod), func() {
			h.fetchMembers()
			h.synchronizeMembers()
		})
	}
}

// requestCatalog requests the catalog from members in turn until the host is ready.
func (h *fleetHost) requestCatalog() {
	if h.ready {
		return
	}
	h.sim.after(h.startup.RequestDelay(h.sim.rng.Float64()), h.requestCatalog)
	sources := h.currentView().CatalogSources()
	if len(sources) == 0 {
		return
	}
	to := h.sim.byAddress[sources[h.catalogRequests%len(sources)].RPC]
	h.catalogRequests++
	h.send(h.membership.PingAddress(to.self.Control))
	h.afterWork(messageWork, func() {
		h.sim.after(2*fleetDelay, func() {
			if !to.ready || h.sim.fleet.RefuseCatalogRequests {
				return
			}
			spent := time.Duration(h.sim.fleet.Upstreams) * catalogEntryWork
			to.afterWork(callWork+spent, func() { h.afterWork(callWork+spent, func() { h.applyCatalog(to) }) })
		})
	})
}

// applyCatalog applies the catalog and the members that another host sent.
func (h *fleetHost) applyCatalog(source *fleetHost) {
	h.membership.Merge(h.sim.wallTime(), append(source.membership.BootstrapMembers(h.self.Zone, h.self.ID), source.self))
	h.recordContent(source.contentAsOf)
}

// fetchMembers requests the members that a random other member knows, unless both know the same.
func (h *fleetHost) fetchMembers() {
	v := h.currentView()
	to := h.sim.byAddress[v.Members[h.sim.rng.IntN(len(v.Members))].RPC]
	if to == h || !to.ready || to.membership.Digest() == h.membership.Digest() {
		return
	}
	known := to.membership.MembersFor(h.self.Zone)
	h.sim.result.MembersSent += len(known)
	spent := callWork + time.Duration(len(known))*catalogEntryWork
	to.afterWork(spent, func() {
		h.afterWork(spent, func() {
			h.membership.Merge(h.sim.wallTime(), known)
			h.recordContent(to.contentAsOf)
		})
	})
}

// jitter returns a random duration of at least 0 and less than d, or 0 if d isn't positive.
func (sim *fleetSimulation) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(d)))
}
