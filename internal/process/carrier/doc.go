// Package carrier runs a balancer that carries flows by cookie: its sockets, what
// it follows in the platform's store, what it tells and hears from the other
// daemons of its zone, its probes, logs and metrics. The decisions are in
// packages cookie, registry and peer.
//
// Locks: bundle.InForce, then Carrier.mu, which guards engine, catalog and reading,
// then members.mu. Nothing is sent while one of the last two is held, and lines are written only of what
// changes rarely: evacuations, upstreams that start again, returns of the store.
package carrier
