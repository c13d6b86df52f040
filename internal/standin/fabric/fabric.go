package fabric

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Config holds the settings of a stand-in fabric.
type Config struct {
	// Address is where the fabric receives answers from balancers.
	Address netip.AddrPort
	// Services are the addresses that callers send to, with their VNIs.
	Services []Service
	// Delay is the one-way network delay between callers and balancers.
	Delay time.Duration
}

// Service is one address of a service.
type Service struct {
	VNI     bundle.VNI
	Address netip.AddrPort
}

// Fabric is a running stand-in fabric.
type Fabric struct {
	Spray    Spray
	cfg      Config
	out      *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn
}

// bufferBytes is the size of a receive buffer, larger than any UDP datagram.
const bufferBytes = 65536

// New opens the sockets and starts to forward packets. The clean-up function closes the sockets and waits until
// forwarding has ended.
func New(cfg Config) (*Fabric, func(), error) {
	f := &Fabric{cfg: cfg, services: make(map[netip.AddrPort]*net.UDPConn)}
	var wg sync.WaitGroup
	cleanup := func() {
		if f.out != nil {
			_ = f.out.Close()
		}
		for _, c := range f.services {
			_ = c.Close()
		}
		wg.Wait()
	}
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in fabric")
	}
	f.out = out
	for _, s := range cfg.Services {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
		if err != nil {
			cleanup()
			return nil, nil, eris.Wrap(err, "stand-in fabric")
		}
		f.services[s.Address] = c
	}
	wg.Go(f.forwardResponses)
	for _, s := range cfg.Services {
		wg.Go(func() { f.forwardRequests(s, f.services[s.Address]) })
	}
	return f, cleanup, nil
}

// forwardRequests encapsulates what callers send to a service and sends each packet to a random balancer.
func (f *Fabric) forwardRequests(s Service, c *net.UDPConn) {
	buf := make([]byte, bufferBytes)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		inner, err := ip.BuildUDP(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), s.Address, buf[:n])
		if err != nil {
			continue
		}
		h := geneve.Header{VNI: s.VNI, EtherType: geneve.EtherTypeIPv4}
		b := geneve.Append(nil, &h, nil, inner)
		f.delay(func() {
			if to, ok := f.Spray.Pick(); ok {
				_, _ = f.out.WriteToUDPAddrPort(b, to)
			}
		})
	}
}

// forwardResponses decapsulates what balancers send and forwards it to callers, from the address of the service.
func (f *Fabric) forwardResponses() {
	buf := make([]byte, bufferBytes)
	var h geneve.Header
	var d ip.Decoder
	var p ip.Packet
	for {
		n, _, err := f.out.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		inner, err := geneve.Decode(buf[:n], &h)
		if err != nil || d.Decode(inner, &p) != nil {
			continue
		}
		c, ok := f.services[p.Src]
		if !ok {
			continue
		}
		payload := append([]byte(nil), p.Payload...)
		to := p.Dst
		f.delay(func() { _, _ = c.WriteToUDPAddrPort(payload, to) })
	}
}

// delay runs do after the one-way delay, or immediately if there is none.
func (f *Fabric) delay(do func()) {
	if f.cfg.Delay == 0 {
		do()
		return
	}
	time.AfterFunc(f.cfg.Delay, do)
}
