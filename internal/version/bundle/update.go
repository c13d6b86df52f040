package bundle

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Update leads from one version of a bundle to a later one. It holds the differences only, so its size depends on the
// change and not on the bundle.
type Update struct {
	// From is the version that the update starts from, zero if it holds a whole bundle.
	From, To Version
	// Digest is the digest of the resulting bundle.
	Digest uint64
	// Services and Routes are those that were added or changed. Operators are all of them, or nil if they didn't change.
	Services  []Service
	Routes    []Route
	Operators []Operator
	// GoneServices and GoneRoutes are the names and addresses of those that were removed.
	GoneServices []string
	GoneRoutes   []netip.AddrPort
}

// ErrUpdateMismatch is returned for an update that doesn't start from the present bundle, or whose result differs from
// its maker's bundle.
var ErrUpdateMismatch = eris.New("bundle: the update doesn't lead on from this bundle")

// FullUpdate returns the update that holds a whole bundle.
func FullUpdate(a Accepted) *Update {
	return &Update{
		To: a.Version, Digest: a.Bundle.Digest(),
		Services: a.Bundle.Services, Routes: a.Bundle.Routes, Operators: a.Bundle.Operators,
	}
}

// Diff returns the update from one bundle to another.
func Diff(from, to Accepted) *Update {
	u := &Update{From: from.Version, To: to.Version, Digest: to.Bundle.Digest()}
	u.Services, u.GoneServices = diff(from.Bundle.Services, to.Bundle.Services, (*Service).key, (*Service).equal)
	u.Routes, u.GoneRoutes = diff(from.Bundle.Routes, to.Bundle.Routes, (*Route).key, (*Route).equal)
	if !reflect.DeepEqual(from.Bundle.Operators, to.Bundle.Operators) {
		u.Operators = to.Bundle.Operators
	}
	return u
}

// Apply returns the bundle that results from the update. The result shares its unchanged parts with the present bundle,
// which isn't modified.
func (u *Update) Apply(at Accepted) (Accepted, error) {
	b := &Bundle{Services: u.Services, Routes: u.Routes, Operators: u.Operators}
	if u.From != 0 {
		if u.From != at.Version {
			return Accepted{}, eris.Wrapf(ErrUpdateMismatch, "starts from version %d, not %d", u.From, at.Version)
		}
		b.Services = patch(at.Bundle.Services, u.Services, u.GoneServices, (*Service).key)
		b.Routes = patch(at.Bundle.Routes, u.Routes, u.GoneRoutes, (*Route).key)
		if u.Operators == nil {
			b.Operators = at.Bundle.Operators
		}
	}
	if b.Digest() != u.Digest {
		return Accepted{}, eris.Wrapf(ErrUpdateMismatch, "result differs from the sender's version %d", u.To)
	}
	for i := range b.Services {
		b.Services[i].fillDefaults()
	}
	f := newFindings()
	b.checkParts(f) // The platform may accept a bundle without services, which ends all flows.
	return Accepted{Version: u.To, Bundle: b}, f.Err()
}

// Then returns the update that has the effect of u followed by next.
func (u *Update) Then(next *Update) *Update {
	out := &Update{From: u.From, To: next.To, Digest: next.Digest, Operators: next.Operators}
	out.Services, out.GoneServices = join(u.Services, u.GoneServices, next.Services, next.GoneServices, (*Service).key)
	out.Routes, out.GoneRoutes = join(u.Routes, u.GoneRoutes, next.Routes, next.GoneRoutes, (*Route).key)
	if out.Operators == nil {
		out.Operators = u.Operators
	}
	return out
}

// Size returns how many services and routes the update adds, changes or removes.
func (u *Update) Size() int {
	return len(u.Services) + len(u.Routes) + len(u.GoneServices) + len(u.GoneRoutes)
}

// diff returns the items that were added or changed, and the keys of those that were removed.
func diff[T any, K comparable](from, to []T, key func(*T) K, equal func(a, b *T) bool) (changed []T, removed []K) {
	before := make(map[K]*T, len(from))
	for i := range from {
		before[key(&from[i])] = &from[i]
	}
	for i := range to {
		k := key(&to[i])
		if old := before[k]; old == nil || !equal(old, &to[i]) {
			changed = append(changed, to[i])
		}
		delete(before, k)
	}
	for i := range from {
		if k := key(&from[i]); before[k] != nil {
			removed = append(removed, k)
		}
	}
	return changed, removed
}

// patch returns the items that were neither removed nor changed, followed by the changed ones.
func patch[T any, K comparable](items, changed []T, removed []K, key func(*T) K) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return items
	}
	drop := make(map[K]struct{}, len(changed)+len(removed))
	for _, k := range removed {
		drop[k] = struct{}{}
	}
	for i := range changed {
		drop[key(&changed[i])] = struct{}{}
	}
	out := make([]T, 0, len(items)+len(changed))
	for i := range items {
		if _, ok := drop[key(&items[i])]; !ok {
			out = append(out, items[i])
		}
	}
	return append(out, changed...)
}

// join combines two consecutive changes of a list into one.
func join[T any, K comparable](changed []T, removed []K, nextChanged []T, nextRemoved []K, key func(*T) K) ([]T, []K) {
	readded := make(map[K]struct{}, len(nextChanged))
	for i := range nextChanged {
		readded[key(&nextChanged[i])] = struct{}{}
	}
	var stillRemoved []K
	for _, k := range removed {
		if _, ok := readded[k]; !ok {
			stillRemoved = append(stillRemoved, k)
		}
	}
	return patch(changed, nextChanged, nextRemoved, key), append(stillRemoved, nextRemoved...)
}

func (s *Service) key() string { return s.Name }

func (s *Service) equal(o *Service) bool { return reflect.DeepEqual(s, o) }

func (r *Route) key() netip.AddrPort { return r.Address }

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Idempotent == o.Idempotent && r.Deadline == o.Deadline &&
		r.Objective == o.Objective && r.Priority == o.Priority && slices.Equal(r.Targets, o.Targets) &&
		slices.Equal(r.Regions, o.Regions)
}

// Digest returns a sum over the routes, services and operators, whatever their order. Bundles with the same digest have the
// same ones.
func (b *Bundle) Digest() uint64 {
	var sum uint64
	var buf []byte
	for i := range b.Routes {
		buf = b.Routes[i].appendTo(buf[:0])
		sum += xxhash.Sum64(buf)
	}
	for i := range b.Services {
		sum += digestOf(&b.Services[i])
	}
	for i := range b.Operators {
		sum += digestOf(&b.Operators[i])
	}
	return sum
}

// digestOf returns the digest of the JSON form of v. It is for services and operators, of which a bundle has few: encoding
// them is slow.
func digestOf(v any) uint64 {
	src, err := json.Marshal(v)
	if err != nil {
		panic(err) // Services and operators always encode.
	}
	return xxhash.Sum64(src)
}

// appendTo appends all fields of the route to b. No two different routes give the same bytes.
func (r *Route) appendTo(b []byte) []byte {
	text := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	text(r.Name)
	text(r.Address.String())
	idempotent := byte(0)
	if r.Idempotent {
		idempotent = 1
	}
	b = append(b, idempotent)
	for _, n := range []int64{int64(r.Deadline), int64(r.Objective), int64(r.Priority)} {
		b = binary.AppendVarint(b, n)
	}
	for _, t := range r.Targets {
		text(t.Service)
		b = binary.AppendVarint(b, int64(t.Weight))
	}
	if len(r.Regions) > 0 {
		b = binary.AppendUvarint(b, uint64(len(r.Regions)))
		for _, region := range r.Regions {
			text(string(region))
		}
	}
	return b
}
