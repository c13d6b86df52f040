package carrier

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

// startup is how a daemon comes to know enough to place flows. In its order:
//
//	sockets are open      callers' packets wait there
//	seeds are asked       they answer with who can tell more, see peer.Membership.Introductions
//	a member tells all    or the daemon reads the store, as peer.Start decides
//	ready                 flows are placed, others may ask
//	the rest              all members, and what was known of upstreams that went
//
// After a loss of all power the seeds are as dark as the daemon, and it turns to the store. If
// the list of upstreams turns out to be long there, it is held back before it is read: all hosts
// together fill the store's link with it, and a small one takes longest to read it. A larger
// member has started sooner, and tells the same in a third of the bytes. It is safe for
// concurrent use.
type startup struct {
	peer.Start
	// ready is set when the daemon knows enough to place flows, callersWaiting when a caller's
	// packet has come before, listIsLarge when the store has a long list, and noLargerMember when
	// there is no larger member to be asked for it.
	ready, callersWaiting, listIsLarge, noLargerMember event
}

func newStartup(began time.Time, first bool) *startup {
	return &startup{
		Start: peer.Start{Began: began, First: first},
		ready: newEvent(), callersWaiting: newEvent(), listIsLarge: newEvent(), noLargerMember: newEvent(),
	}
}

// event is something that happens once. It is safe for concurrent use.
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
	// otherKindTimeout is more than one of the two lists comes after the other, on small hosts too.
	otherKindTimeout = 200 * time.Millisecond
	// startPoll is how often a daemon that isn't ready looks whether it should read the store.
	startPoll = 10 * time.Millisecond
	// largerMemberPause lies between two questions to larger members while callers wait: one that isn't
	// ready refuses at once, and is ready some 10 ms later.
	largerMemberPause = 15 * time.Millisecond
	// startFetchTimeout bounds a question. A list of 300 upstreams takes 50 ms on a host with a
	// sixteenth of a core.
	startFetchTimeout = 250 * time.Millisecond
	// largeListBytes is from how many bytes on a page counts as long: that of some 400 upstreams, which
	// a host with a sixteenth of a core and 20 Mbit/s takes 100 ms to read. To ask for contacts and
	// then a larger member takes it 80 ms, however long the list is.
	largeListBytes = 96 << 10
	// largerMemberTimeout is how long a daemon relies on a larger member before it reads the store all the
	// same. That one may be gone, starting too, or behind a cut.
	largerMemberTimeout = 100 * time.Millisecond
)

// bootstrap asks others until this daemon can place flows.
func (m *members) bootstrap(ctx context.Context) {
	s := m.c.start
	long := s.listIsLarge.done
	var larger []netip.AddrPort
	for try := 0; ctx.Err() == nil && !s.ready.isSet(); {
		if tellers := append(slices.Clone(larger), m.catalogSources()...); len(tellers) > 0 {
			m.greetAndFetch(tellers[try%len(tellers)])
			try++
		}
		pause := s.AskPause(rand.Float64())
		if len(larger) > 0 {
			pause = largerMemberPause
		}
		select {
		case <-ctx.Done():
		case <-s.ready.done:
		case <-m.firstMemberMet:
		case <-time.After(pause):
		case <-long:
			long, try = nil, 0
			if larger = m.largerMembers(ctx); len(larger) == 0 {
				s.noLargerMember.set()
			}
		}
	}
}

// logReady writes the line of the end of a start: how long it took and what it cost.
func (m *members) logReady(ctx context.Context) {
	if !m.c.awaitReady(ctx) {
		return
	}
	s := m.c.start
	klog.InfoS("Ready", "After", time.Since(s.Began).Round(time.Millisecond),
		"CallersWaited", s.callersWaiting.isSet(), "LongList", s.listIsLarge.isSet(),
		"StoreCalls", m.c.platform.Store.Counts.Calls.Load(), "MembersAsked", m.pulls.Begun.Load(),
		"Rank", m.view.Load().ReaderRank(), "Members", len(m.view.Load().Members))
}

// greetAndFetch fetches what another daemon knows, and makes itself known there.
func (m *members) greetAndFetch(to netip.AddrPort) {
	m.update(func(g *peer.Membership) []peer.Envelope { return g.Greet(to) })
	if err := m.fetch(to, startFetchTimeout); err != nil {
		klog.V(1).InfoS("Member didn't tell", "Member", to, "Error", err)
	}
}

// catalogSources returns where members are asked by a daemon that starts, see peer.View.Tellers.
func (m *members) catalogSources() []netip.AddrPort {
	list := m.view.Load().Tellers()
	out := make([]netip.AddrPort, 0, len(list))
	for _, o := range list {
		out = append(out, o.RPC)
	}
	return out
}

// largerMembers returns members of the own zone that are so much larger that they have read the
// store before. If none is known, the contacts in the store name some.
func (m *members) largerMembers(ctx context.Context) []netip.AddrPort {
	v := m.view.Load()
	self := v.Member(v.Self)
	var out []netip.AddrPort
	for _, o := range v.ZoneMembers() {
		if peer.Tells(o.Size, self.Size) {
			out = append(out, o.RPC)
		}
	}
	if len(out) > 0 {
		return out
	}
	o, err := m.c.platform.Contacts.Get(ctx)
	if err == nil {
		err = o.Err
	}
	if err != nil {
		klog.InfoS("No contacts in the store", "Error", err.Error())
		return nil
	}
	return o.Value.Larger(self.Zone, self.Size)
}

// listStillNeeded is asked before a list of upstreams is read from the store, once its size is known.
// If it is long, a larger member gets time to tell it. It reports whether the list is still wanted.
func (c *Carrier) listStillNeeded(ctx context.Context, size int64) bool {
	if size < largeListBytes {
		return true
	}
	c.start.listIsLarge.set()
	select {
	case <-ctx.Done():
	case <-c.start.ready.done:
	case <-c.start.noLargerMember.done:
	case <-time.After(largerMemberTimeout):
	}
	return !c.start.ready.isSet()
}

// awaitOtherKind waits until this daemon can place flows, for otherKindAfter at most: the store of
// a system that starts for the first time has no bundle yet.
func (c *Carrier) awaitOtherKind(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.start.ready.done:
	case <-time.After(otherKindTimeout):
	}
}

// awaitReadCheck waits until it is time to look again whether this daemon reads: idlePoll, or until a
// caller's packet comes that a daemon which isn't ready has to read for.
func (c *Carrier) awaitReadCheck(ctx context.Context) {
	if c.start.ready.isSet() || c.start.callersWaiting.isSet() {
		sleep(ctx, readCheckPeriod)
		return
	}
	select {
	case <-ctx.Done():
	case <-c.start.callersWaiting.done:
	case <-time.After(startPoll):
	}
}

// awaitReady waits until the daemon knows enough to place flows, false if ctx ends before.
func (c *Carrier) awaitReady(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.start.ready.done:
		return true
	}
}
