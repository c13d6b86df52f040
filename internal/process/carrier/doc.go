// Package carrier runs a balancer that carries flows by cookie: its sockets, what
// it follows in the platform's store, what it tells and hears from the other
// daemons of its zone, its probes, logs and metrics. The decisions are in
// packages cookie, registry and peer.
//
// Where to look:
//
//	carrier.go                   the daemon: its parts, when it is ready, how it leaves (departure.go)
//	data.go, log.go              callers' packets, and the lines that explain what was done with them
//	start.go                     how it comes to know enough to place flows
//	follower.go                  reading one kind of the store's objects: lists, watches, what fails
//	knowledge.go                 what is known of the store, as of which position and when
//	history.go                   words of an earlier epoch or position, and what is held when the store was restored
//	store.go, bundle.go,         taking in upstreams, bundles and evacuated zones, whoever told them
//	evacuation.go
//	members.go, memberlog.go     who the other daemons are
//	news.go, catalog.go          telling them what the store says, and asking for what news don't lead to
//	loads.go, relay.go           flows and requests of the zone, passed on by its members
//	probe.go                     looking whether an upstream lives
//	contacts.go                  the object in the store by which daemons find each other
//	http.go, status.go           readiness, metrics, status
//
// Locks: bundle.InForce, then Carrier.mu, which guards engine, catalog and reading,
// then members.mu. Nothing is sent while one of the last two is held, and lines are written only of what
// changes rarely: evacuations, upstreams that start again, restores of the store.
package carrier
