package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientHost is one client address; its users share the port that clients receive at.
type clientHost struct {
	w    *world
	zone string
	ip   netip.Addr
	udp  *net.UDPConn
	mu   sync.Mutex
	port uint16
	in   map[uint16]chan packet
}

func (w *world) startClientHost(zone string, ip netip.Addr) (*clientHost, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.ports.data)))
	if err != nil {
		return nil, err
	}
	c := &clientHost{w: w, zone: zone, ip: ip, udp: udp, port: 40000, in: map[uint16]chan packet{}}
	go c.read()
	return c, nil
}

func (c *clientHost) read() {
	buf := make([]byte, 4096)
	for {
		n, err := c.udp.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		own := p.flags&flagRST != 0 && p.sum == 0 && len(p.data) == 0
		if !own && !validSum(buf[:n]) {
			c.w.violation("MIXED", "client %v got a packet that its sender didn't write so", p.dst)
			continue
		}
		c.mu.Lock()
		in := c.in[p.dst.Port()]
		c.mu.Unlock()
		if in != nil {
			select {
			case in <- p:
			default:
			}
		}
	}
}

// flow is the client's side of a flow.
type flow struct {
	c          *clientHost
	src, dst   netip.AddrPort
	in         chan packet
	seq, ack   uint32
	echo       uint32
	open       bool
	unackedIn  int
	data       []byte
	peerClosed bool
	early      map[uint32]packet
	why        string
}

func (c *clientHost) newFlow(dst netip.AddrPort) *flow {
	c.mu.Lock()
	c.port++
	port := c.port
	c.mu.Unlock()
	return c.flowFrom(port, dst)
}

// flowFrom returns a flow from a port that no other flow uses.
func (c *clientHost) flowFrom(port uint16, dst netip.AddrPort) *flow {
	f := &flow{
		c: c, src: netip.AddrPortFrom(c.ip, port), dst: dst, in: make(chan packet, 256), seq: rand.Uint32(),
		early: map[uint32]packet{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in[port] = f.in
	return f
}

func (f *flow) release() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.in, f.src.Port())
}

func (f *flow) send(p packet) {
	p.src, p.dst, p.echo = f.src, f.dst, f.echo
	if p.flags == flagSYN {
		p.echo = 0
	}
	if f.c.w.lose() {
		return
	}
	at, ok := f.c.w.router.pick(f.c.zone, f.src, f.dst)
	if ok {
		f.c.udp.WriteToUDPAddrPort(p.encode(true), at)
	}
}

// connect opens the flow. It returns false if it was reset or not answered in time.
func (f *flow) connect() bool {
	began := time.Now()
	for n, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{seq: f.seq, ack: uint32(n), flags: flagSYN})
		for {
			p, ok := f.next(until - time.Since(began))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				f.why = "reset while opening"
				return false
			}
			f.echo = p.echo
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.seq+1 {
				f.seq++
				f.ack, f.open = p.seq+1, true
				f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
				return true
			}
		}
	}
	f.why = "not opened in time"
	return false
}

func (f *flow) next(wait time.Duration) (packet, bool) {
	if wait <= 0 {
		select {
		case p := <-f.in:
			return p, true
		default:
			return packet{}, false
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case p := <-f.in:
		return p, true
	case <-t.C:
		return packet{}, false
	}
}

// handle handles a packet on the open flow. It returns false if the flow ended.
func (f *flow) handle(p *packet) bool {
	if p.flags&flagRST != 0 {
		if !near(p.seq, f.ack) {
			return true
		}
		f.c.w.flows.reset(f.src, p.sum == 0)
		f.open, f.why = false, "reset"
		return false
	}
	f.echo = p.echo
	if p.flags&flagSYN != 0 {
		f.c.w.logf("client %v got another answer to its opening packet, echo %x", f.src, p.echo)
		return true // The answer of another backend, or a late copy.
	}
	if p.seq != f.ack {
		if int32(p.seq-f.ack) > 0 {
			f.early[p.seq] = *p
		}
		if len(p.data) > 0 || p.flags&flagFIN != 0 {
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
		}
		return true
	}
	f.take(p)
	filled := false
	for {
		q, ok := f.early[f.ack]
		if !ok {
			break
		}
		delete(f.early, f.ack)
		f.take(&q)
		filled = true
	}
	if filled || f.peerClosed || f.unackedIn >= 2 {
		f.unackedIn = 0
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
	}
	return true
}

// take takes the next packet in order.
func (f *flow) take(p *packet) {
	if len(p.data) > 0 {
		f.ack += uint32(len(p.data))
		f.data = append(f.data, p.data...)
		f.unackedIn++
	}
	if p.flags&flagFIN != 0 {
		f.ack++
		f.peerClosed = true
	}
}

// pause waits between two requests and handles what arrives meanwhile.
func (f *flow) pause(d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		left := time.Until(until)
		if left <= 0 {
			return f.open && !f.peerClosed
		}
		p, ok := f.next(left)
		if ok && !f.handle(&p) {
			return false
		}
		if f.peerClosed {
			return false
		}
	}
}

// exchange sends a request and returns the status of its answer, 0 if there is none.
func (f *flow) exchange(id string, budget time.Duration) int {
	req := []byte("POST /r HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	p := packet{seq: f.seq, flags: flagACK, data: req}
	f.seq += uint32(len(req))
	f.data = nil
	began, wait := time.Now(), firstRetransmit
	for f.open && time.Since(began) < budget {
		p.ack = f.ack
		f.send(p)
		again := time.Now().Add(wait)
		for time.Now().Before(again) && time.Since(began) < budget {
			in, ok := f.next(min(time.Until(again), budget-time.Since(began)))
			if !ok {
				continue
			}
			acked := int32(in.ack-f.seq) >= 0 && in.flags&flagRST == 0
			if !f.handle(&in) {
				return 0
			}
			if status, done := f.answer(id); done {
				return status
			}
			if acked {
				again = began.Add(budget)
			}
		}
		wait = min(2*wait, lastRetransmit)
	}
	f.why = "no answer in time"
	return 0
}

// answer returns the status of a whole answer.
func (f *flow) answer(id string) (int, bool) {
	i := bytes.Index(f.data, []byte("\r\n\r\n"))
	if i < 0 {
		return 0, false
	}
	head := string(f.data[:i])
	_, rest, _ := strings.Cut(head, "Content-Length: ")
	text, _, _ := strings.Cut(rest, "\r\n")
	n, _ := strconv.Atoi(text)
	if len(f.data) < i+4+n {
		return 0, false
	}
	if !strings.Contains(head, "Request-Id: "+id+"\r\n") {
		f.c.w.violation("MIXED", "client %v got the answer of another request", f.src)
	}
	status, _ := strconv.Atoi(head[9:12])
	f.unackedIn = 0
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
	return status, true
}

// close closes the flow.
func (f *flow) close() {
	if !f.open {
		return
	}
	fin := packet{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN}
	f.seq++
	f.c.w.flows.closed(f.src)
	wait := firstRetransmit
	for range 4 {
		f.send(fin)
		until := time.Now().Add(wait)
		for time.Now().Before(until) {
			p, ok := f.next(time.Until(until))
			if ok && p.flags&flagRST != 0 {
				return
			}
			if ok && f.handle(&p) && f.peerClosed {
				return
			}
		}
		wait *= 2
	}
}

// user keeps flows open for some requests each, with pauses.
func (c *clientHost) user(stop <-chan struct{}, route func() netip.AddrPort, o userOptions) {
	time.Sleep(time.Duration(rand.Int64N(int64(o.spread))))
	for {
		select {
		case <-stop:
			return
		default:
		}
		f := c.newFlow(route())
		if !f.connect() {
			c.w.count("flows not opened: " + f.why)
			f.release()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.w.count("flows opened")
		n := 2 + rand.IntN(2*o.requests-1)
		for i := 0; i < n && f.open && !f.peerClosed; i++ {
			select {
			case <-stop:
				n = 0
				continue
			default:
			}
			id := fmt.Sprintf("%016x", rand.Uint64())
			c.w.sent(id)
			status := f.exchange(id, o.budget)
			c.w.answered(id, f, status)
			if status == 0 {
				break
			}
			if !f.pause(o.pause*4/5 + time.Duration(rand.Int64N(int64(o.pause)*2/5))) {
				break
			}
		}
		if f.open && f.why == "no answer in time" {
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagRST | flagACK})
			c.w.flows.closed(f.src)
		} else {
			f.close()
		}
		f.release()
	}
}

type userOptions struct {
	requests int
	pause    time.Duration
	budget   time.Duration
	// spread is the time over which users start.
	spread time.Duration
}
