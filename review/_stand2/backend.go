package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the two ends of a flow, as the pages set them.
const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	windowPackets   = 16
)

// backend is one boot of a backend.
type backend struct {
	w       *world
	id      uint64
	service string
	zone    string
	addr    netip.AddrPort
	udp     *net.UDPConn
	http    *http.Server
	slots   chan struct{}

	mu       sync.Mutex
	queued   int
	flows    map[netip.AddrPort]*backFlow
	draining bool
	ended    atomic.Bool
	sequence uint64
	work     time.Duration
	body     int
	drained  time.Time
}

// backFlow is the backend's side of a flow.
type backFlow struct {
	client, service netip.AddrPort
	open, closing   bool
	// ended is set once both ends have closed the flow.
	ended    bool
	echo     uint32
	expected uint32
	next     uint32
	in       []byte
	sent     []*sentPacket
	waiting  []packet
	unacked  int
}

type sentPacket struct {
	p     packet
	at    time.Time
	wait  time.Duration
	tries int
}

func (b *backend) name() string { return fmt.Sprintf("i-%010x", b.id) }

func (w *world) startBackend(service, zone string, ip netip.Addr, work time.Duration, body int) (*backend, error) {
	at := netip.AddrPortFrom(ip, w.ports.backend)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	b := &backend{
		w: w, id: rand.Uint64N(1<<40-1) + 1, service: service, zone: zone, addr: at, udp: udp,
		slots: make(chan struct{}, slotsEach), flows: map[netip.AddrPort]*backFlow{}, work: work, body: body,
	}
	b.http = &http.Server{Handler: http.HandlerFunc(b.health)}
	l, err := listenFull(at, b.isFull)
	if err != nil {
		udp.Close()
		return nil, err
	}
	go b.http.Serve(l)
	go b.read()
	go b.retransmit()
	go b.heartbeats()
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	return b, nil
}

const (
	slotsEach = 2
	queueEach = 8
	drainMs   = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Backend-Id", b.name())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// register writes the backend's entry.
func (b *backend) register(quiet bool) {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "concurrencyLimit": slotsEach,
		"state": state, "warmupLeftMs": 0, "sequence": b.sequence,
	}
	ended := b.isEnded()
	b.mu.Unlock()
	switch {
	case ended:
	case quiet:
		b.w.store.replaceQuietly("servers", b.name(), entry)
	default:
		b.w.store.put("servers", b.name(), entry)
	}
}

func (b *backend) heartbeats() {
	b.register(false)
	for range time.Tick(heartbeat) {
		if b.isEnded() {
			return
		}
		b.register(true)
	}
}

// isEnded takes no lock: the log of flows calls it while backends wait for that log.
func (b *backend) isEnded() bool { return b.ended.Load() }

// drain reports draining; the backend closes each flow after its next response.
func (b *backend) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.register(false)
	b.mu.Lock()
	b.drained = time.Now()
	b.mu.Unlock()
}

// end ends the boot.
func (b *backend) end() {
	b.ended.Store(true)
	b.udp.Close()
	b.http.Close()
	b.w.store.remove("servers", b.name())
}

func (b *backend) read() {
	buf := make([]byte, 4096)
	for {
		n, err := b.udp.Read(buf)
		if err != nil {
			if b.isEnded() {
				return
			}
			continue
		}
		if n < idBytes || b.w.lose() {
			continue
		}
		to := uint64(0)
		for _, x := range buf[:idBytes] {
			to = to<<8 | uint64(x)
		}
		p, ok := decode(buf[idBytes:n])
		if !ok || to != 0 && to != b.id {
			continue
		}
		if !validSum(buf[idBytes:n]) {
			b.w.violation("UNASKED", "backend %s got a packet that its sender didn't write so", b.name())
			continue
		}
		b.mu.Lock()
		b.handle(&p)
		b.mu.Unlock()
	}
}

func (b *backend) handle(p *packet) {
	f := b.flows[p.src]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		b.accept(p, f)
		return
	}
	b.w.flows.packetAt(p.src, b)
	if p.flags&flagRST != 0 {
		delete(b.flows, p.src)
		return
	}
	if f == nil || !f.open && p.ack != f.next {
		b.refuse(p)
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open = true
		f.sent = nil
		b.w.flows.opened(f.client, b)
	}
	b.acknowledged(f, p.ack)
	if len(p.data) > 0 || p.flags&flagFIN != 0 {
		b.receive(f, p)
	}
}

// accept answers the opening packet of a flow.
func (b *backend) accept(p *packet, f *backFlow) {
	if b.isEnded() || f != nil && f.open && !f.ended {
		return
	}
	if !b.drained.IsZero() && time.Since(b.drained) > drainMs {
		b.w.violation("DRAIN", "opening packet of %v reached %s %v after its drain was acknowledged", p.src, b.name(), time.Since(b.drained))
	}
	b.w.flows.offered(p.src, b)
	if f == nil && len(b.flows) >= b.w.maxConns {
		b.w.count("opening packets that a full backend left unanswered")
		return // It sends nothing if it is full.
	}
	if f == nil || f.expected != p.seq+1 {
		f = &backFlow{client: p.src, service: p.dst, expected: p.seq + 1, next: rand.Uint32()}
		b.flows[p.src] = f
		f.echo = p.echo
		b.send(f, packet{seq: f.next, ack: f.expected, flags: flagSYN | flagACK}, true)
		f.next++
		return
	}
	f.echo = p.echo
	if len(f.sent) > 0 {
		b.write(f, f.sent[0].p)
	}
}

// isFull reports whether the backend holds as many flows as it can.
func (b *backend) isFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows) >= b.w.maxConns
}

// refuse sends a reset for a packet of a flow that the backend doesn't hold.
func (b *backend) refuse(p *packet) {
	b.w.flows.refused(p.src, b)
	r := packet{seq: p.ack, ack: p.seq + uint32(len(p.data)), echo: p.echo, src: p.dst, dst: p.src, flags: flagRST | flagACK}
	b.transmit(r)
}

func (b *backend) acknowledged(f *backFlow, ack uint32) {
	for len(f.sent) > 0 {
		s := f.sent[0]
		end := s.p.seq + uint32(len(s.p.data))
		if s.p.flags&(flagFIN|flagSYN) != 0 {
			end++
		}
		if int32(ack-end) < 0 {
			break
		}
		f.sent = f.sent[1:]
	}
	for len(f.waiting) > 0 && len(f.sent) < windowPackets {
		p := f.waiting[0]
		f.waiting = f.waiting[1:]
		b.send(f, p, true)
	}
}

func (b *backend) receive(f *backFlow, p *packet) {
	if p.seq != f.expected {
		b.write(f, packet{seq: f.next, ack: f.expected, flags: flagACK})
		return
	}
	f.expected += uint32(len(p.data))
	f.in = append(f.in, p.data...)
	if p.flags&flagFIN != 0 {
		f.expected++
		if !f.closing {
			f.closing = true
			b.send(f, packet{seq: f.next, ack: f.expected, flags: flagACK | flagFIN}, true)
			f.next++
		} else {
			b.write(f, packet{seq: f.next, ack: f.expected, flags: flagACK})
		}
		f.ended = true
		b.w.flows.closed(f.client)
		time.AfterFunc(2*time.Second, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.flows[f.client] == f {
				delete(b.flows, f.client)
			}
		})
		return
	}
	for {
		i := bytes.Index(f.in, []byte("\r\n\r\n"))
		if i < 0 {
			break
		}
		head := string(f.in[:i])
		length := 0
		if _, rest, ok := strings.Cut(head, "Content-Length: "); ok {
			v, _, _ := strings.Cut(rest, "\r\n")
			length, _ = strconv.Atoi(v)
		}
		if len(f.in) < i+4+length {
			break
		}
		f.in = f.in[i+4+length:]
		id := ""
		if _, rest, ok := strings.Cut(head, "Request-Id: "); ok {
			id, _, _ = strings.Cut(rest, "\r\n")
		}
		b.queued++
		if b.queued > slotsEach+queueEach {
			b.queued--
			b.respond(f, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		go b.serve(f, id)
	}
}

func (b *backend) serve(f *backFlow, id string) {
	b.slots <- struct{}{}
	b.w.ran(id, b)
	time.Sleep(b.work/2 + time.Duration(rand.Int64N(int64(b.work)+1)))
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
	if b.isEnded() {
		return
	}
	b.respond(f, fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Signature: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		b.name(), id, b.body, strings.Repeat("x", b.body)))
	if b.draining && !f.closing {
		f.closing = true
		b.enqueue(f, packet{seq: f.next, flags: flagACK | flagFIN})
		f.next++
	}
}

func (b *backend) respond(f *backFlow, text string) {
	for len(text) > 0 {
		n := min(maxData, len(text))
		b.enqueue(f, packet{seq: f.next, flags: flagACK, data: []byte(text[:n])})
		f.next += uint32(n)
		text = text[n:]
	}
}

func (b *backend) enqueue(f *backFlow, p packet) {
	if len(f.sent) < windowPackets && len(f.waiting) == 0 {
		b.send(f, p, true)
	} else {
		f.waiting = append(f.waiting, p)
	}
}

// send sends a packet of a flow; one that is kept is retransmitted until it is acknowledged.
func (b *backend) send(f *backFlow, p packet, keep bool) {
	if keep {
		f.sent = append(f.sent, &sentPacket{p: p, at: time.Now(), wait: firstRetransmit})
	}
	b.write(f, p)
}

func (b *backend) write(f *backFlow, p packet) {
	p.src, p.dst, p.echo, p.ack = f.service, f.client, f.echo, f.expected
	b.transmit(p)
}

func (b *backend) transmit(p packet) {
	if b.w.lose() {
		return
	}
	b.udp.WriteToUDPAddrPort(p.encode(true), netip.AddrPortFrom(p.dst.Addr(), b.w.ports.data))
}

// retransmit sends again what isn't acknowledged in time, the first packet of each flow.
func (b *backend) retransmit() {
	for range time.Tick(20 * time.Millisecond) {
		b.mu.Lock()
		if b.isEnded() {
			b.mu.Unlock()
			return
		}
		now := time.Now()
		for key, f := range b.flows {
			if len(f.sent) == 0 {
				continue
			}
			s := f.sent[0]
			if now.Sub(s.at) < s.wait {
				continue
			}
			if s.tries++; s.tries > maxRetransmits {
				delete(b.flows, key)
				continue
			}
			s.at, s.wait = now, min(2*s.wait, lastRetransmit)
			b.write(f, s.p)
		}
		b.mu.Unlock()
	}
}
