// Package links connects memberships by simulated links in memory, so that many of them run in
// one process in virtual time. It doesn't simulate a cluster: it only delivers datagrams, and
// drops some if configured to.
package links

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// Step is the increment of virtual time, and the transit time of a datagram.
	Step = 25 * time.Millisecond
	// headerBytes is the size of the IPv4 and UDP headers.
	headerBytes = 28
)

// Member is a membership in a Network, with the traffic that it sends.
type Member struct {
	*peer.Membership
	// Host is the member's entry for itself.
	Host peer.Member
	// Running is set while the member runs. Clearing it stops the member without notice.
	Running bool
	// PausedUntil suspends the member until a time. Datagrams to it wait meanwhile.
	PausedUntil time.Time
	// ClockError is the error of the member's time of day at its next boot.
	ClockError time.Duration
	// SentDatagrams counts the datagrams that the member sent. SentBytes counts their bytes,
	// headers included, while Network.CountBytes is set.
	SentDatagrams, SentBytes int
}

// Network runs memberships over simulated links. It isn't safe for concurrent use.
type Network struct {
	Now     time.Time
	Rng     *rand.Rand
	Members []*Member
	// LossRate is the share of datagrams that are lost, from 0 to 1.
	LossRate float64
	// Unreachable reports whether two members can't reach each other. It may be nil if all can.
	Unreachable func(a, b *Member) bool
	// CountBytes makes the network encode each message to count its size.
	CountBytes bool

	cfg   peer.Config
	codec *peer.Codec[peer.Message, *peer.Message]
	queue []datagram
}

type datagram struct {
	from, to netip.AddrPort
	body     *peer.Message
}

// New returns a network of n members, each of which knows the first few addresses at boot.
func New(n int, seed uint64) *Network { return NewWithConfig(n, seed, peer.Config{}) }

// NewWithConfig is like New, with a configuration other than the default.
func NewWithConfig(n int, seed uint64, cfg peer.Config) *Network {
	codec, err := peer.NewCodec[peer.Message]([]byte("secret of the tests"), peer.DomainMembership)
	if err != nil {
		panic(err)
	}
	nw := &Network{Now: startTime, cfg: cfg, Rng: rand.New(rand.NewPCG(seed, 1)), codec: codec}
	for range n {
		nw.Add()
	}
	return nw
}

// ControlAddress returns the control address of the i-th member.
func ControlAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6082)
}

// Add adds a member and starts it.
func (nw *Network) Add() *Member {
	i := len(nw.Members)
	at := ControlAddress(i)
	m := &Member{Host: peer.Member{
		ID: peer.IDOf(fmt.Sprintf("host-%d", i)), Name: fmt.Sprintf("host-%d", i),
		Zone: []bundle.Zone{"a", "b", "c"}[i%3],
		Data: netip.AddrPortFrom(at.Addr(), 6081), Control: at, RPC: at,
	}}
	nw.Members = append(nw.Members, m)
	nw.Boot(m)
	return m
}

// Boot starts a member, which knows the addresses of at most the first five members as its seeds.
func (nw *Network) Boot(m *Member) {
	m.Running = true
	m.Host.Boot = nw.Rng.Uint64()
	m.Host.Incarnation = peer.Incarnation(nw.Now.Add(m.ClockError).UnixMilli())
	m.Membership = peer.NewMembership(nw.cfg, m.Host, rand.New(rand.NewPCG(nw.Rng.Uint64(), 2)))
	known := min(len(nw.Members), 5)
	seeds := make([]netip.AddrPort, 0, known)
	for i := range known {
		seeds = append(seeds, ControlAddress(i))
	}
	nw.Send(m, m.Seed(seeds))
}

// Send queues messages of a member for delivery.
func (nw *Network) Send(m *Member, out []peer.Envelope) {
	for i := range out {
		if nw.CountBytes {
			b, err := nw.codec.Encode(&out[i].Message)
			if err != nil {
				panic(err)
			}
			m.SentBytes += len(b) + headerBytes
		}
		m.SentDatagrams++
		nw.queue = append(nw.queue, datagram{from: m.Host.Control, to: out[i].To, body: &out[i].Message})
	}
}

func (nw *Network) memberAt(a netip.AddrPort) *Member {
	b := a.Addr().As4()
	i := int(b[1])<<16 | int(b[2])<<8 | int(b[3])
	if i >= len(nw.Members) {
		return nil
	}
	return nw.Members[i]
}

// Run advances virtual time by d. Each datagram takes one step.
func (nw *Network) Run(d time.Duration) {
	for end := nw.Now.Add(d); nw.Now.Before(end); {
		nw.Now = nw.Now.Add(Step)
		arriving := nw.queue
		nw.queue = nil
		for _, g := range arriving {
			nw.deliver(g)
		}
		for _, m := range nw.Members {
			if m.Running && !nw.Now.Before(m.PausedUntil) {
				nw.Send(m, m.Tick(nw.Now))
			}
		}
	}
}

func (nw *Network) deliver(g datagram) {
	to, from := nw.memberAt(g.to), nw.memberAt(g.from)
	if to == nil || !to.Running || nw.Rng.Float64() < nw.LossRate || nw.Unreachable != nil && nw.Unreachable(from, to) {
		return
	}
	if nw.Now.Before(to.PausedUntil) {
		nw.queue = append(nw.queue, g)
		return
	}
	nw.Send(to, to.Receive(nw.Now, g.from, g.body))
}

// Converged reports whether each running member sees as many members as are running.
func (nw *Network) Converged() bool {
	n := 0
	for _, m := range nw.Members {
		if m.Running {
			n++
		}
	}
	for _, m := range nw.Members {
		if m.Running && len(m.View().Members) != n {
			return false
		}
	}
	return true
}

// RunUntil runs until f returns true, or for at most limit. It returns the elapsed virtual time.
func (nw *Network) RunUntil(limit time.Duration, f func() bool) time.Duration {
	start := nw.Now
	for nw.Now.Sub(start) < limit && !f() {
		nw.Run(Step)
	}
	return nw.Now.Sub(start)
}
