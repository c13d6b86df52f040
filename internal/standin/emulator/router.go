package emulator

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// router spreads callers' packets over the hosts of a zone: by a hash of addresses and ports
// over those in rotation, as the users' routers do.
type router struct {
	w    *play
	zone *zone
	// misses counts each host's readiness checks in a row that failed.
	misses []int
}

const (
	// checkPeriod is how often routers ask whether a host is ready, outAfter after how many
	// misses it is out of rotation.
	checkPeriod = 500 * time.Millisecond
	outAfter    = 2
)

func newRouter(w *play, z *zone) *router { return &router{w: w, zone: z} }

// begin starts the readiness checks of the zone's hosts, each at its own moment.
func (r *router) begin() {
	r.misses = make([]int, len(r.zone.hosts))
	for i, h := range r.zone.hosts {
		r.w.every(r.w.jitter(checkPeriod), checkPeriod, func() {
			if h.ready {
				r.misses[i] = 0
			} else {
				r.misses[i]++
			}
		})
	}
}

// rotation returns the hosts that take packets: those in rotation, or all if they are fewer
// than half.
func (r *router) rotation() []*host {
	in := make([]*host, 0, len(r.zone.hosts))
	for i, h := range r.zone.hosts {
		if r.misses[i] < outAfter {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(r.zone.hosts) && len(in) > 0 {
		return r.zone.hosts
	}
	return in
}

// pick returns the host that a flow's packet goes to now. If no host of the zone is in
// rotation, one of the next zone that has some takes it.
func (r *router) pick(k cookie.Key) *host {
	n := len(r.w.zones)
	for i := range n {
		if list := r.w.zones[(r.zone.index+i)%n].router.rotation(); len(list) > 0 {
			return list[spread(k)%uint64(len(list))]
		}
	}
	return r.zone.hosts[spread(k)%uint64(len(r.zone.hosts))]
}

func spread(k cookie.Key) uint64 {
	var b [8]byte
	copy(b[:], k.CallerIP[:])
	binary.BigEndian.PutUint16(b[4:], k.CallerPort)
	binary.BigEndian.PutUint16(b[6:], k.ServicePort)
	return xxhash.Sum64(b[:])
}
