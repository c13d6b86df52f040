package cookie

import "slices"

// upstreamIndex finds upstreams by their cookies and by their services. It is kept up by changes,
// never made anew.
type upstreamIndex struct {
	// byCookie holds the upstream that a cookie names, shadowed those that have the same
	// cookie and registered later.
	byCookie map[Cookie]*Upstream
	shadowed map[Cookie][]*Upstream
	// byService holds the listed upstreams of each service, in no particular order.
	byService map[string][]*Upstream
}

func newUpstreamIndex() upstreamIndex {
	return upstreamIndex{
		byCookie:  make(map[Cookie]*Upstream),
		shadowed:  make(map[Cookie][]*Upstream),
		byService: make(map[string][]*Upstream),
	}
}

// assignCookie lets an upstream's cookie name it, whether it is listed or went lately. An
// upstream that registered earlier keeps its cookie if another one has the same: nobody
// else can have given it to a flow. The later one gets no flow for as long.
func (t *upstreamIndex) assignCookie(u *Upstream) {
	first := t.byCookie[u.Cookie]
	switch {
	case first == nil || first == u:
		t.byCookie[u.Cookie], u.shadowed = u, false
	case compareAge(u, first) < 0:
		t.byCookie[u.Cookie], u.shadowed = u, false
		t.shadow(first)
	default:
		t.shadow(u)
	}
}

func (t *upstreamIndex) shadow(u *Upstream) {
	u.shadowed = true
	t.shadowed[u.Cookie] = append(t.shadowed[u.Cookie], u)
}

// releaseCookie lets an upstream's cookie no longer name it. The oldest of those that it
// shadowed takes its place.
func (t *upstreamIndex) releaseCookie(u *Upstream) {
	others := slices.DeleteFunc(t.shadowed[u.Cookie], func(o *Upstream) bool { return o == u })
	if t.byCookie[u.Cookie] == u {
		delete(t.byCookie, u.Cookie)
		if len(others) > 0 {
			next := slices.MinFunc(others, compareAge)
			others = slices.DeleteFunc(others, func(o *Upstream) bool { return o == next })
			t.byCookie[u.Cookie], next.shadowed = next, false
		}
	}
	if len(others) > 0 {
		t.shadowed[u.Cookie] = others
	} else {
		delete(t.shadowed, u.Cookie)
	}
}

// addToService puts a listed upstream among those of its service.
func (t *upstreamIndex) addToService(u *Upstream) {
	name := u.Route.Service.Name
	u.serviceIndex = len(t.byService[name])
	t.byService[name] = append(t.byService[name], u)
}

// removeFromService takes an upstream off those of its service; the last one gets its place.
func (t *upstreamIndex) removeFromService(u *Upstream) {
	name := u.Route.Service.Name
	list := t.byService[name]
	last := list[len(list)-1]
	list[u.serviceIndex], last.serviceIndex = last, u.serviceIndex
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) > 0 {
		t.byService[name] = list
	} else {
		delete(t.byService, name)
	}
}
