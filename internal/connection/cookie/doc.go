// Package cookie carries flows whose packets hold a field that both ends repeat.
// A balancer writes a cookie there on the first packet of a flow; from then on
// any balancer knows the upstream of any packet without a record, a home or an
// extra hop. What a balancer remembers of flows is soft: it makes choices better
// and is rebuilt from packets, and no right answer depends on it.
//
// The package decides; it has no socket, goroutine or clock. An Engine isn't safe
// for concurrent use: its owner locks it.
package cookie
