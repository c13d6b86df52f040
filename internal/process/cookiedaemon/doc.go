// Package cookiedaemon runs a balancer that forwards flows by cookie: its sockets, how it follows the
// platform's store, what it sends to and receives from the other daemons of its zone, its probes,
// logs and metrics. The decisions themselves are made in packages cookie, registry and peer.
//
// Other packages explain most terms: package cookie a flow, caller and upstream, package registry an
// entry and its incarnations, package objects a position and an epoch of the store, package peer a
// member, store reader, zone reader, advertisement, catalog and report. Also:
//
//	seeds      the hosts in the settings that a daemon contacts to find the others
//	contacts   members that the first store reader writes to the store, for daemons whose seeds are
//	           out of date
//	kind       a kind of the store's objects: bundles, registrations or evacuations
//	confirmed  a kind is confirmed as of a time if the store's answer then, received directly or from
//	           another daemon, shows that this daemon holds it as a whole
//	held       content that stays in use after the store was restored from a snapshot, although the
//	           store lacks it or has an older one
//	ready      the daemon can place flows and, as far as routers are told, isn't leaving
//	relay      to send on a message that another daemon wrote
//	pull       to fetch a catalog from another daemon in the background
//
// Files:
//
//	daemon.go                    the daemon: its parts, when it is ready, how it leaves (departure.go)
//	data.go, log.go              callers' packets, and the log lines that explain decisions on them
//	start.go                     how a starting daemon obtains the state that it needs to place flows
//	follower.go                  follows one kind of the store's objects: lists, watches, errors
//	storestate.go                what the daemon holds of the store's content, as of which position and time
//	epoch.go                     answers of an earlier epoch or position; held entries after a restore of the store
//	store.go, bundle.go,         applying upstreams, bundles and evacuated zones, from the store or another daemon
//	evacuation.go
//	members.go, memberlist.go,   membership of the other daemons: messages, lists, log lines
//	memberlog.go
//	admission.go                 fetching the state of admission control at the start
//	advertisement.go, catalog.go advertising the store's content; fetching what advertisements don't cover
//	loads.go, relay.go           load reports of the zone, relayed by its members
//	probe.go                     health probes of suspected upstreams
//	contacts.go                  the object in the store by which daemons find each other
//	http.go, status.go           readiness, metrics, status
//
// Lock order: bundle.InForce, then Daemon.mu, which guards the engine, the catalog and the reader
// election, then members.mu. Nothing is sent while one of the last two is held, and log lines are
// written under them only for rare changes: evacuations, restarted upstreams, restores of the
// store.
package cookiedaemon
