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

// Config describes a stand-in fabric.
type Config struct {
	// Address takes answers from balancers.
	Address netip.AddrPort
	// Services are the addresses that callers send to, with their VNI.
	Services []Service
	// Delay is the time to and from callers, one way.
	Delay time.Duration
}

// Service is an address of a service.
type Service struct {
	VNI     bundle.VNI
	Address netip.AddrPort
}

// Fabric is a running stand-in.
type Fabric struct {
	Spray    Spray
	cfg      Config
	out      *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn
}

const bufferBytes = 65536

// New opens the sockets and starts carrying packets.
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
	wg.Go(f.fromBalancers)
	for _, s := range cfg.Services {
		wg.Go(func() { f.fromCallers(s, f.services[s.Address]) })
	}
	return f, cleanup, nil
}

func (f *Fabric) fromCallers(s Service, c *net.UDPConn) {
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
		f.after(func() {
			if to, ok := f.Spray.Pick(); ok {
				_, _ = f.out.WriteToUDPAddrPort(b, to)
			}
		})
	}
}

func (f *Fabric) fromBalancers() {
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
		f.after(func() { _, _ = c.WriteToUDPAddrPort(payload, to) })
	}
}

func (f *Fabric) after(do func()) {
	if f.cfg.Delay == 0 {
		do()
		return
	}
	time.AfterFunc(f.cfg.Delay, do)
}
