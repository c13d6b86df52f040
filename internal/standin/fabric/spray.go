// Package fabric stands in for the network fabric. It chooses a balancer for each packet of
// callers anew (packet spraying) and forwards answers to callers.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
)

// Spray chooses a random balancer for each packet. It is safe for concurrent use.
type Spray struct {
	balancers atomic.Pointer[[]netip.AddrPort]
}

// Set replaces the list of balancers.
func (s *Spray) Set(b []netip.AddrPort) {
	s.balancers.Store(&b)
}

// Pick returns a random balancer, or false if there is none.
func (s *Spray) Pick() (netip.AddrPort, bool) {
	b := s.balancers.Load()
	if b == nil || len(*b) == 0 {
		return netip.AddrPort{}, false
	}
	return (*b)[rand.IntN(len(*b))], true
}
