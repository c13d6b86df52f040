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
	peer.Startup
	// ready is set when the daemon knows enough to place flows, callersWait when a caller's
	// packet has come before, listIsLong when the store has a long list, and nobodyLarger when
	// there is no larger member to be asked for it.
	ready, callersWait, listIsLong, nobodyLarger event
}

func newStartup(began time.Time, first bool) *startup {
	return &startup{
		Startup: peer.Startup{StartedAt: began, FirstStart: first},
		ready:   newEvent(), callersWait: newEvent(), listIsLong: newEvent(), nobodyLarger: newEvent(),
	}
}

// event is something that happens once. It is safe for concurrent use.
type event struct {
	once *sync.Once
	done chan struct{}
}

func newEvent() event { return event{once: new(sync.Once), done: make(chan struct{})} }

func (e *event) happen() { e.once.Do(func() { close(e.done) }) }

func (e *event) happened() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

const (
	// otherKindAfter is more than one of the two lists comes after the other, on small hosts too.
	otherKindAfter = 200 * time.Millisecond
	// startPoll is how often a daemon that isn't ready looks whether it should read the store.
	startPoll = 10 * time.Millisecond
	// hurriedPause lies between two questions to larger members while callers wait: one that isn't
	// ready refuses at once, and is ready some 10 ms later.
	hurriedPause = 15 * time.Millisecond
	// tellerAnswer bounds a question. A list of 300 upstreams takes 50 ms on a host with a
	// sixteenth of a core.
	tellerAnswer = 250 * time.Millisecond
	// longList is from how many bytes on a page counts as long: that of some 400 upstreams, which
	// a host with a sixteenth of a core and 20 Mbit/s takes 100 ms to read. To ask for contacts and
	// then a larger member takes it 80 ms, however long the list is.
	longList = 96 << 10
	// tellerHedge is how long a daemon relies on a larger member before it reads the store all the
	// same. That one may be gone, starting too, or behind a cut.
	tellerHedge = 100 * time.Millisecond
)

// learn asks others until this daemon can place flows.
func (m *members) learn(ctx context.Context) {
	s := m.c.start
	long := s.listIsLong.done
	var larger []netip.AddrPort
	for try := 0; ctx.Err() == nil && !s.ready.happened(); {
		if tellers := append(slices.Clone(larger), m.tellers()...); len(tellers) > 0 {
			m.ask(tellers[try%len(tellers)])
			try++
		}
		pause := s.RequestDelay(rand.Float64())
		if len(larger) > 0 {
			pause = hurriedPause
		}
		select {
		case <-ctx.Done():
		case <-s.ready.done:
		case <-m.met:
		case <-time.After(pause):
		case <-long:
			long, try = nil, 0
			if larger = m.largerOnes(ctx); len(larger) == 0 {
				s.nobodyLarger.happen()
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
	klog.InfoS("Ready", "After", time.Since(s.StartedAt).Round(time.Millisecond),
		"CallersWaited", s.callersWait.happened(), "LongList", s.listIsLong.happened(),
		"StoreCalls", m.c.platform.Store.Counts.Calls.Load(), "MembersAsked", m.pulls.Begun.Load(),
		"Rank", m.view.Load().ReaderRank(), "Members", len(m.view.Load().Members))
}

// ask fetches what another daemon knows, and makes itself known there.
func (m *members) ask(to netip.AddrPort) {
	m.do(func(g *peer.Membership) []peer.Envelope { return g.PingAddress(to) })
	if err := m.fetch(to, tellerAnswer); err != nil {
		klog.V(1).InfoS("Member didn't tell", "Member", to, "Error", err)
	}
}

// tellers returns where members are asked by a daemon that starts, see peer.View.Tellers.
func (m *members) tellers() []netip.AddrPort {
	list := m.view.Load().CatalogSources()
	out := make([]netip.AddrPort, 0, len(list))
	for _, o := range list {
		out = append(out, o.RPC)
	}
	return out
}

// largerOnes returns members of the own zone that are so much larger that they have read the
// store before. If none is known, the contacts in the store name some.
func (m *members) largerOnes(ctx context.Context) []netip.AddrPort {
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
	o, err := m.c.platform.Contacts.Get(ctx)
	if err == nil {
		err = o.Err
	}
	if err != nil {
		klog.InfoS("No contacts in the store", "Error", err.Error())
		return nil
	}
	return o.Value.LargerInZone(self.Zone, self.Size)
}

// wantsList is asked before a list of upstreams is read from the store, once its size is known.
// If it is long, a larger member gets time to tell it. It reports whether the list is still wanted.
func (c *Carrier) wantsList(ctx context.Context, size int64) bool {
	if size < longList {
		return true
	}
	c.start.listIsLong.happen()
	select {
	case <-ctx.Done():
	case <-c.start.ready.done:
	case <-c.start.nobodyLarger.done:
	case <-time.After(tellerHedge):
	}
	return !c.start.ready.happened()
}

// awaitOtherKind waits until this daemon can place flows, for otherKindAfter at most: the store of
// a system that starts for the first time has no bundle yet.
func (c *Carrier) awaitOtherKind(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.start.ready.done:
	case <-time.After(otherKindAfter):
	}
}

// awaitTurn waits until it is time to look again whether this daemon reads: idlePoll, or until a
// caller's packet comes that a daemon which isn't ready has to read for.
func (c *Carrier) awaitTurn(ctx context.Context) {
	if c.start.ready.happened() || c.start.callersWait.happened() {
		sleep(ctx, idlePoll)
		return
	}
	select {
	case <-ctx.Done():
	case <-c.start.callersWait.done:
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
