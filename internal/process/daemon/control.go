package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/process/udpport"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// control runs the membership over UDP.
type control struct {
	d     *Daemon
	codec *peer.Codec[peer.Message, *peer.Message]
	ports *udpport.Ports

	// mu guards members and epoch. It is a leaf: nothing is locked while it is held.
	mu      sync.Mutex
	members *peer.Membership
	epoch   uint64

	in, out, inBytes, outBytes, dropped atomic.Uint64
}

func newControl(d *Daemon, self peer.Member) (*control, error) {
	codec, err := peer.NewCodec[peer.Message](d.cfg.Secret, peer.DomainMembership)
	if err != nil {
		return nil, err
	}
	p, err := udpport.New(d.cfg.ControlAddress)
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cfg := peer.Config{ProbePeriod: time.Duration(d.cfg.ProbePeriod)}
	c := &control{d: d, ports: p, codec: codec, members: peer.NewMembership(cfg, self, rng)}
	d.engine.SetView(c.members.View())
	return c, nil
}

// start reads the sockets and the platform's list until the returned function
// is called.
func (c *control) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	c.ports.Start(c.datagram)
	wg.Go(func() { c.seed(ctx) })
	return func() {
		cancel()
		c.ports.Close()
		wg.Wait()
	}
}

func (c *control) datagram(from netip.AddrPort, b []byte) {
	if c.d.blocked.Blocks(from.Addr()) {
		return
	}
	c.in.Add(1)
	c.inBytes.Add(uint64(len(b)))
	msg, err := c.codec.Decode(b)
	if err != nil {
		c.dropped.Add(1)
		return
	}
	c.receive(from, msg)
}

func (c *control) receive(from netip.AddrPort, msg *peer.Message) {
	c.do(func(m *peer.Membership) []peer.Envelope {
		return m.Receive(time.Now(), from, msg)
	})
	if msg.Kind == peer.KindPing {
		c.d.engine.ReceiveFlowCounts(upstream.MemberID(msg.From.ID), msg.Bundle, msg.Flows)
	}
	c.d.bundles.heard(msg.Bundle, msg.From.RPC)
}

// do changes the membership, puts a changed view in force and sends messages.
func (c *control) do(f func(m *peer.Membership) []peer.Envelope) {
	c.mu.Lock()
	out := f(c.members)
	var view *peer.View
	if e := c.members.Epoch(); e != c.epoch {
		c.epoch = e
		view = c.members.View()
		old := c.d.engine.View()
		c.d.engine.SetView(view)
		c.d.engine.Loads.RetainMembers(memberIDs(view))
		logChanges(old, view)
	}
	c.mu.Unlock()
	for i := range out {
		c.send(&out[i])
	}
}

func (c *control) send(e *peer.Envelope) {
	if c.d.blocked.Blocks(e.To.Addr()) {
		return
	}
	b, err := c.codec.Encode(&e.Message)
	if err != nil {
		klog.ErrorS(err, "Membership message can't be encoded")
		return
	}
	if c.ports.Send(b, e.To, e.FreshPort) {
		c.out.Add(1)
		c.outBytes.Add(uint64(len(b)))
	}
}

func (c *control) tick(now time.Time) {
	c.d.engine.ExpireRecentPlacements(now)
	v, flows := c.d.engine.FlowCounts()
	c.do(func(m *peer.Membership) []peer.Envelope {
		m.SetBundle(v)
		m.SetFlows(flows)
		return m.Tick(now)
	})
}

func memberIDs(v *peer.View) []upstream.MemberID {
	out := make([]upstream.MemberID, 0, len(v.Members))
	for i := range v.Members {
		out = append(out, upstream.MemberID(v.Members[i].ID))
	}
	return out
}

func (c *control) setBundle(v bundle.Version) {
	c.do(func(m *peer.Membership) []peer.Envelope {
		m.SetBundle(v)
		return nil
	})
}

func (c *control) leave() {
	c.do(func(m *peer.Membership) []peer.Envelope { return m.AnnounceLeaving(time.Now()) })
}

func (c *control) left() {
	c.do(func(m *peer.Membership) []peer.Envelope { return m.AnnounceLeft(time.Now()) })
}

// seed looks for members on the platform's list until the daemon ends.
func (c *control) seed(ctx context.Context) {
	for {
		c.seedOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.seedWait()):
		}
	}
}

// seedWait is the time to the next look at the platform's list. A daemon that has
// found others learns from them, so that a large fleet reads the list rarely.
func (c *control) seedWait() time.Duration {
	period := seedPeriod
	if len(c.d.engine.View().Members) > 1 {
		period = knownSeedPeriod
	}
	return period/2 + rand.N(period)
}

func (c *control) seedOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedPeriod)
	defer cancel()
	hosts, err := c.d.platform.Hosts(ctx)
	if err != nil {
		c.d.bundles.platformErrors.Add(1)
	}
	addrs := make([]netip.AddrPort, 0, len(hosts)+len(c.d.cfg.Seeds))
	addrs = append(addrs, c.d.cfg.Seeds...)
	for _, h := range hosts {
		addrs = append(addrs, h.Control)
	}
	c.do(func(m *peer.Membership) []peer.Envelope { return m.Seed(addrs) })
}

// logChanges writes a line for each member that came, went or changed.
func logChanges(old, now *peer.View) {
	for i := range now.Members {
		m := &now.Members[i]
		if was := old.Member(m.ID); was == nil || was.State != m.State || was.Boot != m.Boot {
			klog.InfoS("Member changed", "Name", m.Name, "Zone", m.Zone, "State", m.State)
		}
	}
	for i := range old.Members {
		if m := &old.Members[i]; now.Member(m.ID) == nil {
			klog.InfoS("Member gone", "Name", m.Name, "Zone", m.Zone)
		}
	}
}
