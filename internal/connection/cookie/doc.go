// Package cookie forwards flows whose packets have a field that both ends repeat. A balancer writes
// a cookie, which names an upstream, into that field of a flow's first packet. From then on any
// balancer can tell the upstream of any packet of the flow, without a flow record, an owner of the
// flow or an extra hop. The flow records that a balancer keeps are soft state: they improve its
// choices and are rebuilt from packets, and no correct decision depends on them.
//
// The package only decides; it has no sockets, goroutines or clock. An Engine isn't safe for
// concurrent use: its owner must lock it.
package cookie
