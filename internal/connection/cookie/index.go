package cookie

import "slices"

// index finds upstreams by cookie and by service. It is updated by each change and never
// rebuilt.
type index struct {
	// byCookie holds the upstream that each cookie names, shadowed the upstreams that have the same
	// cookie and registered later.
	byCookie map[Cookie]*Upstream
	shadowed map[Cookie][]*Upstream
	// byService holds the registered upstreams of each service, in no particular order.
	byService map[string][]*Upstream
}

func newIndex() index {
	return index{
		byCookie:  make(map[Cookie]*Upstream),
		shadowed:  make(map[Cookie][]*Upstream),
		byService: make(map[string][]*Upstream),
	}
}

// assignCookie makes an upstream's cookie name it, whether the upstream is registered or was
// deregistered lately. An upstream that registered earlier keeps its cookie if another one has the
// same: no other upstream can have had it in a flow before. The later one gets no flow for as long.
func (x *index) assignCookie(u *Upstream) {
	first := x.byCookie[u.Cookie]
	switch {
	case first == nil || first == u:
		x.byCookie[u.Cookie], u.shadowed = u, false
	case compareAge(u, first) < 0:
		x.byCookie[u.Cookie], u.shadowed = u, false
		x.shadow(first)
	default:
		x.shadow(u)
	}
}

// shadow marks an upstream as one whose cookie names an older upstream.
func (x *index) shadow(u *Upstream) {
	u.shadowed = true
	x.shadowed[u.Cookie] = append(x.shadowed[u.Cookie], u)
}

// releaseCookie makes an upstream's cookie no longer name it. If it named it, the oldest of the
// upstreams that it shadowed takes the cookie over.
func (x *index) releaseCookie(u *Upstream) {
	others := slices.DeleteFunc(x.shadowed[u.Cookie], func(o *Upstream) bool { return o == u })
	if x.byCookie[u.Cookie] == u {
		delete(x.byCookie, u.Cookie)
		if len(others) > 0 {
			next := slices.MinFunc(others, compareAge)
			others = slices.DeleteFunc(others, func(o *Upstream) bool { return o == next })
			x.byCookie[u.Cookie], next.shadowed = next, false
		}
	}
	if len(others) > 0 {
		x.shadowed[u.Cookie] = others
	} else {
		delete(x.shadowed, u.Cookie)
	}
}

// addToService adds a registered upstream to those of its service.
func (x *index) addToService(u *Upstream) {
	name := u.Route.Service.Name
	u.serviceIndex = len(x.byService[name])
	x.byService[name] = append(x.byService[name], u)
}

// removeFromService removes an upstream from those of its service. The last one takes its index.
func (x *index) removeFromService(u *Upstream) {
	name := u.Route.Service.Name
	list := x.byService[name]
	last := list[len(list)-1]
	list[u.serviceIndex], last.serviceIndex = last, u.serviceIndex
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) > 0 {
		x.byService[name] = list
	} else {
		delete(x.byService, name)
	}
}
