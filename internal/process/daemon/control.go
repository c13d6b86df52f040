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

// control runs the membership protocol over UDP.
type control struct {
	d     *Daemon
	codec *peer.Codec[peer.Message, *peer.Message]
	ports *udpport.Ports

	// mu guards membership and epoch. In the lock order it comes after bundle.InForce,
	// which is locked while a new bundle calls setBundle, and before the mutex of the
	// engine's LoadTable, which update takes while it holds mu. No message is sent
	// while mu is held.
	mu         sync.Mutex
	membership *peer.Membership
	epoch      uint64

	received, sent, receivedBytes, sentBytes, dropped atomic.Uint64
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
	c := &control{d: d, ports: p, codec: codec, membership: peer.NewMembership(cfg, self, rng)}
	d.engine.SetView(c.membership.View())
	return c, nil
}

// start reads the sockets and the platform's list of hosts until the returned
// function is called.
func (c *control) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	c.ports.Start(c.handleDatagram)
	wg.Go(func() { c.seed(ctx) })
	return func() {
		cancel()
		c.ports.Close()
		wg.Wait()
	}
}

func (c *control) handleDatagram(from netip.AddrPort, b []byte) {
	if c.d.blocked.Blocks(from.Addr()) {
		return
	}
	c.received.Add(1)
	c.receivedBytes.Add(uint64(len(b)))
	msg, err := c.codec.Decode(b)
	if err != nil {
		c.dropped.Add(1)
		return
	}
	c.receive(from, msg)
}

func (c *control) receive(from netip.AddrPort, msg *peer.Message) {
	c.update(func(m *peer.Membership) []peer.Envelope {
		return m.Receive(time.Now(), from, msg)
	})
	if msg.Kind == peer.KindPing {
		c.d.engine.ReceiveFlowCounts(upstream.MemberID(msg.From.ID), msg.Bundle, msg.Flows)
	}
	c.d.bundles.fetchIfNewer(msg.Bundle, msg.From.RPC)
}

// update calls f with the membership, sets the engine's view if the membership has
// changed, and sends the messages that f returns. The messages are sent after mu is
// released.
func (c *control) update(f func(m *peer.Membership) []peer.Envelope) {
	c.mu.Lock()
	out := f(c.membership)
	var view *peer.View
	if e := c.membership.Epoch(); e != c.epoch {
		c.epoch = e
		view = c.membership.View()
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
		klog.ErrorS(err, "Membership message could not be encoded")
		return
	}
	if c.ports.Send(b, e.To, e.NewPort) {
		c.sent.Add(1)
		c.sentBytes.Add(uint64(len(b)))
	}
}

func (c *control) tick(now time.Time) {
	c.d.engine.ExpireRecentPlacements(now)
	v, flows := c.d.engine.FlowCounts()
	c.update(func(m *peer.Membership) []peer.Envelope {
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
	c.update(func(m *peer.Membership) []peer.Envelope {
		m.SetBundle(v)
		return nil
	})
}

func (c *control) announceLeaving() {
	c.update(func(m *peer.Membership) []peer.Envelope { return m.AnnounceLeaving(time.Now()) })
}

func (c *control) announceLeft() {
	c.update(func(m *peer.Membership) []peer.Envelope { return m.AnnounceLeft(time.Now()) })
}

// seed looks for members on the platform's list of hosts until ctx ends.
func (c *control) seed(ctx context.Context) {
	for {
		c.seedOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.nextSeedDelay()):
		}
	}
}

// nextSeedDelay returns the time until the next read of the platform's list of hosts,
// with random jitter. A daemon that has found other members learns of new ones from
// them, so a large fleet reads the list rarely.
func (c *control) nextSeedDelay() time.Duration {
	period := seedPeriod
	if len(c.d.engine.View().Members) > 1 {
		period = connectedSeedPeriod
	}
	return period/2 + rand.N(period)
}

// seedOnce pings those of the configured seeds and of the hosts on the platform's list
// that aren't members. If the platform doesn't answer, it pings seeds only.
func (c *control) seedOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedPeriod)
	defer cancel()
	hosts, findings, err := c.d.platform.Hosts(ctx)
	if err != nil {
		c.d.bundles.platformErrors.Add(1)
	}
	if len(findings) > 0 {
		klog.ErrorS(findings[0], "Hosts of the platform's list left out", "Count", len(findings))
	}
	addrs := make([]netip.AddrPort, 0, len(hosts)+len(c.d.cfg.Seeds))
	addrs = append(addrs, c.d.cfg.Seeds...)
	for _, h := range hosts {
		addrs = append(addrs, h.Control)
	}
	c.update(func(m *peer.Membership) []peer.Envelope { return m.Seed(addrs) })
}

// logChanges writes a log line for each member that joined, changed or was removed.
func logChanges(old, now *peer.View) {
	for i := range now.Members {
		m := &now.Members[i]
		if was := old.Member(m.ID); was == nil || was.State != m.State || was.Boot != m.Boot {
			klog.InfoS("Member changed", "Name", m.Name, "Zone", m.Zone, "State", m.State)
		}
	}
	for i := range old.Members {
		if m := &old.Members[i]; now.Member(m.ID) == nil {
			klog.InfoS("Member removed", "Name", m.Name, "Zone", m.Zone)
		}
	}
}
