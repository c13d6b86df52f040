package cookie

import (
	"slices"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// index finds upstreams by cookie, by service and by what is to be done about them. It is updated
// by each change and never rebuilt, and no walk over it covers upstreams that need nothing.
type index struct {
	// byCookie holds the upstream that each cookie names, by Cookie.base, shadowed the upstreams that have the
	// same cookies and registered later.
	byCookie map[Cookie]*Upstream
	shadowed map[Cookie][]*Upstream
	// pools holds the registered upstreams of each service, one pool for each zone.
	pools map[string][]*pool
	// The sets are explained at their kinds.
	inDoubt, withFlows, active, deregistered, mismatched set
}

func newIndex() *index {
	return &index{
		byCookie: make(map[Cookie]*Upstream),
		shadowed: make(map[Cookie][]*Upstream),
		pools:    make(map[string][]*pool),
		inDoubt:  set{kind: setInDoubt}, withFlows: set{kind: setWithFlows},
		active: set{kind: setActive}, deregistered: set{kind: setDeregistered}, mismatched: set{kind: setMismatched},
	}
}

// update brings the sets in line with the present state of an upstream. It must be called after
// each change of its health, registration, cookie or flow records.
func (x *index) update(u *Upstream) {
	x.inDoubt.put(u, u.inDoubt())
	x.withFlows.put(u, u.flowRecords > 0)
	x.deregistered.put(u, !u.registered)
	x.mismatched.put(u, u.mismatched != nil)
	p, usable := u.pool, u.usable()
	if p == nil || !p.usable.put(u, usable) {
		return
	}
	if usable {
		p.add(u, 1)
		p.clearExhausted()
	} else {
		p.add(u, -1)
	}
}

// remove removes an upstream that is forgotten.
func (x *index) remove(u *Upstream) {
	x.releaseCookie(u)
	for _, s := range []*set{&x.inDoubt, &x.withFlows, &x.active, &x.deregistered, &x.mismatched} {
		s.put(u, false)
	}
}

// assignCookie makes an upstream's cookie name it, whether the upstream is registered or was
// deregistered lately. An upstream that registered earlier keeps its cookie if another one has the
// same: no other upstream can have had it in a flow before. The later one gets no flow for as long.
func (x *index) assignCookie(u *Upstream) {
	first := x.byCookie[u.Cookie.base()]
	switch {
	case first == nil || first == u:
		x.name(u)
	case compareAge(u, first) < 0:
		x.name(u)
		x.shadow(first)
	default:
		x.shadow(u)
	}
}

// name makes an upstream's cookie name it.
func (x *index) name(u *Upstream) {
	x.byCookie[u.Cookie.base()], u.shadowed = u, false
	x.update(u)
}

// shadow marks an upstream as one whose cookie names an older upstream.
func (x *index) shadow(u *Upstream) {
	u.shadowed = true
	x.shadowed[u.Cookie.base()] = append(x.shadowed[u.Cookie.base()], u)
	x.update(u)
}

// releaseCookie makes an upstream's cookie no longer name it. If it named it, the oldest of the
// upstreams that it shadowed takes the cookie over.
func (x *index) releaseCookie(u *Upstream) {
	others := slices.DeleteFunc(x.shadowed[u.Cookie.base()], func(o *Upstream) bool { return o == u })
	if x.byCookie[u.Cookie.base()] == u {
		delete(x.byCookie, u.Cookie.base())
		if len(others) > 0 {
			next := slices.MinFunc(others, compareAge)
			others = slices.DeleteFunc(others, func(o *Upstream) bool { return o == next })
			x.name(next)
		}
	}
	if len(others) > 0 {
		x.shadowed[u.Cookie.base()] = others
	} else {
		delete(x.shadowed, u.Cookie.base())
	}
}

// addToService adds a registered upstream to those of its service.
func (x *index) addToService(u *Upstream) {
	u.pool = x.poolOf(u.Route.Service.Name, u.Route.Zone, u.zoneHealth)
	u.pool.registered.put(u, true)
	x.update(u)
}

// removeFromService removes an upstream from those of its service.
func (x *index) removeFromService(u *Upstream) {
	p := u.pool
	if p.usable.put(u, false) {
		p.add(u, -1)
	}
	p.ejected.put(u, false)
	p.registered.put(u, false)
	u.pool = nil
	if len(p.registered.list) > 0 {
		return
	}
	rest := slices.DeleteFunc(x.pools[p.service], func(o *pool) bool { return o == p })
	if len(rest) > 0 {
		x.pools[p.service] = rest
	} else {
		delete(x.pools, p.service)
	}
}

// poolOf returns the pool of a service and a zone, and creates it at first use.
func (x *index) poolOf(service string, zone bundle.Zone, h *zoneHealth) *pool {
	for _, p := range x.pools[service] {
		if p.zone == zone {
			return p
		}
	}
	p := newPool(service, zone, h)
	x.pools[service] = append(x.pools[service], p)
	return p
}
