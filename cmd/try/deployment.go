package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// deployment holds the sizes of one of the users' installations.
type deployment struct {
	zones    []bundle.Zone
	services []serviceSize
	// clientDelay is the one-way network delay between a caller and the fabric.
	clientDelay time.Duration
}

// serviceSize holds the sizes of one service and the load that its callers produce.
type serviceSize struct {
	name        string
	team        string
	vni         bundle.VNI
	upstreams   int
	slots       int
	callers     int
	period      time.Duration
	feed        time.Duration
	serviceTime time.Duration
}

// Load of a trial. The callers are few enough that one machine can run them beside thirty processes.
const (
	callersOfFirst     = 60
	callersOfSecond    = 12
	requestPeriod      = 600 * time.Millisecond
	feedPeriod         = 500 * time.Millisecond
	requestServiceTime = 20 * time.Millisecond
	connections        = 2000
	upstreamsOfFirst   = 14
	upstreamsOfSecond  = 4
)

func deployments() map[string]deployment {
	return map[string]deployment{
		"kandy": {
			zones:       []bundle.Zone{"colombo-1", "colombo-2", "colombo-3"},
			clientDelay: 3 * time.Millisecond,
			services:    twoServices("reminder", "statement", "kandy-labs", 2),
		},
		"pfarrbrief": {
			zones:       []bundle.Zone{"regensburg", "augsburg", "passau"},
			clientDelay: 3 * time.Millisecond,
			services:    twoServices("editing", "archive", "verbund", 3),
		},
	}
}

func twoServices(first, second, team string, slots int) []serviceSize {
	return []serviceSize{
		{
			name: first, team: team, vni: 101, upstreams: upstreamsOfFirst, slots: slots,
			callers: callersOfFirst, period: requestPeriod, feed: feedPeriod, serviceTime: requestServiceTime,
		},
		{
			name: second, team: team, vni: 102, upstreams: upstreamsOfSecond, slots: slots,
			callers: callersOfSecond, period: requestPeriod, feed: feedPeriod, serviceTime: requestServiceTime,
		},
	}
}

// Ports of a trial's addresses, which are all in 127.0.0.0/8. Each host has its own IP address, so that
// receivers can tell senders apart as on a real network.
const (
	dataPort     = 6081
	controlPort  = 6082
	adminPort    = 6083
	coapPort     = 5683
	platformPort = 7080
)

func address(net, a, b, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), byte(a), byte(b)}), uint16(port))
}

// Second bytes of the addresses, by role.
const (
	netBalancer = 101 + iota
	netUpstream
	netFabric
	netService
	netPlatform
)

func fabricAddress() netip.AddrPort   { return address(netFabric, 0, 1, dataPort) }
func platformAddress() netip.AddrPort { return address(netPlatform, 0, 1, platformPort) }

func serviceAddress(i int) netip.AddrPort { return address(netService, 0, i+1, coapPort) }

func upstreamAddress(service, n int) netip.AddrPort {
	return address(netUpstream, service+1, n+1, dataPort)
}

// bundle returns the deployment's bundle, in which no upstream drains.
func (d *deployment) bundle() *bundle.Bundle {
	var b bundle.Bundle
	for i, s := range d.services {
		svc := bundle.Service{
			Name: s.name, Team: s.team, VNI: s.vni, Protocol: bundle.ProtocolCoAP,
			Addresses: []netip.AddrPort{serviceAddress(i)},
		}
		for n := range s.upstreams {
			svc.Upstreams = append(svc.Upstreams, bundle.Upstream{
				Name:    fmt.Sprintf("%s-%d", s.name, n+1),
				Address: upstreamAddress(i, n),
				Zone:    d.zones[n%len(d.zones)],
				Slots:   s.slots, Connections: connections,
			})
		}
		b.Services = append(b.Services, svc)
	}
	return &b
}
