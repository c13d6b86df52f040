package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// bundleOf makes a bundle of so many services, each with addresses and upstreams.
func bundleOf(services, addresses, upstreams int) *bundle.Bundle {
	b := &bundle.Bundle{}
	n := 0
	for i := range services {
		s := bundle.Service{
			Name: fmt.Sprint("service-", i), Team: "team", VNI: bundle.VNI(i + 1), Protocol: bundle.ProtocolCoAP,
			IdleTimeout: bundle.DefaultIdleTimeout, Deadline: bundle.DefaultDeadline,
		}
		for a := range addresses {
			s.Addresses = append(s.Addresses, serviceAddress(i*addresses+a))
		}
		for range upstreams {
			n++
			s.Upstreams = append(s.Upstreams, bundle.Upstream{
				Name: fmt.Sprint("upstream-", n), Zone: bundle.Zone(fmt.Sprint(n % upstreamZone)),
				Slots: 3, Connections: 2000,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{20, byte(n >> 16), byte(n >> 8), byte(n)}), 6081),
			})
		}
		b.Services = append(b.Services, s)
	}
	return b
}

func serviceAddress(i int) netip.AddrPort {
	if i == 0 {
		return serviceAt
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{30, byte(i >> 16), byte(i >> 8), byte(i)}), serviceAt.Port())
}

func encode(b *bundle.Bundle) []byte {
	src, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		panic(err) // Bundles always encode.
	}
	return src
}
