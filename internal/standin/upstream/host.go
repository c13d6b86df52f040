// Package upstream stands in for an upstream host. It consists of the host's kernel, which decapsulates
// Geneve packets and sends answers back through a random balancer, as the fabric does, and a real CoAP server
// behind it.
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

// bufferBytes is the size of a receive buffer, larger than any UDP datagram.
const bufferBytes = 65536

// host forwards between Geneve and a server on loopback. It has one socket per flow towards the server, so that the
// server sees each flow as a separate client.
type host struct {
	vni      bundle.VNI
	services map[netip.AddrPort]bool
	spray    *fabric.Spray
	geneve   *net.UDPConn
	server   netip.AddrPort

	mu    sync.Mutex
	flows map[flow]*net.UDPConn
	// misdirected counts packets that can't be decoded or have another VNI or service address.
	misdirected int
	wg          sync.WaitGroup
}

// flow is the address pair that identifies a flow.
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
	h.wg.Go(h.forwardRequests)
	return h, h.close, nil
}

// close closes all sockets and waits until the forwarding goroutines have ended.
func (h *host) close() {
	_ = h.geneve.Close()
	h.mu.Lock()
	for _, c := range h.flows {
		_ = c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// forwardRequests forwards packets from balancers to the server, each from the socket of its flow.
func (h *host) forwardRequests() {
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
			h.misdirected++
			h.mu.Unlock()
			continue
		}
		if c := h.connFor(flow{caller: p.Src, service: p.Dst}); c != nil {
			_, _ = c.Write(p.Payload)
		}
	}
}

// connFor returns the socket of a flow, opening it if needed. It returns nil if no socket can be opened.
func (h *host) connFor(f flow) *net.UDPConn {
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
	h.wg.Go(func() { h.forwardResponses(f, c) })
	return c
}

// forwardResponses encapsulates what the server sends to one flow and sends it to a random balancer.
func (h *host) forwardResponses(f flow, c *net.UDPConn) {
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
