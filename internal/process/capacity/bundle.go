package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// newBundle returns a bundle with the given number of services, each with the given numbers
// of addresses and upstreams.
func newBundle(services, addresses, upstreams int) *bundle.Bundle {
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
				Name: fmt.Sprint("upstream-", n), Zone: bundle.Zone(fmt.Sprint(n % zoneCount)),
				Slots: 3, Connections: 2000,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{20, byte(n >> 16), byte(n >> 8), byte(n)}), 6081),
			})
		}
		b.Services = append(b.Services, s)
	}
	return b
}

// serviceAddress returns the i-th address of a service; the first one is serviceVIP.
func serviceAddress(i int) netip.AddrPort {
	if i == 0 {
		return serviceVIP
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{30, byte(i >> 16), byte(i >> 8), byte(i)}), serviceVIP.Port())
}

func encodeBundle(b *bundle.Bundle) []byte {
	src, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		panic(err) // A bundle can always be encoded.
	}
	return src
}
