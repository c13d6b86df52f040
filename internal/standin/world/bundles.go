package world

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Roll writes the next version of the bundle to the store and returns that version. The switching route then leads
// to the other of the two services.
func (w *World) Roll() bundle.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += bundle.Version(1 + w.rng.Uint64N(maxVersionStep))
	w.switchService = otherService(w.switchService)
	w.writeBundle()
	w.switches = append(w.switches, routeSwitch{at: time.Now(), service: w.switchService})
	return w.version
}

// RewriteBundle writes the version in force again, with the routes that AddIdleRoutes has added or removed since. The
// content of a version changes in this way when a store is restored from a snapshot.
func (w *World) RewriteBundle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeBundle()
}

// writeBundle writes the bundle to the store. w.mu must be held.
func (w *World) writeBundle() {
	b := &bundle.Bundle{
		Routes: []bundle.Route{
			route("feed", feedAddress, ServiceFeed),
			route("sheets", sheetsAddress, ServiceSheets), route("switch", switchAddress, w.switchService),
		},
	}
	if w.opts.Admission {
		for i := range b.Routes {
			b.Routes[i].Priority = otherPriority
		}
		urgent := route("urgent", urgentAddress, ServiceFeed)
		urgent.Priority = urgentPriority
		b.Routes = append(b.Routes, urgent)
	}
	for i := range w.addedRoutes {
		b.Routes = append(b.Routes, route(fmt.Sprint("added-", i), addedAddress(i), ServiceSheets))
	}
	for i := range w.idleRoutes {
		at := netip.AddrFrom4([4]byte{198, idleNet, byte(i >> 8), byte(i)})
		b.Routes = append(b.Routes, route(w.idleRouteName(i), netip.AddrPortFrom(at, idlePort), ServiceSheets))
	}
	for _, name := range []string{ServiceFeed, ServiceSheets} {
		b.Services = append(b.Services, bundle.Service{
			Name: name, Registered: true, HealthPath: "/healthz", Connections: connections,
			IdleTimeout: bundle.Duration(idleTimeout),
		})
	}
	w.Store.PutBundle(w.version, b)
}

// incompressibleBytes is the number of random bytes in the name of an incompressible route.
const incompressibleBytes = 80

// idleRouteName returns the name of a route that no caller uses. The name is the same in each version.
func (w *World) idleRouteName(i int) string {
	name := fmt.Sprint("idle-", i)
	if !w.opts.IncompressibleRoutes {
		return name
	}
	random := make([]byte, incompressibleBytes)
	rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(i)))
	for j := range random {
		random[j] = byte(rng.Uint32())
	}
	return name + "-" + hex.EncodeToString(random)
}

// AddIdleRoutes adds the given number of routes that no caller uses to the next versions of the bundle, or removes
// some if the number is negative. It returns the new total of such routes.
func (w *World) AddIdleRoutes(routes int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idleRoutes += routes
	return w.idleRoutes
}

// AddRoute writes a version of the bundle with one more route, which callers use at once.
func (w *World) AddRoute() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addedRoutes++
	w.version++
	w.writeBundle()
}

// NewestAddress returns the address of the route that AddRoute added last, or that of the first route to the same service.
func (w *World) NewestAddress() netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addedRoutes == 0 {
		return sheetsAddress
	}
	return addedAddress(w.addedRoutes - 1)
}

// addedAddress returns the address of the ith route that AddRoute adds.
func addedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, addedNet, byte(i >> 8), byte(i)}), idlePort)
}

func route(name string, at netip.AddrPort, service string) bundle.Route {
	return bundle.Route{
		Name: name, Address: at, Targets: []bundle.Target{{Service: service, Weight: 1}},
		Deadline: bundle.Duration(callerDeadline),
	}
}
