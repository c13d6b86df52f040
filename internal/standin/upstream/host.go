// Package upstream stands in for an upstream host: its kernel, which takes the
// packets out of Geneve and routes answers back through the fabric, and a real
// CoAP server behind it.
package upstream

import (
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/standin/fabric"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const bufferBytes = 65536

// host relays between Geneve and a server on loopback. The server sees each
// flow as a socket of its own.
type host struct {
	vni      bundle.VNI
	services map[netip.AddrPort]bool
	spray    *fabric.Spray
	geneve   *net.UDPConn
	server   netip.AddrPort

	mu    sync.Mutex
	flows map[flow]*net.UDPConn
	// wrong counts packets that weren't for this service.
	wrong int
	wg    sync.WaitGroup
}

type flow struct {
	caller, service netip.AddrPort
}

func newHost(cfg *Config, spray *fabric.Spray, server netip.AddrPort) (*host, func(), error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in upstream")
	}
	h := &host{
		vni:      cfg.VNI,
		services: make(map[netip.AddrPort]bool),
		spray:    spray,
		geneve:   c,
		server:   server,
		flows:    make(map[flow]*net.UDPConn),
	}
	for _, a := range cfg.Services {
		h.services[a] = true
	}
	h.wg.Go(h.fromBalancers)
	return h, h.close, nil
}

func (h *host) close() {
	_ = h.geneve.Close()
	h.mu.Lock()
	for _, c := range h.flows {
		_ = c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

func (h *host) fromBalancers() {
	buf := make([]byte, bufferBytes)
	var header geneve.Header
	var d ip.Decoder
	var p ip.Packet
	for {
		n, _, err := h.geneve.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		inner, err := geneve.Decode(buf[:n], &header)
		if err != nil || d.Decode(inner, &p) != nil || header.VNI != h.vni || !h.services[p.Dst] {
			h.mu.Lock()
			h.wrong++
			h.mu.Unlock()
			continue
		}
		if c := h.flow(flow{caller: p.Src, service: p.Dst}); c != nil {
			_, _ = c.Write(p.Payload)
		}
	}
}

func (h *host) flow(f flow) *net.UDPConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.flows[f]; ok {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(h.server))
	if err != nil {
		return nil
	}
	h.flows[f] = c
	h.wg.Go(func() { h.fromServer(f, c) })
	return c
}

func (h *host) fromServer(f flow, c *net.UDPConn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := c.Read(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		inner, err := ip.BuildUDP(f.service, f.caller, buf[:n])
		if err != nil {
			continue
		}
		header := geneve.Header{VNI: h.vni, EtherType: geneve.EtherTypeIPv4}
		if to, ok := h.spray.Pick(); ok {
			_, _ = h.geneve.WriteToUDPAddrPort(geneve.Append(nil, &header, nil, inner), to)
		}
	}
}
