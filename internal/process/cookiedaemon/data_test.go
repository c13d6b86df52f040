package cookiedaemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/metadata"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/process/timer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// firstPackets is a codec by which every datagram is a first packet.
type firstPackets struct{ cookie.Codec }

func (firstPackets) Headroom() int { return 0 }

func (firstPackets) Decode(_ []byte, p *cookie.Packet) error {
	p.Flags = cookie.FlagSYN
	return nil
}

var _ = Describe("A daemon that has received no packet yet", func() {
	// A host is ready, but no packet has arrived. Its process is paused for seconds while first
	// packets wait in its socket, and their callers open the flows through other hosts. Guards
	// against forwarding the waiting packets afterwards: second upstreams answer and the flows
	// break.
	It("drops first packets that waited while its process was paused", func() {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		Expect(err).NotTo(HaveOccurred())
		now := time.Now()
		c := &Daemon{
			engine:   cookie.NewEngine(cookie.Options{Zone: "a", Policy: upstream.NewZoneAware("a", upstream.DefaultChoices)}),
			start:    newStartup(now, false),
			pauses:   timer.NewPauseDetector(pauseLimit),
			logs:     newDecisionLog(1),
			platform: metadata.Platform{Packets: firstPackets{}},
		}
		c.cfg.Store(&settings.Cookie{})
		c.engine.SetRouting(bundle.NewRouting(1, &bundle.Bundle{}, nil), now)
		c.engine.ConfirmRegistrations(now)
		c.state.confirm(kindEvacuations, now)
		c.signalIfReady()
		c.data = &data{daemon: c, conn: udp}
		c.data.wg.Go(func() { c.data.run(context.Background()) })
		DeferCleanup(func() {
			_ = udp.Close()
			c.data.wg.Wait()
		})
		// Nothing records that the process runs meanwhile, so it counts as paused.
		time.Sleep(pauseLimit + 100*time.Millisecond)
		from, err := net.Dial("udp4", udp.LocalAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = from.Close() }()
		_, err = from.Write([]byte{1})
		Expect(err).NotTo(HaveOccurred())
		stale := func() uint64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.engine.Counters.Dropped[cookie.CauseStaleOpen]
		}
		Eventually(stale, 30*time.Second).Should(BeNumerically("==", 1))
	})
})
