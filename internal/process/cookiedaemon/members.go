package cookiedaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/process/udpport"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// protocol is the first byte of a datagram between daemons.
type protocol byte

const (
	protocolMembership protocol = iota + 1
	protocolAdvertisement
	protocolReport
	// protocolFragment is a part of a message that is longer than a datagram.
	protocolFragment
	protocolClasses
	protocolPlacements
)

// members communicates with the other daemons.
type members struct {
	daemon *Daemon
	ctx    context.Context
	ports  *udpport.Ports
	// swim, advertisements, reports, classReports, placementCodec, catalog, packedCatalogs and memberLists encode and
	// decode the messages between daemons: those of the membership, advertisements, reports of loads
	// and of counts by class, placements of flows, catalogs and lists of members.
	swim           *peer.SequencedCodec[peer.Message, *peer.Message]
	advertisements *peer.SequencedCodec[peer.Advertisement, *peer.Advertisement]
	reports        *peer.SequencedCodec[peer.Report, *peer.Report]
	classReports   *peer.SequencedCodec[peer.ClassReport, *peer.ClassReport]
	placementCodec *peer.SequencedCodec[peer.Placements, *peer.Placements]
	catalog        *peer.Codec[peer.Catalog, *peer.Catalog]
	packedCatalogs *peer.Codec[peer.PackedCatalog, *peer.PackedCatalog]
	memberLists    *peer.Codec[peer.MemberList, *peer.MemberList]
	admission      *peer.Codec[peer.AdmissionState, *peer.AdmissionState]
	loads          *zoneLoads
	classes        *zoneClasses
	changes        *memberLog
	placements     *placements
	wg             sync.WaitGroup
	// lastSequence is the sequence number of this daemon's last report that others relay. relayed
	// records the numbers of their reports that this daemon relayed.
	lastSequence atomic.Uint64
	relayed      *relayedSequences

	// lastFragmented is the number of this daemon's last message in fragments; fragments reassembles
	// those of others.
	lastFragmented atomic.Uint64
	fragments      *peer.Reassembler

	// view is the present view of the members.
	view atomic.Pointer[peer.View]
	// admissionStates counts the states of admission control received from other daemons.
	admissionStates atomic.Uint64
	// fetching is set while a catalog is fetched from another daemon.
	fetching atomic.Bool
	// joinSlots limits how many joining daemons are served a catalog at the same time.
	joinSlots chan struct{}

	// firstMemberMet receives a value when a daemon that knew no other one knows some.
	firstMemberMet chan struct{}

	// mu guards the fields below.
	mu         sync.Mutex
	membership *peer.Membership
	// viewEpoch is the Epoch of membership that view shows, viewAt when it was made.
	viewEpoch uint64
	viewAt    time.Time
	// nextSeed is when the seeds are contacted next.
	nextSeed time.Time
	// seedPeriod is the pause after the next request to the seeds.
	seedPeriod time.Duration

	// received and sent count datagrams, dropped those received that couldn't be used.
	received, sent, receivedBytes, sentBytes, dropped atomic.Uint64
	// pulls counts fetches from other daemons. pullLines limits the log lines about incomplete ones;
	// mu guards it.
	pulls  transfer.Counts
	packer peer.Packer
	// listPacker packs the list of registrations for others.
	listPacker peer.ListPacker
	pullLines  *logs.Limiter
}

// The periods at which the seeds are contacted. Each daemon starts with seedPeriod and doubles the
// pause until it knows another daemon: a thousand hosts that start together take a small seed
// seconds to answer, and longer with each repeated request. Afterwards, a rare request finds the
// other side of a split that neither side noticed.
const (
	seedPeriod          = 300 * time.Millisecond
	maxSeedPeriod       = 2400 * time.Millisecond
	connectedSeedPeriod = 20 * time.Second
)

// gossipPeriod is the time between two messages with updates about members, while there are any. An
// update reaches a thousand daemons in ten periods. trackedPerOtherZone is how many daemons of each
// other zone are tracked: enough to stand in for those that fail together.
const (
	gossipPeriod        = 200 * time.Millisecond
	trackedPerOtherZone = 16
)

// milliCores is the unit of peer.Member.Size.
const milliCores = 1000

func (d *Daemon) startMembers(ctx context.Context) (func(), error) {
	cfg := d.cfg.Load()
	m := &members{
		daemon: d, seedPeriod: seedPeriod, loads: newZoneLoads(), changes: newMemberLog(), relayed: newRelayedSequences(),
		fragments: peer.NewReassembler(),
		pullLines: logs.NewLimiter(pullLines),
		joinSlots: make(chan struct{}, max(minJoinSlots, int(joinSlotsPerCore*cfg.CPUShare))), firstMemberMet: make(chan struct{}, 1),
	}
	m.classes = newZoneClasses(cfg.Zone)
	m.placements = newPlacements(m)
	m.lastSequence.Store(uint64(d.started.UnixNano()))
	m.lastFragmented.Store(uint64(d.started.UnixNano()))
	if err := m.newCodecs(keys(cfg)); err != nil {
		return nil, err
	}
	ports, err := udpport.New(cfg.ControlAddress)
	if err != nil {
		return nil, err
	}
	m.ports = ports
	self := peer.Member{
		ID:          peer.IDOf(cfg.Name),
		Name:        cfg.Name,
		Zone:        cfg.Zone,
		Data:        cfg.DataAddress,
		Control:     cfg.Announced(),
		RPC:         cfg.Announced(),
		Incarnation: peer.Incarnation(d.started.UnixMilli()),
		Boot:        rand.Uint64(),
		Size:        uint32(cfg.CPUShare * milliCores),
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.membership = peer.NewMembership(peer.Config{
		ProbePeriod: time.Duration(cfg.ProbePeriod), GossipPeriod: gossipPeriod,
		TrackedPerOtherZone: trackedPerOtherZone, Updates: peer.MaxUpdates,
	}, self, rng)
	m.view.Store(m.membership.View())
	d.members = m
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	ports.Start(m.handleDatagram)
	m.tick(d.started)
	m.wg.Go(func() { m.join(ctx) })
	m.wg.Go(func() { m.synchronizeMembers(ctx) })
	m.wg.Go(func() { m.serve(ctx) })
	m.wg.Go(func() { m.logReady(ctx) })
	return func() {
		cancel()
		ports.Close()
		m.wg.Wait()
	}, nil
}

// serve answers requests of other daemons once this daemon can place flows. Until then connections
// are refused immediately: after a power loss all hosts ask the seeds, and hosts that waited for a
// seed that is starting too would begin to forward some 100 ms later.
func (m *members) serve(ctx context.Context) {
	if !m.daemon.awaitReady(ctx) {
		return
	}
	stop, err := peer.ServeRPC(ctx, m.daemon.cfg.Load().ControlAddress, jsonrpc2.HandlerWithError(m.handleRPC))
	if err != nil {
		klog.ErrorS(err, "Control protocol can't be served to other daemons")
		return
	}
	<-ctx.Done()
	stop()
}

func (m *members) newCodecs(k peer.Keys) error {
	var err error
	if m.swim, err = peer.NewSequencedCodec[peer.Message](k, peer.DomainSequencedMembership); err != nil {
		return err
	}
	if m.advertisements, err = peer.NewSequencedCodec[peer.Advertisement](k, peer.DomainAdvertisement); err != nil {
		return err
	}
	if m.reports, err = peer.NewSequencedCodec[peer.Report](k, peer.DomainReport); err != nil {
		return err
	}
	if m.classReports, err = peer.NewSequencedCodec[peer.ClassReport](k, peer.DomainClasses); err != nil {
		return err
	}
	if m.placementCodec, err = peer.NewSequencedCodec[peer.Placements](k, peer.DomainPlacements); err != nil {
		return err
	}
	if m.catalog, err = peer.NewCodec[peer.Catalog](k.Seal, peer.DomainCatalog); err != nil {
		return err
	}
	if m.packedCatalogs, err = peer.NewCodec[peer.PackedCatalog](k.Seal, peer.DomainPackedCatalog); err != nil {
		return err
	}
	if m.memberLists, err = peer.NewCodec[peer.MemberList](k.Seal, peer.DomainMemberList); err != nil {
		return err
	}
	if m.admission, err = peer.NewCodec[peer.AdmissionState](k.Seal, peer.DomainAdmission); err != nil {
		return err
	}
	m.catalog.SetKeys(k)
	m.packedCatalogs.SetKeys(k)
	m.memberLists.SetKeys(k)
	m.admission.SetKeys(k)
	return nil
}

// setKeys replaces the secrets shared by the daemons.
func (m *members) setKeys(k peer.Keys) {
	m.swim.SetKeys(k)
	m.advertisements.SetKeys(k)
	m.reports.SetKeys(k)
	m.classReports.SetKeys(k)
	m.placementCodec.SetKeys(k)
	m.catalog.SetKeys(k)
	m.packedCatalogs.SetKeys(k)
	m.memberLists.SetKeys(k)
	m.admission.SetKeys(k)
}

// handleDatagram handles a datagram of another daemon, whose first byte is the protocol.
func (m *members) handleDatagram(from netip.AddrPort, b []byte) {
	m.received.Add(1)
	m.receivedBytes.Add(uint64(len(b)))
	if len(b) == 0 {
		m.dropped.Add(1)
		return
	}
	now := time.Now()
	if protocol(b[0]) == protocolFragment {
		var complete bool
		if b, complete = m.fragments.Add(from, b[1:], now); !complete {
			return
		}
	}
	var err error
	switch body := b[1:]; protocol(b[0]) {
	case protocolMembership:
		err = receive(m.swim, body, func(msg *peer.Message) {
			m.daemon.noteNewerBundle(msg.Bundle, now)
			m.update(func(g *peer.Membership) []peer.Envelope { return g.Receive(now, from, msg) })
		})
	case protocolAdvertisement:
		err = receive(m.advertisements, body, func(a *peer.Advertisement) { m.receiveAdvertisement(from, a, now) })
	case protocolReport:
		err = receive(m.reports, body, func(r *peer.Report) { m.receiveReport(r, now) })
	case protocolClasses:
		err = m.receiveClasses(body, now)
	case protocolPlacements:
		err = receive(m.placementCodec, body, func(p *peer.Placements) { m.placements.receive(p, now) })
	default:
		err = peer.ErrMessage
	}
	if err != nil {
		m.dropped.Add(1)
		klog.V(1).InfoS("Message dropped", "From", from, "Error", err)
	}
}

// receive decodes a message and passes it to handle.
func receive[T any, P interface {
	*T
	Check() error
}](c *peer.SequencedCodec[T, P], b []byte, handle func(P)) error {
	msg, err := c.Decode(b)
	if err != nil {
		return err
	}
	handle(msg)
	return nil
}

// send encodes a message once and sends it to each of the given members.
func send[T any, P interface {
	*T
	Check() error
}](m *members, p protocol, c *peer.SequencedCodec[T, P], msg P, to []*peer.Member) {
	if len(to) == 0 {
		return
	}
	b, err := c.Encode(msg)
	if err != nil {
		klog.ErrorS(err, "Message can't be encoded", "Protocol", p)
		return
	}
	b = append([]byte{byte(p)}, b...)
	if len(b) > peer.MaxMessageBytes {
		m.sendFragments(b, to)
		return
	}
	for _, t := range to {
		m.write(b, t.Control, false)
	}
}

// sendFragments sends a message that is longer than a datagram.
func (m *members) sendFragments(b []byte, to []*peer.Member) {
	parts, err := peer.Fragment(m.lastFragmented.Add(1), b)
	if err != nil {
		klog.ErrorS(err, "Message can't be sent in fragments", "Bytes", len(b))
		return
	}
	for _, t := range to {
		for _, part := range parts {
			m.write(append([]byte{byte(protocolFragment)}, part...), t.Control, false)
		}
	}
}

// write sends a datagram, from a port that wasn't used before if fresh is set, and counts it.
func (m *members) write(b []byte, to netip.AddrPort, fresh bool) {
	if m.ports.Send(b, to, fresh) {
		m.sent.Add(1)
		m.sentBytes.Add(uint64(len(b)))
	}
}

const (
	// viewPeriod is the least time between two views of more than smallMembership members. The time
	// to make a view grows with their number, and so does the number of changes while they start.
	viewPeriod      = memberTickPeriod
	smallMembership = 32
)

// update changes the membership by f, publishes a changed view, and sends the messages that f
// returns. A view that isn't due yet is published by tick.
func (m *members) update(f func(g *peer.Membership) []peer.Envelope) {
	m.mu.Lock()
	out := f(m.membership)
	var view, old *peer.View
	now := time.Now()
	if e := m.membership.Epoch(); e != m.viewEpoch {
		old = m.view.Load()
		if len(old.Members) <= smallMembership || now.Sub(m.viewAt) >= viewPeriod {
			m.viewEpoch, m.viewAt = e, now
			view = m.membership.View()
			m.view.Store(view)
		}
	}
	m.mu.Unlock()
	if view != nil {
		m.changes.changed(old, view, now)
		if len(old.Members) == 1 && len(view.Members) > 1 {
			select {
			case m.firstMemberMet <- struct{}{}:
			default:
			}
		}
	}
	for i := range out {
		e := &out[i]
		b, err := m.swim.Encode(&e.Message)
		if err != nil {
			klog.ErrorS(err, "Membership message can't be encoded")
			continue
		}
		m.write(append([]byte{byte(protocolMembership)}, b...), e.To, e.NewPort)
	}
}

// joinFetchTimes are the times after the start at which a catalog is fetched from another daemon,
// with the deregistered upstreams that only a joining daemon is sent.
var joinFetchTimes = [...]time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}

// JoinDuration is the time after the start by which the last of these fetches is over.
const JoinDuration = 6 * time.Second

// join fetches the catalogs of others: the bundle and upstreams.
func (m *members) join(ctx context.Context) {
	m.bootstrap(ctx)
	for _, after := range joinFetchTimes {
		sleep(ctx, after/2+rand.N(after)-time.Since(m.daemon.started))
		if to := m.anyMember(); to.IsValid() && ctx.Err() == nil {
			if _, err := m.fetch(to, pullTimeout, true); err != nil {
				klog.V(1).InfoS("Catalog not fetched while joining", "From", to, "Error", err)
			}
		}
	}
}

// anyMember returns the control address, which is the RPC address too, of a random other member. It
// is invalid if there is none. Members that all daemons know, such as the seeds, would be asked by
// all of them.
func (m *members) anyMember() netip.AddrPort {
	v := m.view.Load()
	others := len(v.Members) - 1
	if others < 1 {
		return netip.AddrPort{}
	}
	i := rand.IntN(others)
	if v.Members[i].ID == v.Self {
		i = others
	}
	return v.Members[i].Control
}

// memberInOtherZone returns the control address, which is the RPC address too, of a random member of
// another zone. It is invalid if there is none.
func (m *members) memberInOtherZone() netip.AddrPort {
	v := m.view.Load()
	zone := m.daemon.cfg.Load().Zone
	var others []netip.AddrPort
	for i := range v.Members {
		if v.Members[i].Zone != zone {
			others = append(others, v.Members[i].Control)
		}
	}
	if len(others) == 0 {
		return netip.AddrPort{}
	}
	return others[rand.IntN(len(others))]
}

// tick advances the membership's timers and contacts the seeds when that is due.
func (m *members) tick(now time.Time) {
	version := m.daemon.inForce.Version()
	m.update(func(g *peer.Membership) []peer.Envelope {
		g.SetBundle(version)
		out := g.Tick(now)
		if now.Before(m.nextSeed) {
			return out
		}
		m.nextSeed = now.Add(m.seedPeriod)
		m.seedPeriod = min(2*m.seedPeriod, maxSeedPeriod)
		if len(m.view.Load().Members) > 1 && m.daemon.start.ready.isSet() {
			m.nextSeed = now.Add(connectedSeedPeriod/2 + rand.N(connectedSeedPeriod))
		}
		return append(out, g.Seed(m.daemon.cfg.Load().Seeds)...)
	})
}

// servingMemberSeen reports whether this daemon has received a message of a member that can place
// flows.
func (m *members) servingMemberSeen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.ServingMemberSeen()
}

func (m *members) announceLeaving() {
	m.update(func(g *peer.Membership) []peer.Envelope { return g.AnnounceLeaving(time.Now()) })
}

func (m *members) announceLeft() {
	m.update(func(g *peer.Membership) []peer.Envelope { return g.AnnounceLeft(time.Now()) })
}
