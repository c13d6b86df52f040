// Package cookie forwards flows whose packets have a field that both ends repeat. A balancer writes
// a cookie, which names an upstream, into that field of a flow's first packet. From then on any
// balancer can tell the upstream of any packet of the flow, without a flow record, an owner of the
// flow or an extra hop. The flow records that a balancer keeps are soft state: they improve its
// choices and are rebuilt from packets, and no correct decision depends on them.
//
// Terms:
//
//	balancer      the process that this package runs in; packages peer and cookiedaemon call it a
//	              daemon, or a member when they mean one of several
//	caller        the client that opens a flow
//	upstream      a server process that flows are forwarded to
//	flow          one connection of a caller to the address of a service, identified by a Key
//	route         the rule of the routing table by which flows to an address are placed
//	placing       choosing the upstream of a new flow, by its first packet
//	request       data that a caller sends on a flow until the first acknowledgement of its answer
//	registration  what an upstream reports of itself in the platform's store, see package registry
//	sign of life  a caller acknowledged data that only the upstream can have sent
//	seen          an upstream is seen when it shows a sign of life, a zone when one of its upstreams
//	              does so or answers a probe
//	suspect       an upstream that left packets unanswered and is probed, or a zone of which a first
//	              packet went unanswered while none of its upstreams was seen; it gets new flows
//	              only if there is no better choice
//	ejected       an upstream that for a while gets new flows only if there is no better choice, since
//	              too many requests fail there
//	usable        registered, not draining and in good health, see Upstream.usable
//	pool          the registered upstreams of one service in one zone; a new flow is placed by a few
//	              samples of the usable ones, see search
//	report        what balancers of a zone send each other of their counts, see peer.Report
//
// The package only decides; it has no sockets, goroutines or clock. An Engine isn't safe for
// concurrent use: its user must lock it.
package cookie
