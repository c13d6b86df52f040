package world

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Roll accepts the next version of the bundle. The switching route leads to the
// other service than before. It returns the version.
func (w *World) Roll() bundle.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += bundle.Version(1 + w.rng.Uint64N(maxVersionStep))
	w.lastRoute = other(w.lastRoute)
	w.accept()
	w.switches = append(w.switches, switched{at: time.Now(), service: w.lastRoute})
	return w.version
}

// RewriteBundle accepts the version in force once more, with what AddIdleRoutes has added since, as a store does
// that was restored from a copy.
func (w *World) RewriteBundle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accept()
}

// accept writes the bundle. w.mu is held.
func (w *World) accept() {
	b := &bundle.Bundle{
		Routes: []bundle.Route{
			route("feed", feedAt, ServiceFeed), route("sheets", sheetsAt, ServiceSheets), route("switch", switchAt, w.lastRoute),
		},
	}
	for i := range w.idleRoutes {
		at := netip.AddrFrom4([4]byte{198, idleNet, byte(i >> 8), byte(i)})
		b.Routes = append(b.Routes, route(w.idleName(i), netip.AddrPortFrom(at, idlePort), ServiceSheets))
	}
	for _, name := range []string{ServiceFeed, ServiceSheets} {
		b.Services = append(b.Services, bundle.Service{
			Name: name, Registered: true, HealthPath: "/healthz", Connections: connections,
			IdleTimeout: bundle.Duration(idleTimeout),
		})
	}
	w.Store.PutBundle(w.version, b)
}

// unlikeBytes is how many bytes of a name don't compress.
const unlikeBytes = 80

// idleName returns the name of a route that no caller uses, the same in each version.
func (w *World) idleName(i int) string {
	name := fmt.Sprint("idle-", i)
	if !w.opts.IncompressibleRoutes {
		return name
	}
	random := make([]byte, unlikeBytes)
	rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(i)))
	for j := range random {
		random[j] = byte(rng.Uint32())
	}
	return name + "-" + hex.EncodeToString(random)
}

// AddIdleRoutes adds routes that no caller uses to the next versions of the bundle, or takes some away. It
// returns how many there are then.
func (w *World) AddIdleRoutes(routes int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idleRoutes += routes
	return w.idleRoutes
}

func route(name string, at netip.AddrPort, service string) bundle.Route {
	return bundle.Route{
		Name: name, Address: at, Targets: []bundle.Target{{Service: service, Weight: 1}},
		Deadline: bundle.Duration(callerDeadline),
	}
}
