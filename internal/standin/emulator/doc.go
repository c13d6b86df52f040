// Package emulator plays patterns of load in virtual time, without sockets or a wall clock:
// callers with their copies, retries and deadlines, routers, hosts, and upstreams with slots
// and queues. The decisions are the product's own: each emulated host has a real
// cookie.Engine, registry.Catalog and policy. One seed always gives the same result.
//
// What it leaves out: the bytes of answers and their windows, loss of datagrams, and how a
// daemon reads the store; a change of the list reaches each host after a delay that the
// pattern gives.
package emulator
