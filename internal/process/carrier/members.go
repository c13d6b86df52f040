package carrier

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	protocolNews
	protocolReport
)

// members speaks to the other daemons.
type members struct {
	c       *Carrier
	ctx     context.Context
	ports   *udpport.Ports
	swim    *peer.SequencedCodec[peer.Message, *peer.Message]
	news    *peer.SequencedCodec[peer.Advertisement, *peer.Advertisement]
	reports *peer.SequencedCodec[peer.Report, *peer.Report]
	catalog *peer.Codec[peer.Catalog, *peer.Catalog]
	loads   *zoneLoads
	lines   *memberLog
	wg      sync.WaitGroup
	// stamp is that of the last report which others pass on, passed are those of theirs.
	stamp  atomic.Uint64
	passed *stamps

	// view is what is known of the members.
	view atomic.Pointer[peer.View]
	// pulling is set while everything is fetched from another daemon.
	pulling atomic.Bool
	// telling bounds how many others are told everything at once.
	telling chan struct{}

	// met is told when a daemon that knew no other one knows some.
	met chan struct{}

	// mu guards what follows.
	mu       sync.Mutex
	group    *peer.Membership
	epoch    uint64
	nextSeed time.Time
	// seedPeriod is the pause after the next question to the seeds.
	seedPeriod time.Duration

	in, out, inBytes, outBytes, dropped atomic.Uint64
	// pulls counts what was fetched from other daemons. pullLines bounds the lines about fetches
	// that failed.
	pulls     transfer.Counts
	packer    peer.Packer
	pullLines *logs.Limiter
}

// The periods at which the seeds are asked. Each daemon asks often at first, until it knows
// another one, and each time after twice as long: a thousand hosts that start together take a
// small seed seconds to answer, and longer with each question that is repeated. Afterwards a rare
// question finds the other side of a split that neither side noticed.
const (
	seedPeriod      = 300 * time.Millisecond
	maxSeedPeriod   = 2400 * time.Millisecond
	knownSeedPeriod = 20 * time.Second
)

// milliCores is the unit of peer.Member.Size.
const milliCores = 1000

func (c *Carrier) startMembers(ctx context.Context) (func(), error) {
	cfg := c.cfg.Load()
	m := &members{
		c: c, seedPeriod: seedPeriod, loads: newZoneLoads(), lines: newMemberLog(), passed: newStamps(),
		pullLines: logs.NewLimiter(pullLines),
		telling:   make(chan struct{}, max(minTold, int(toldByCore*cfg.CPUShare))), met: make(chan struct{}, 1),
	}
	m.stamp.Store(uint64(c.started.UnixNano()))
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
		Incarnation: peer.Incarnation(c.started.UnixMilli()),
		Boot:        rand.Uint64(),
		Size:        uint32(cfg.CPUShare * milliCores),
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.group = peer.NewMembership(peer.Config{ProbePeriod: time.Duration(cfg.ProbePeriod), Updates: peer.MaxUpdates}, self, rng)
	m.view.Store(m.group.View())
	c.members = m
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	ports.Start(m.datagram)
	m.tick(c.started)
	m.wg.Go(func() { m.join(ctx) })
	m.wg.Go(func() { m.serve(ctx) })
	m.wg.Go(func() { m.logReady(ctx) })
	return func() {
		cancel()
		ports.Close()
		m.wg.Wait()
	}, nil
}

// serve answers the questions of others from when this daemon knows something. Until
// then they are refused at once: after a loss of power all hosts ask the seeds, and those
// that waited for a seed which starts too would serve some 100 ms later.
func (m *members) serve(ctx context.Context) {
	if !m.c.awaitReady(ctx) {
		return
	}
	stop, err := peer.ServeRPC(ctx, m.c.cfg.Load().ControlAddress, jsonrpc2.HandlerWithError(m.handleRPC))
	if err != nil {
		klog.ErrorS(err, "Other daemons can't ask this one")
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
	if m.news, err = peer.NewSequencedCodec[peer.Advertisement](k, peer.DomainAdvertisement); err != nil {
		return err
	}
	if m.reports, err = peer.NewSequencedCodec[peer.Report](k, peer.DomainReport); err != nil {
		return err
	}
	m.catalog, err = peer.NewCodec[peer.Catalog](k.Seal, peer.DomainCatalog)
	if err == nil {
		m.catalog.SetKeys(k)
	}
	return err
}

// setKeys replaces the secrets that daemons share.
func (m *members) setKeys(k peer.Keys) {
	m.swim.SetKeys(k)
	m.news.SetKeys(k)
	m.reports.SetKeys(k)
	m.catalog.SetKeys(k)
}

func (m *members) datagram(from netip.AddrPort, b []byte) {
	m.in.Add(1)
	m.inBytes.Add(uint64(len(b)))
	if len(b) == 0 {
		m.dropped.Add(1)
		return
	}
	now := time.Now()
	var err error
	switch body := b[1:]; protocol(b[0]) {
	case protocolMembership:
		err = receive(m.swim, body, func(msg *peer.Message) {
			m.do(func(g *peer.Membership) []peer.Envelope { return g.Receive(now, from, msg) })
		})
	case protocolNews:
		err = receive(m.news, body, func(n *peer.Advertisement) { m.heardNews(from, n, now) })
	case protocolReport:
		err = receive(m.reports, body, func(r *peer.Report) { m.heardReport(r, now) })
	default:
		err = peer.ErrMessage
	}
	if err != nil {
		m.dropped.Add(1)
		klog.V(1).InfoS("Message dropped", "From", from, "Error", err)
	}
}

// receive decodes a message and passes it on.
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

// send encodes a message once and sends it to each of several members.
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
	for _, t := range to {
		m.write(b, t.Control, false)
	}
}

func (m *members) write(b []byte, to netip.AddrPort, fresh bool) {
	if m.ports.Send(b, to, fresh) {
		m.out.Add(1)
		m.outBytes.Add(uint64(len(b)))
	}
}

// do changes the membership, puts a changed view in force and sends messages.
func (m *members) do(f func(g *peer.Membership) []peer.Envelope) {
	m.mu.Lock()
	out := f(m.group)
	var view, old *peer.View
	if e := m.group.Epoch(); e != m.epoch {
		m.epoch = e
		old = m.view.Load()
		view = m.group.View()
		m.view.Store(view)
	}
	m.mu.Unlock()
	if view != nil {
		m.lines.changed(old, view, time.Now())
		if len(old.Members) == 1 && len(view.Members) > 1 {
			select {
			case m.met <- struct{}{}:
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
		m.write(append([]byte{byte(protocolMembership)}, b...), e.To, e.FreshPort)
	}
}

// joinAfter are the times after the start at which everything is fetched from
// another daemon. Gossip alone takes ten seconds to tell 78 daemons that start
// together of each other; by the second time each has asked a seed.
var joinAfter = [...]time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}

// JoinedAfter is when the last of them is over.
const JoinedAfter = 6 * time.Second

// join fetches what others know: the bundle, upstreams and members.
func (m *members) join(ctx context.Context) {
	m.learn(ctx)
	for _, after := range joinAfter {
		sleep(ctx, after/2+rand.N(after)-time.Since(m.c.started))
		if to := m.anyone(); to.IsValid() && ctx.Err() == nil {
			m.pull(to, false)
		}
	}
}

// anyone returns the address of a seed that is a member, or else of any member.
func (m *members) anyone() netip.AddrPort {
	v := m.view.Load()
	var seeds, others []netip.AddrPort
	for i := range v.Members {
		o := &v.Members[i]
		switch {
		case o.ID == v.Self:
		case slices.Contains(m.c.cfg.Load().Seeds, o.Control):
			seeds = append(seeds, o.Control)
		default:
			others = append(others, o.Control)
		}
	}
	for _, list := range [][]netip.AddrPort{seeds, others} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))]
		}
	}
	return netip.AddrPort{}
}

// elsewhere returns the address of a member of another zone, if there is one.
func (m *members) elsewhere() netip.AddrPort {
	v := m.view.Load()
	zone := m.c.cfg.Load().Zone
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

// tick lets the membership see the time and asks the seeds.
func (m *members) tick(now time.Time) {
	version := m.c.inForce.Version()
	m.do(func(g *peer.Membership) []peer.Envelope {
		g.SetBundle(version)
		out := g.Tick(now)
		if now.Before(m.nextSeed) {
			return out
		}
		m.nextSeed = now.Add(m.seedPeriod)
		m.seedPeriod = min(2*m.seedPeriod, maxSeedPeriod)
		if len(m.view.Load().Members) > 1 && m.c.start.ready.happened() {
			m.nextSeed = now.Add(knownSeedPeriod/2 + rand.N(knownSeedPeriod))
		}
		return append(out, g.Seed(m.c.cfg.Load().Seeds)...)
	})
}

// metServing reports whether a member that can place flows was heard.
func (m *members) metServing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.ServingMemberSeen()
}

func (m *members) leave() {
	m.do(func(g *peer.Membership) []peer.Envelope { return g.AnnounceLeaving(time.Now()) })
}

func (m *members) left() {
	m.do(func(g *peer.Membership) []peer.Envelope { return g.AnnounceLeft(time.Now()) })
}
