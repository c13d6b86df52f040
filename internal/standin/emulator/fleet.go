package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Fleet is a start of many hosts, without callers' flows. The product's own peer.Membership,
// peer.Start, peer.Reading and retry pauses decide; the store counts its calls.
type Fleet struct {
	// Zones is how many zones there are, Large and Small how many hosts each of them has.
	Zones, Large, Small int
	// Upstreams is how many the list has.
	Upstreams int
	// FirstStart says that the system starts for the first time: no callers wait. Otherwise a caller's
	// packet comes to each host after CallerAfter on average.
	FirstStart  bool
	CallerDelay time.Duration
	// SeedsDown:  don't start; the seeds are the first Seeds of them and then others.
	SeedsDown bool
	// StoreFrom and StoreUntil are when the store refuses all calls.
	StoreFrom, StoreUntil time.Duration
	// StoreRestored says that it is restored from a snapshot then: who watches must list, and who hears of it must be told
	// the whole list.
	StoreRestored bool
	// RefuseCatalogRequests makes every member refuse requests for its catalog.
	RefuseCatalogRequests bool
	// Length is how long the play takes.
	Length time.Duration
}

// FleetResult is what a start cost.
type FleetResult struct {
	Calls, Refused int
	// ReadyTimes are the times from each host's start until it could place flows, in rising order.
	// Hosts that never could aren't among them.
	ReadyTimes []time.Duration
	// Relisted is how many hosts listed again after the store was restored from a snapshot, CatchUpTimes the times from then until
	// each host held its list, in rising order.
	Relisted     int
	CatchUpTimes []time.Duration
	// StoreReaders is how many hosts follow the store at the end.
	StoreReaders int
}

// Times of the model, from logs and benchmarks of the daemon. Work is that of a whole core, and
// takes a host's share of one longer.
const (
	largeShare  = 800
	smallShare  = 61
	startSpread = 300 * time.Millisecond
	fleetWay    = 500 * time.Microsecond
	storeAnswer = 4 * time.Millisecond
	messageWork = 100 * time.Microsecond
	callWork    = 1200 * time.Microsecond
	readWork    = 10 * time.Microsecond
	toldWork    = 2 * time.Microsecond
	fleetTick   = 100 * time.Millisecond
	fleetPoll   = 20 * time.Millisecond
	fleetSeeds  = 3
	watchWait   = 800 * time.Millisecond
)

// fleetHost is one daemon of a Fleet.
type fleetHost struct {
	w       *fleetPlay
	share   int
	started time.Duration
	on      bool
	ready   bool
	callers bool
	group   *peer.Membership
	start   peer.Startup
	reading peer.ReaderElection
	self    peer.Member
	// view and epoch are the last view of group.
	view  *peer.View
	epoch uint64
	// busyUntil is when the work before is done.
	busyUntil time.Duration
	failures  int
	calling   bool
	asks      int
	// knownAt is as of when the store's content is known.
	knownAt time.Duration
	// caughtUp says that the list of the restored store is known, catching that it is being told.
	caughtUp, catching bool
}

type fleetPlay struct {
	*clock
	f     *Fleet
	rng   *rand.Rand
	hosts []*fleetHost
	at    map[netip.AddrPort]*fleetHost
	seeds []netip.AddrPort
	out   FleetResult
}

// RunFleet plays a start. Equal arguments give equal results.
func RunFleet(f *Fleet, seed uint64) *FleetResult {
	w := &fleetPlay{
		clock: newClock(), f: f, rng: rand.New(rand.NewPCG(seed, 1)), at: make(map[netip.AddrPort]*fleetHost),
	}
	for z := range f.Zones {
		for i := range f.Large + f.Small {
			w.addHost(z, i)
		}
	}
	for i := range fleetSeeds {
		at := w.hosts[(i*len(w.hosts))/fleetSeeds+f.Large].self.Control
		if f.SeedsDown {
			at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 99, 0, byte(i + 1)}), 1)
		}
		w.seeds = append(w.seeds, at)
	}
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(startSpread))), h.begin)
	}
	w.run(f.Length)
	for _, h := range w.hosts {
		if h.ready && h.reads() {
			w.out.StoreReaders++
		}
	}
	slices.Sort(w.out.ReadyTimes)
	slices.Sort(w.out.CatchUpTimes)
	return &w.out
}

func (w *fleetPlay) addHost(zone, i int) {
	h := &fleetHost{w: w, share: smallShare}
	if i < w.f.Large {
		h.share = largeShare
	}
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 8166)
	name := fmt.Sprintf("host-%d-%d", zone, i)
	h.self = peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: bundle.Zone(fmt.Sprintf("zone-%d", zone)), Data: at, Control: at, RPC: at,
		Incarnation: 1, Boot: w.rng.Uint64(), Size: uint32(h.share),
	}
	w.hosts = append(w.hosts, h)
	w.at[at] = h
}

// work does something after the host has spent processor time on it.
func (h *fleetHost) work(d time.Duration, do func()) {
	h.busyUntil = max(h.busyUntil, h.w.now) + d*1000/time.Duration(h.share)
	h.w.after(h.busyUntil-h.w.now, do)
}

// begin starts the process.
func (h *fleetHost) begin() {
	h.on, h.started = true, h.w.now
	h.group = peer.NewMembership(peer.Config{
		ProbePeriod: 2 * peer.DefaultProbePeriod, Updates: peer.MaxUpdates,
	}, h.self, rand.New(rand.NewPCG(h.w.rng.Uint64(), 1)))
	h.start = peer.Startup{StartedAt: h.w.wall(), FirstStart: h.w.f.FirstStart}
	if !h.w.f.FirstStart {
		h.w.after(h.w.jitter(2*h.w.f.CallerDelay), func() { h.callers = true })
	}
	h.send(h.group.Seed(h.w.seeds))
	h.w.every(fleetTick, fleetTick, func() { h.send(h.group.Tick(h.w.wall())) })
	h.seed(3 * fleetTick)
	h.w.after(meetAt, h.meet)
	h.w.after(fleetPoll, h.pollSoon)
	h.w.every(fleetTick, fleetTick, h.poll)
	h.w.every(sweepEach, sweepEach, h.tell)
	h.w.after(fleetPoll, h.ask)
}

// seed asks the seeds again after a pause, and then after twice as long.
func (h *fleetHost) seed(pause time.Duration) {
	h.w.after(pause, func() {
		if !h.ready || len(h.look().Members) == 1 {
			h.send(h.group.Seed(h.w.seeds))
		}
		h.seed(min(2*pause, 24*fleetTick))
	})
}

// meetAt is when a host that knows no other one asks the store for contacts.
const meetAt = 700 * time.Millisecond

// meet greets the contacts that the store names: the first of each zone.
func (h *fleetHost) meet() {
	if !h.ready || len(h.look().Members) > 1 || h.w.f.FirstStart {
		return
	}
	h.w.out.Calls++
	h.work(callWork, func() {
		for z := range h.w.f.Zones {
			first := h.w.hosts[z*(h.w.f.Large+h.w.f.Small)]
			h.send(h.group.PingAddress(first.self.Control))
		}
	})
}

// sweepEach is how often the one that reads tells its zone.
const sweepEach = 500 * time.Millisecond

// look returns what the host knows of the members.
func (h *fleetHost) look() *peer.View {
	if e := h.group.Epoch(); h.view == nil || e != h.epoch {
		h.view, h.epoch = h.group.View(), e
	}
	return h.view
}

// send delivers membership messages.
func (h *fleetHost) send(list []peer.Envelope) {
	for i := range list {
		e := list[i]
		h.work(messageWork, func() {
			h.w.after(fleetWay, func() {
				if to := h.w.at[e.To]; to != nil && to.on {
					to.work(messageWork, func() { to.send(to.group.Receive(h.w.wall(), h.self.Control, &e.Message)) })
				}
			})
		})
	}
}

// reads reports whether the host reads the store now, as package cookiedaemon asks.
func (h *fleetHost) reads() bool {
	v := h.look()
	if !h.ready {
		return h.start.ShouldRead(peer.StartupState{
			CallersWaiting: h.callers, ServingMemberSeen: h.group.ServingMemberSeen(), Rank: v.ReaderRank(), Others: len(v.Members) - 1,
		}, h.w.wall())
	}
	return h.reading.ShouldRead(h.start.ReaderRank(v.ReaderRank(), h.w.wall()), h.w.wall())
}

// pollSoon polls often until the host is ready.
func (h *fleetHost) pollSoon() {
	if h.ready {
		return
	}
	h.poll()
	h.w.after(fleetPoll, h.pollSoon)
}

// poll calls the store if the host reads: for both kinds when it starts, and then by watches.
func (h *fleetHost) poll() {
	if h.calling || !h.reads() {
		return
	}
	h.calling = true
	calls, content, wait := 2, time.Duration(h.w.f.Upstreams)*readWork, time.Duration(0)
	if h.ready {
		content, wait = 0, watchWait
	}
	h.w.out.Calls += calls
	h.work(time.Duration(calls)*callWork, func() { h.w.after(wait+storeAnswer, func() { h.answered(content) }) })
}

// answered takes in what the store answers.
func (h *fleetHost) answered(content time.Duration) {
	if now := h.w.now; now >= h.w.f.StoreFrom && now < h.w.f.StoreUntil {
		h.w.out.Refused += 2
		pause := peer.RetryPause(h.look().ReaderRank(), h.failures, h.w.rng.Float64())
		h.failures++
		for _, o := range h.w.hosts {
			if o.on && h.ready {
				o.reading.ReportStoreLost(h.w.wall())
			}
		}
		h.w.after(pause, func() { h.calling = false })
		return
	}
	if h.behind() {
		h.relist()
		return
	}
	asOf := h.w.now
	h.work(content, func() {
		h.failures, h.calling = 0, false
		h.know(asOf)
	})
}

// behind reports whether the store was restored from a snapshot whose list the host doesn't know.
func (h *fleetHost) behind() bool {
	return h.w.f.StoreRestored && h.ready && !h.caughtUp && h.w.now >= h.w.f.StoreUntil
}

// relist lists both kinds after their watches were refused.
func (h *fleetHost) relist() {
	h.w.out.Calls += 2
	h.w.out.Relisted++
	h.work(2*callWork, func() {
		h.w.after(storeAnswer, func() {
			asOf := h.w.now
			h.work(time.Duration(h.w.f.Upstreams)*readWork, func() {
				h.failures, h.calling = 0, false
				h.catchUp()
				h.know(asOf)
				h.tell()
			})
		})
	})
}

// catchUp notes that the host knows the list of the restored store.
func (h *fleetHost) catchUp() {
	if !h.caughtUp {
		h.caughtUp = true
		h.w.out.CatchUpTimes = append(h.w.out.CatchUpTimes, h.w.now-h.w.f.StoreUntil)
	}
}

// beTold asks the sender of news for the whole list, which they don't lead to.
func (h *fleetHost) beTold(by *fleetHost) {
	if h.catching {
		return
	}
	h.catching = true
	told := time.Duration(h.w.f.Upstreams) * toldWork
	by.work(callWork+told, func() { h.work(callWork+told, h.catchUp) })
}

// know notes that the store's content is known as of a time.
func (h *fleetHost) know(asOf time.Duration) {
	h.knownAt = max(h.knownAt, asOf)
	h.reading.Received(epoch.Add(asOf), false)
	if !h.ready {
		h.ready = true
		h.group.SetBundle(1)
		h.w.out.ReadyTimes = append(h.w.out.ReadyTimes, h.w.now-h.started)
		for _, after := range [...]time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
			h.w.after(after/2+h.w.jitter(after), h.join)
		}
	}
}

// ask asks a member for all, until the host is ready.
func (h *fleetHost) ask() {
	if h.ready {
		return
	}
	h.w.after(h.start.RequestDelay(h.w.rng.Float64()), h.ask)
	tellers := h.look().CatalogSources()
	if len(tellers) == 0 {
		return
	}
	to := h.w.at[tellers[h.asks%len(tellers)].RPC]
	h.asks++
	h.send(h.group.PingAddress(to.self.Control))
	h.work(messageWork, func() {
		h.w.after(2*fleetWay, func() {
			if !to.ready || h.w.f.RefuseCatalogRequests {
				return
			}
			told := time.Duration(h.w.f.Upstreams) * toldWork
			to.work(callWork+told, func() { h.work(callWork+told, func() { h.told(to) }) })
		})
	})
}

// told takes in what a member told.
func (h *fleetHost) told(by *fleetHost) {
	h.group.Merge(h.w.wall(), append(by.group.BootstrapMembers(h.self.Zone, h.self.ID), by.self))
	h.know(by.knownAt)
}

// join asks a member for all others that it knows.
func (h *fleetHost) join() {
	v := h.look()
	to := h.w.at[v.Members[h.w.rng.IntN(len(v.Members))].RPC]
	if to == h || !to.ready {
		return
	}
	known := to.group.Members()
	spent := callWork + time.Duration(len(known))*toldWork
	to.work(spent, func() {
		h.work(spent, func() {
			h.group.Merge(h.w.wall(), known)
			h.know(to.knownAt)
		})
	})
}

// tell lets the members that the reader knows hear its word.
func (h *fleetHost) tell() {
	if !h.ready || !h.reads() || h.w.now-h.knownAt > time.Second {
		return
	}
	v := h.look()
	for i := range v.Members {
		o := h.w.at[v.Members[i].RPC]
		if o == h || !o.on || !o.ready {
			continue
		}
		asOf, before := epoch.Add(h.knownAt), o.look().RanksBefore(h.self.ID)
		if o.behind() && h.caughtUp {
			h.w.after(fleetWay, func() { o.beTold(h) })
		}
		if h.behind() {
			continue
		}
		o.knownAt = max(o.knownAt, h.knownAt)
		h.w.after(fleetWay, func() { o.reading.Received(asOf, before) })
	}
}

// jitter returns a random part of a time.
func (w *fleetPlay) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(d)))
}
