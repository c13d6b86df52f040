package emulator

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// router distributes callers' packets over the hosts of a zone: by a hash of addresses and ports
// modulo the number of hosts in rotation, as the users' routers do.
type router struct {
	sim  *simulation
	zone *zone
	// misses counts each host's consecutive failed readiness checks.
	misses []int
}

const (
	// checkPeriod is the interval of readiness checks. A host leaves the rotation after maxMisses
	// consecutive failed ones.
	checkPeriod = 500 * time.Millisecond
	maxMisses   = 2
)

func newRouter(sim *simulation, z *zone) *router { return &router{sim: sim, zone: z} }

// startChecks starts the readiness checks of the zone's hosts, each at a random phase.
func (r *router) startChecks() {
	r.misses = make([]int, len(r.zone.hosts))
	for i, h := range r.zone.hosts {
		r.sim.every(r.sim.jitter(checkPeriod), checkPeriod, func() {
			if h.runs() {
				r.misses[i] = 0
			} else {
				r.misses[i]++
			}
		})
	}
}

// rotation returns the hosts that receive packets: those in rotation, or all hosts if fewer than
// half are in rotation. It returns none if none is.
func (r *router) rotation() []*host {
	in := make([]*host, 0, len(r.zone.hosts))
	for i, h := range r.zone.hosts {
		if r.misses[i] < maxMisses {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(r.zone.hosts) && len(in) > 0 {
		return r.zone.hosts
	}
	return in
}

// pick returns the host that receives a packet of a flow now. If no host of the zone is in
// rotation, it picks from the next zone that has some, and from all hosts of its own zone if no
// zone has any.
func (r *router) pick(k cookie.Key) *host {
	n := len(r.sim.zones)
	for i := range n {
		if list := r.sim.zones[(r.zone.index+i)%n].router.rotation(); len(list) > 0 {
			return list[flowHash(k)%uint64(len(list))]
		}
	}
	return r.zone.hosts[flowHash(k)%uint64(len(r.zone.hosts))]
}

// flowHash returns the hash of a flow by which routers pick a host.
func flowHash(k cookie.Key) uint64 {
	var b [8]byte
	copy(b[:], k.CallerIP[:])
	binary.BigEndian.PutUint16(b[4:], k.CallerPort)
	binary.BigEndian.PutUint16(b[6:], k.ServicePort)
	return xxhash.Sum64(b[:])
}
