package peer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var networkT0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	networkStep  = 25 * time.Millisecond
	ipUDPHeaders = 28
)

// member is a membership in the network, with what it costs.
type member struct {
	*peer.Membership
	self        peer.Member
	up          bool
	pausedUntil time.Time
	sent, bytes int
}

// network runs memberships over faked links. Time goes in steps.
type network struct {
	now     time.Time
	rng     *rand.Rand
	codec   *peer.Codec
	members []*member
	loss    float64
	cut     func(a, b *member) bool
	queue   []datagram
	cfg     peer.Config
	// measured makes each message count with its encoded size.
	measured bool
}

type datagram struct {
	from, to netip.AddrPort
	body     *peer.Message
}

func newNetwork(n int, seed uint64) *network {
	codec, err := peer.NewCodec([]byte("secret of the tests"))
	if err != nil {
		panic(err)
	}
	w := &network{now: networkT0, rng: rand.New(rand.NewPCG(seed, 1)), codec: codec}
	for range n {
		w.add()
	}
	return w
}

func controlAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6082)
}

func (w *network) add() *member {
	i := len(w.members)
	at := controlAt(i)
	m := &member{self: peer.Member{
		ID: peer.IDOf(fmt.Sprintf("host-%d", i)), Name: fmt.Sprintf("host-%d", i),
		Zone: []bundle.Zone{"a", "b", "c"}[i%3],
		Data: netip.AddrPortFrom(at.Addr(), 6081), Control: at, RPC: at,
	}}
	w.members = append(w.members, m)
	w.boot(m)
	return m
}

// boot starts a member that knows only a few hosts of the platform's list.
func (w *network) boot(m *member) {
	m.up = true
	m.self.Boot = w.rng.Uint64()
	m.self.Incarnation = peer.Incarnation(w.now.UnixMilli())
	m.Membership = peer.NewMembership(w.cfg, m.self, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	known := min(len(w.members), 5)
	seeds := make([]netip.AddrPort, 0, known)
	for i := range known {
		seeds = append(seeds, controlAt(i))
	}
	w.send(m, m.Seed(seeds))
}

func (w *network) send(m *member, out []peer.Envelope) {
	for i := range out {
		if w.measured {
			b, err := w.codec.Encode(&out[i].Message)
			if err != nil {
				panic(err)
			}
			m.bytes += len(b) + ipUDPHeaders
		}
		m.sent++
		w.queue = append(w.queue, datagram{from: m.self.Control, to: out[i].To, body: &out[i].Message})
	}
}

func (w *network) at(a netip.AddrPort) *member {
	b := a.Addr().As4()
	i := int(b[1])<<16 | int(b[2])<<8 | int(b[3])
	if i >= len(w.members) {
		return nil
	}
	return w.members[i]
}

// run lets time pass. Each datagram takes one step.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(networkStep)
		arriving := w.queue
		w.queue = nil
		for _, g := range arriving {
			w.arrive(g)
		}
		for _, m := range w.members {
			if m.up && !w.now.Before(m.pausedUntil) {
				w.send(m, m.Tick(w.now))
			}
		}
	}
}

func (w *network) arrive(g datagram) {
	to, from := w.at(g.to), w.at(g.from)
	if to == nil || !to.up || w.rng.Float64() < w.loss || w.cut != nil && w.cut(from, to) {
		return
	}
	if w.now.Before(to.pausedUntil) {
		w.queue = append(w.queue, g)
		return
	}
	w.send(to, to.Receive(w.now, g.from, g.body))
}

// agreed reports whether each member that is up sees exactly those.
func (w *network) agreed() bool {
	n := 0
	for _, m := range w.members {
		if m.up {
			n++
		}
	}
	for _, m := range w.members {
		if m.up && len(m.View().Members) != n {
			return false
		}
	}
	return true
}

// until runs until f holds and returns how long that took, at most limit.
func (w *network) until(limit time.Duration, f func() bool) time.Duration {
	start := w.now
	for w.now.Sub(start) < limit && !f() {
		w.run(networkStep)
	}
	return w.now.Sub(start)
}
