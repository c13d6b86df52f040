package cookiedaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// startup is the sequence by which a daemon obtains the state that it needs to place flows:
//
//	sockets are open        callers' packets wait in them
//	seeds are asked         they answer with members that can send more, see peer.Membership.BootstrapMembers
//	a catalog is fetched    from a member, or the daemon reads the store, as peer.Startup decides
//	ready                   flows are placed, other daemons may ask this one
//	the rest is fetched     all members, and the deregistered upstreams
//
// After a power loss of all hosts the seeds are down as well, and the daemon reads the store. If
// the list of upstreams there turns out to be large, the daemon delays reading it: all hosts
// together saturate the store's link with it, and a small host takes longest to read it. A larger
// member has started earlier and sends the same content in a third of the bytes. startup is safe
// for concurrent use.
type startup struct {
	peer.Startup
	// ready is set when the daemon can place flows, callersWaiting when a caller's packet has
	// arrived before that, listIsLarge when the store has a large list of upstreams, and
	// noLargerMember when there is no larger member to fetch it from.
	ready, callersWaiting, listIsLarge, noLargerMember event
}

func newStartup(began time.Time, first bool) *startup {
	return &startup{
		Startup: peer.Startup{StartedAt: began, FirstStart: first},
		ready:   newEvent(), callersWaiting: newEvent(), listIsLarge: newEvent(), noLargerMember: newEvent(),
	}
}

// event is a condition that is set once and stays set. It is safe for concurrent use.
type event struct {
	once *sync.Once
	done chan struct{}
}

func newEvent() event { return event{once: new(sync.Once), done: make(chan struct{})} }

func (e *event) set() { e.once.Do(func() { close(e.done) }) }

func (e *event) isSet() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

const (
	// otherKindTimeout bounds the wait for the lists of the other kinds after one has been read. It
	// is more than the time between their arrivals, on small hosts too.
	otherKindTimeout = 200 * time.Millisecond
	// startPoll is how often a daemon that isn't ready checks whether it should read the store.
	startPoll = 10 * time.Millisecond
	// largerMemberPause is the pause between two requests to larger members while callers wait: a
	// member that isn't ready refuses immediately, and is ready some 10 ms later.
	largerMemberPause = 15 * time.Millisecond
	// startFetchTimeout bounds a request for a catalog during the start. A list of 300 upstreams
	// takes 50 ms on a host with a sixteenth of a core.
	startFetchTimeout = 250 * time.Millisecond
	// largeListBytes is the size of a page from which a list counts as large: the size for
	// some 400 upstreams, which a host with a sixteenth of a core and 20 Mbit/s takes 100 ms to
	// read. Fetching the contacts and then a catalog from a larger member takes such a host 80 ms,
	// however long the list is.
	largeListBytes = 96 << 10
	// largerMemberTimeout is how long a daemon waits for a larger member before it reads the store
	// itself. That member may have departed, be starting as well, or be unreachable behind a network
	// partition.
	largerMemberTimeout = 100 * time.Millisecond
)

// bootstrap fetches catalogs from other daemons until this daemon can place flows.
func (m *members) bootstrap(ctx context.Context) {
	s := m.daemon.start
	large := s.listIsLarge.done
	var larger []netip.AddrPort
	for try := 0; ctx.Err() == nil && !s.ready.isSet(); {
		if sources := append(slices.Clone(larger), m.catalogSources()...); len(sources) > 0 {
			m.greetAndFetch(sources[try%len(sources)])
			try++
		}
		pause := s.RequestDelay(rand.Float64())
		if len(larger) > 0 {
			pause = largerMemberPause
		}
		select {
		case <-ctx.Done():
		case <-s.ready.done:
		case <-m.firstMemberMet:
		case <-time.After(pause):
		case <-large:
			large, try = nil, 0
			if larger = m.largerMembers(ctx); len(larger) == 0 {
				s.noLargerMember.set()
			}
		}
	}
}

// logReady logs the end of the start: how long it took and how many calls it needed.
func (m *members) logReady(ctx context.Context) {
	if !m.daemon.awaitReady(ctx) {
		return
	}
	s := m.daemon.start
	klog.InfoS("Ready", "After", time.Since(s.StartedAt).Round(time.Millisecond),
		"CallersWaited", s.callersWaiting.isSet(), "LongList", s.listIsLarge.isSet(),
		"StoreCalls", m.daemon.platform.Store.Counts.Calls.Load(), "MembersAsked", m.pulls.Begun.Load(),
		"Rank", m.view.Load().ReaderRank(), "Members", len(m.view.Load().Members))
}

// greetAndFetch introduces this daemon to another one and fetches that one's catalog.
func (m *members) greetAndFetch(to netip.AddrPort) {
	m.update(func(g *peer.Membership) []peer.Envelope { return g.PingAddress(to) })
	m.fetchAdmission(to)
	if _, err := m.fetch(to, startFetchTimeout, true); err != nil {
		klog.V(1).InfoS("Catalog not fetched from member", "Member", to, "Error", err)
	}
}

// catalogSources returns the RPC addresses of members from which a starting daemon fetches a
// catalog, see peer.View.CatalogSources.
func (m *members) catalogSources() []netip.AddrPort {
	list := m.view.Load().CatalogSources()
	out := make([]netip.AddrPort, 0, len(list))
	for _, o := range list {
		out = append(out, o.RPC)
	}
	return out
}

// largerMembers returns the RPC addresses of members of this daemon's zone that are so much larger
// that they have read the store before it. If no such member is known, it returns the control
// addresses, which are the RPC addresses too, of those that the contacts in the store name. It
// returns none if the contacts can't be read.
func (m *members) largerMembers(ctx context.Context) []netip.AddrPort {
	v := m.view.Load()
	self := v.Member(v.Self)
	var out []netip.AddrPort
	for _, o := range v.ZoneMembers() {
		if peer.IsLargerSource(o.Size, self.Size) {
			out = append(out, o.RPC)
		}
	}
	if len(out) > 0 {
		return out
	}
	o, err := m.daemon.platform.Contacts.Get(ctx)
	if err == nil {
		err = o.Err
	}
	if err != nil {
		klog.InfoS("Contacts not read from the store, no larger member is known", "Error", err.Error())
		return nil
	}
	return o.Value.LargerInZone(self.Zone, self.Size)
}

// listStillNeeded is called before a list of upstreams is read from the store, once its size in
// bytes is known. If the list is large, it gives a larger member time to send its catalog. It
// reports whether the list still has to be read.
func (d *Daemon) listStillNeeded(ctx context.Context, size int64) bool {
	if size < largeListBytes {
		return true
	}
	d.start.listIsLarge.set()
	select {
	case <-ctx.Done():
	case <-d.start.ready.done:
	case <-d.start.noLargerMember.done:
	case <-time.After(largerMemberTimeout):
	}
	return !d.start.ready.isSet()
}

// awaitReadyWithTimeout waits until this daemon can place flows, but at most otherKindTimeout: the
// store of a system that starts for the first time has no bundle yet.
func (d *Daemon) awaitReadyWithTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.start.ready.done:
	case <-time.After(otherKindTimeout):
	}
}

// awaitReadCheck waits until the next check whether this daemon should read the store. It waits
// readCheckPeriod if the daemon is ready or callers are waiting. Otherwise it waits startPoll, or
// until a caller's packet arrives for which the daemon may have to read the store.
func (d *Daemon) awaitReadCheck(ctx context.Context) {
	if d.start.ready.isSet() || d.start.callersWaiting.isSet() {
		sleep(ctx, readCheckPeriod)
		return
	}
	select {
	case <-ctx.Done():
	case <-d.start.callersWaiting.done:
	case <-time.After(startPoll):
	}
}

// awaitReady waits until the daemon can place flows. It returns false if ctx ends before.
func (d *Daemon) awaitReady(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.start.ready.done:
		return true
	}
}
