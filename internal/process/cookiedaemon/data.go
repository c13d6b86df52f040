package cookiedaemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// data forwards callers' packets to upstreams.
type data struct {
	daemon *Daemon
	conn   *net.UDPConn
	wg     sync.WaitGroup
	// resetBuf is used only by the goroutine that reads packets.
	resetBuf []byte

	received, sent, failed atomic.Uint64
}

const (
	// maxPacketBytes is the size of the buffer for headroom and packet. It is larger than the
	// largest packet, so that a longer one is detected as too long instead of being truncated.
	maxPacketBytes = 2048
	// socketBufferBytes is enough for the packets that a small host gets in a second.
	socketBufferBytes = 1 << 20
	// maxFirstPacketWait is how long first packets may wait for a daemon that isn't ready. Callers
	// retransmit a first packet after 200 ms, perhaps to another daemon.
	maxFirstPacketWait = 200 * time.Millisecond
)

func (d *Daemon) startData(ctx context.Context) (func(), error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.cfg.Load().DataAddress))
	if err != nil {
		return nil, eris.Wrapf(err, "data: listen on %s", d.cfg.Load().DataAddress)
	}
	// A smaller buffer loses packets under bursts but has no other effect.
	_ = udp.SetReadBuffer(socketBufferBytes)
	d.data = &data{daemon: d, conn: udp}
	d.data.wg.Go(func() { d.data.run(ctx) })
	return func() {
		_ = udp.Close()
		d.data.wg.Wait()
	}, nil
}

// run reads packets until the socket is closed.
func (d *data) run(ctx context.Context) {
	buf := make([]byte, maxPacketBytes)
	head := d.daemon.platform.Packets.Headroom()
	pauses := d.daemon.pauses.Observe(time.Now())
	for {
		n, err := d.conn.Read(buf[head:])
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.failed.Add(1) // For example, an upstream closed its port. The next read may succeed.
			continue
		}
		late, ok := d.await(ctx)
		if !ok {
			return
		}
		now := time.Now()
		if seen := d.daemon.pauses.Observe(now); seen != pauses {
			pauses, late = seen, true
			d.paused(now)
		}
		d.handle(buf[:head+n], now, late)
		if late {
			d.drainSocket(buf)
		}
	}
}

// await holds a received packet until flows can be placed; packets behind it wait in the socket. It
// records that callers are waiting. late reports whether the wait was longer than
// maxFirstPacketWait, and ok is false if the daemon ends before.
func (d *data) await(ctx context.Context) (late, ok bool) {
	if d.daemon.start.ready.isSet() {
		return false, true
	}
	arrived := time.Now()
	d.daemon.start.callersWaiting.set()
	if !d.daemon.awaitReady(ctx) {
		return false, false
	}
	return time.Since(arrived) > maxFirstPacketWait, true
}

// paused tells the engine that the process was paused, and logs it.
func (d *data) paused(now time.Time) {
	d.daemon.mu.Lock()
	d.daemon.engine.Paused(now)
	d.daemon.mu.Unlock()
	d.daemon.logs.paused()
}

// drainSocket handles the packets that waited in the socket while the process couldn't read it. It
// drops first packets: their callers have sent copies meanwhile, and perhaps a flow has opened by
// one of them. A second upstream would answer the late one, the caller would repeat that upstream's
// cookie, and the flow's packets would go to an upstream that resets them.
func (d *data) drainSocket(buf []byte) {
	raw, err := d.conn.SyscallConn()
	if err != nil {
		return // The socket was closed; the next read reports it.
	}
	head := d.daemon.platform.Packets.Headroom()
	for more := true; more; {
		more = false
		now := time.Now()
		err := raw.Read(func(fd uintptr) bool {
			n, _, err := unix.Recvfrom(int(fd), buf[head:], unix.MSG_DONTWAIT)
			if err == nil {
				more = true
				d.handle(buf[:head+n], now, true)
			}
			return true
		})
		if err != nil {
			return // The socket was closed; the next read reports it.
		}
	}
}

// handle decides on a packet and forwards it. The packet in b begins after the headroom. waited
// reports that it may have waited for long.
func (d *data) handle(b []byte, now time.Time, waited bool) {
	d.received.Add(1)
	if d.daemon.leaving.Load() {
		d.daemon.departure.received(now)
	}
	var p cookie.Packet
	if d.daemon.platform.Packets.Decode(b[d.daemon.platform.Packets.Headroom():], &p) != nil {
		d.daemon.drop(cookie.CauseMalformed)
		return
	}
	if waited && p.Flags == cookie.FlagSYN {
		d.daemon.drop(cookie.CauseStaleOpen)
		return
	}
	d.resetBuf = d.decide(b, &p, d.resetBuf, now)
}

// decide decides on a packet and forwards it, resets its flow, drops it, or holds it while other daemons are asked about
// its flow. It returns the buffer for the next reset.
func (d *data) decide(b []byte, p *cookie.Packet, resetBuf []byte, now time.Time) []byte {
	d.daemon.mu.Lock()
	v := d.daemon.engine.Decide(p, now)
	in := d.daemon.inputs(now)
	var to netip.AddrPort
	route := v.Reset.Upstream
	if v.Upstream != nil {
		route = v.Upstream.Route // A new version of the bundle may replace it once d.mu is released.
	}
	if v.Action == cookie.ActionForward {
		to = route.Address
		d.daemon.platform.Packets.Forward(b, route.ID, v.Cookie)
	}
	if v.Action == cookie.ActionHold {
		d.daemon.members.placements.hold(b, p)
	}
	d.daemon.mu.Unlock()
	switch v.Action {
	case cookie.ActionForward:
		d.write(b, to)
	case cookie.ActionReset:
		resetBuf = d.reset(resetBuf, &v.Reset)
	case cookie.ActionDrop, cookie.ActionHold:
	}
	d.daemon.logs.decided(p, &v, route, in, now)
	if v.Inquire {
		d.daemon.members.placements.inquire(p)
	}
	return resetBuf
}

// reset sends a reset to its caller and returns the buffer for the next one.
func (d *data) reset(buf []byte, r *cookie.Reset) []byte {
	buf = d.daemon.platform.Packets.Reset(buf[:0], r)
	to := netip.AddrPortFrom(r.Key.Caller().Addr(), d.daemon.cfg.Load().DataAddress.Port())
	d.write(buf, to)
	return buf
}

// resets sends resets that are not answers to a packet.
func (d *data) resets(list []cookie.Reset) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	d.daemon.mu.Lock()
	in := d.daemon.inputs(now)
	d.daemon.mu.Unlock()
	var buf []byte
	for i := range list {
		buf = d.reset(buf, &list[i])
		d.daemon.logs.reset(&list[i], in, now)
	}
}

// write sends a packet and counts whether it was sent.
func (d *data) write(b []byte, to netip.AddrPort) {
	if _, err := d.conn.WriteToUDPAddrPort(b, to); err != nil {
		d.failed.Add(1) // The caller retransmits lost packets.
		return
	}
	d.sent.Add(1)
}

// inputs returns what decisions are based on now. d.mu must be held.
func (d *Daemon) inputs(now time.Time) inputs {
	return inputs{bundle: d.engine.Version(), listAge: now.Sub(d.state.confirmed[kindUpstreams])}
}

// drop counts a packet that was dropped without the engine.
func (d *Daemon) drop(cause cookie.Cause) {
	d.mu.Lock()
	d.engine.Counters.Dropped[cause]++
	d.mu.Unlock()
}
