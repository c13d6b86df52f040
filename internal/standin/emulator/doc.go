// Package emulator simulates load patterns in virtual time, without sockets or a wall clock. It
// models callers with their retransmissions, retries and deadlines, routers, hosts, and upstreams
// with slots and queues. The decisions come from the product's own code: each simulated host has
// a real cookie.Engine, registry.Catalog and placement policy. Equal seeds give equal results.
//
// Not modelled are the bytes of answers and their windows, loss of datagrams, and how a daemon
// reads the store: a changed registration reaches each host after a delay that the pattern gives.
package emulator
