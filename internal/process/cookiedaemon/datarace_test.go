package cookiedaemon

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/metadata"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

var raceServiceAt = netip.MustParseAddrPort("198.18.0.1:443")

// openingPackets is a codec by which every datagram opens a flow of its own.
type openingPackets struct {
	cookie.Codec
	next uint16
}

func (*openingPackets) Headroom() int { return 0 }

func (o *openingPackets) Decode(_ []byte, p *cookie.Packet) error {
	o.next++
	p.Flags = cookie.FlagSYN
	p.Key = cookie.Key{CallerPort: o.next, ServiceIP: raceServiceAt.Addr().As4(), ServicePort: raceServiceAt.Port()}
	return nil
}

func (*openingPackets) Forward([]byte, bundle.UpstreamID, cookie.Cookie) {}

// routingWithConnections returns a version whose service takes a number of connections.
func routingWithConnections(g Gomega, v bundle.Version, connections int) *bundle.Routing {
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: "feed", Registered: true, Connections: connections}},
		Routes: []bundle.Route{{
			Name: "feed", Address: raceServiceAt, Targets: []bundle.Target{{Service: "feed", Weight: 1}},
		}},
	}
	g.Expect(b.Check()).To(Succeed())
	return bundle.NewRouting(v, b, nil)
}

// Guards against a data race between the log line about a packet and a new version of the bundle,
// which replaces the routes of upstreams. The race detector reports it.
func TestPacketsAndNewVersionsDoNotRace(t *testing.T) {
	g := NewWithT(t)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = udp.Close() })
	now := time.Now()
	d := &Daemon{
		engine:   cookie.NewEngine(cookie.Options{Zone: "a", Policy: upstream.NewZoneAware("a", upstream.DefaultChoices)}),
		start:    newStartup(now, false),
		logs:     newDecisionLog(1 << 20),
		platform: metadata.Platform{Packets: &openingPackets{}},
		state:    storeState{catalog: registry.NewCatalog()},
	}
	d.cfg.Store(&settings.Cookie{})
	d.data = &data{daemon: d, conn: udp}
	d.engine.SetRouting(routingWithConnections(g, 1, 1000), now)
	d.engine.Update([]registry.Change{{Registration: registry.Registration{
		ID: 7, Service: "feed", Zone: "a", Slots: 2, Address: udp.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}}, now)
	d.engine.ConfirmRegistrations(now)
	var wg sync.WaitGroup
	wg.Go(func() {
		for v := range 200 {
			r := routingWithConnections(g, bundle.Version(2+v), 1000+v)
			d.mu.Lock()
			d.engine.SetRouting(r, now)
			d.mu.Unlock()
		}
	})
	for range 200 {
		d.data.handle([]byte{1}, now, false)
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	g.Expect(d.engine.Flows()).To(Equal(200))
}
