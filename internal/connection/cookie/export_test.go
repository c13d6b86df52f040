package cookie

import (
	"fmt"

	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Registration returns the latest usable registration of the upstream.
func (u *Upstream) Registration() registry.Registration { return u.registration }

// Looks returns how many upstreams were looked at to place flows.
func (e *Engine) Looks() uint64 { return e.search.looks }

// InDoubt returns the number of upstreams that are looked at for each check of due probes.
func (e *Engine) InDoubt() int { return len(e.index.inDoubt.list) }

// Active returns the number of upstreams that are looked at for each report.
func (e *Engine) Active() int { return len(e.index.active.list) }

// CheckIndex returns an error if the sets or sums of the index differ from what a walk over all
// upstreams gives.
func (e *Engine) CheckIndex() error {
	slots, flows := make(map[*pool]int64), make(map[*pool]int64)
	for id, u := range e.upstreams {
		for _, s := range []struct {
			kind setKind
			want bool
		}{
			{setRegistered, u.registered},
			{setUsable, u.usable()},
			{setInDoubt, u.inDoubt()},
			{setWithFlows, u.flowRecords > 0},
			{setDeregistered, !u.registered},
			{setMismatched, u.mismatched != nil},
		} {
			if u.has(s.kind) != s.want {
				return fmt.Errorf("upstream %x: in set %d is %v, want %v", id, s.kind, u.has(s.kind), s.want)
			}
		}
		if counted := u.load.Flows.Load() > 0 || u.outcomes != (outcomes{}); counted && !u.has(setActive) {
			return fmt.Errorf("upstream %x has counts and isn't active", id)
		}
		if u.usable() {
			slots[u.pool] += int64(u.Route.Slots)
			flows[u.pool] += u.load.Total()
		}
	}
	for name, pools := range e.index.pools {
		for _, p := range pools {
			if p.slots != slots[p] || p.flows != flows[p] {
				return fmt.Errorf("pool %s in %s: %d slots, %d flows, want %d, %d", name, p.zone, p.slots, p.flows, slots[p], flows[p])
			}
		}
	}
	return nil
}
