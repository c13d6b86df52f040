// Package links joins memberships by links in memory, so that many of them run in
// one process at their own time. It is no simulator of a cluster: it carries
// datagrams, and loses them if told to.
package links

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// Step is how far time goes at once, and what one datagram takes.
	Step = 25 * time.Millisecond
	// headerBytes are those of IPv4 and UDP.
	headerBytes = 28
)

// Member is a membership in a network, with what it costs.
type Member struct {
	*peer.Membership
	// Host is how the member introduces itself.
	Host peer.Member
	// Running is cleared to end the member without notice.
	Running bool
	// PausedUntil keeps the member from running; its datagrams wait.
	PausedUntil time.Time
	// ClockError is by how much its time of day is wrong at its next boot.
	ClockError time.Duration
	// SentDatagrams and SentBytes count datagrams, with their headers, while CountBytes is set.
	SentDatagrams, SentBytes int
}

// Network runs memberships over links in memory. It isn't safe for concurrent use.
type Network struct {
	Now     time.Time
	Rng     *rand.Rand
	Members []*Member
	// LossRate is the share of datagrams that is lost.
	LossRate float64
	// Unreachable says which members don't reach each other; nil for none.
	Unreachable func(a, b *Member) bool
	// CountBytes makes each message count with its encoded size.
	CountBytes bool

	cfg   peer.Config
	codec *peer.Codec[peer.Message, *peer.Message]
	queue []datagram
}

type datagram struct {
	from, to netip.AddrPort
	body     *peer.Message
}

// New returns a network of n members, which know a few hosts of a common list.
func New(n int, seed uint64) *Network { return NewWithConfig(n, seed, peer.Config{}) }

// NewWithConfig returns a network of members with other times than the default ones.
func NewWithConfig(n int, seed uint64, cfg peer.Config) *Network {
	codec, err := peer.NewCodec[peer.Message]([]byte("secret of the tests"), peer.DomainMembership)
	if err != nil {
		panic(err)
	}
	w := &Network{Now: start, cfg: cfg, Rng: rand.New(rand.NewPCG(seed, 1)), codec: codec}
	for range n {
		w.Add()
	}
	return w
}

// ControlAddress returns the control address of the i-th member.
func ControlAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6082)
}

// Add starts one more member.
func (w *Network) Add() *Member {
	i := len(w.Members)
	at := ControlAddress(i)
	m := &Member{Host: peer.Member{
		ID: peer.IDOf(fmt.Sprintf("host-%d", i)), Name: fmt.Sprintf("host-%d", i),
		Zone: []bundle.Zone{"a", "b", "c"}[i%3],
		Data: netip.AddrPortFrom(at.Addr(), 6081), Control: at, RPC: at,
	}}
	w.Members = append(w.Members, m)
	w.Boot(m)
	return m
}

// Boot starts a member that knows only a few hosts of the platform's list.
func (w *Network) Boot(m *Member) {
	m.Running = true
	m.Host.Boot = w.Rng.Uint64()
	m.Host.Incarnation = peer.Incarnation(w.Now.Add(m.ClockError).UnixMilli())
	m.Membership = peer.NewMembership(w.cfg, m.Host, rand.New(rand.NewPCG(w.Rng.Uint64(), 2)))
	known := min(len(w.Members), 5)
	seeds := make([]netip.AddrPort, 0, known)
	for i := range known {
		seeds = append(seeds, ControlAddress(i))
	}
	w.Send(m, m.Seed(seeds))
}

// Send puts what a member sends on its links.
func (w *Network) Send(m *Member, out []peer.Envelope) {
	for i := range out {
		if w.CountBytes {
			b, err := w.codec.Encode(&out[i].Message)
			if err != nil {
				panic(err)
			}
			m.SentBytes += len(b) + headerBytes
		}
		m.SentDatagrams++
		w.queue = append(w.queue, datagram{from: m.Host.Control, to: out[i].To, body: &out[i].Message})
	}
}

func (w *Network) at(a netip.AddrPort) *Member {
	b := a.Addr().As4()
	i := int(b[1])<<16 | int(b[2])<<8 | int(b[3])
	if i >= len(w.Members) {
		return nil
	}
	return w.Members[i]
}

// Run lets time pass. Each datagram takes one step.
func (w *Network) Run(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.Now = w.Now.Add(Step)
		arriving := w.queue
		w.queue = nil
		for _, g := range arriving {
			w.arrive(g)
		}
		for _, m := range w.Members {
			if m.Running && !w.Now.Before(m.PausedUntil) {
				w.Send(m, m.Tick(w.Now))
			}
		}
	}
}

func (w *Network) arrive(g datagram) {
	to, from := w.at(g.to), w.at(g.from)
	if to == nil || !to.Running || w.Rng.Float64() < w.LossRate || w.Unreachable != nil && w.Unreachable(from, to) {
		return
	}
	if w.Now.Before(to.PausedUntil) {
		w.queue = append(w.queue, g)
		return
	}
	w.Send(to, to.Receive(w.Now, g.from, g.body))
}

// Converged reports whether each member that is up sees exactly those.
func (w *Network) Converged() bool {
	n := 0
	for _, m := range w.Members {
		if m.Running {
			n++
		}
	}
	for _, m := range w.Members {
		if m.Running && len(m.View().Members) != n {
			return false
		}
	}
	return true
}

// RunUntil runs until f holds and returns how long that took, at most limit.
func (w *Network) RunUntil(limit time.Duration, f func() bool) time.Duration {
	start := w.Now
	for w.Now.Sub(start) < limit && !f() {
		w.Run(Step)
	}
	return w.Now.Sub(start)
}
