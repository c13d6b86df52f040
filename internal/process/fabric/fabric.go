// Package fabric exchanges Geneve packets with the network fabric, other daemons and
// upstream hosts. It holds the UDP sockets and the workers that read them.
package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/process/blocklist"
)

// Options are the settings of a Fabric.
type Options struct {
	Address     netip.AddrPort
	Workers     int
	Batch       int
	BufferBytes int
	Engine      *caller.Engine
	Key         *geneve.Key
	// Blocked lists the networks from which packets are ignored and to which none are
	// sent; nil for none.
	Blocked *blocklist.List
}

// Counters count packets; SendErrors also counts failures to open a new source port. All
// are safe for concurrent use.
type Counters struct {
	Received, Sent, SendErrors atomic.Uint64
	// Stale counts packets that were dropped because they waited in a socket while the
	// process was paused.
	Stale atomic.Uint64
}

// Fabric is a pool of workers that share one engine.
type Fabric struct {
	opts     Options
	workers  []*worker
	Counters Counters
	// mu guards sender, which Send uses; each worker has a sender of its own.
	mu     sync.Mutex
	sender *sender
}

// maxPacketBytes is the size of the largest packet that is read: a jumbo frame.
const maxPacketBytes = 9216

// New opens the sockets and starts the workers. The clean-up function closes
// the sockets and waits for the workers.
func New(o Options) (*Fabric, func(), error) {
	f := &Fabric{opts: o}
	s, closeSender, err := newSender(f)
	if err != nil {
		return nil, nil, err
	}
	f.sender = s
	cleanups := []func(){closeSender}
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for range o.Workers {
		w, stop, err := newWorker(f)
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		f.workers = append(f.workers, w)
		cleanups = append(cleanups, stop)
	}
	return f, cleanup, nil
}

// Send sends packets that aren't triggered by a received packet, such as those of a
// sweep. It is safe for concurrent use.
func (f *Fabric) Send(out []caller.Output) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range out {
		f.sender.add(&out[i])
	}
	f.sender.flush()
}

// worker reads one of the sockets that share the data address (SO_REUSEPORT).
type worker struct {
	fabric  *Fabric
	conn    batchConn
	udp     *net.UDPConn
	in      []ipv4.Message
	sender  *sender
	backlog backlog
	decode  caller.Decoder
	out     []caller.Output
}

func newWorker(f *Fabric) (*worker, func(), error) {
	udp, err := listen(f.opts.Address, f.opts.BufferBytes)
	if err != nil {
		return nil, nil, err
	}
	s, closeSender, err := newSender(f)
	if err != nil {
		_ = udp.Close()
		return nil, nil, err
	}
	w := &worker{fabric: f, conn: newBatchConn(udp), udp: udp, sender: s}
	w.in = make([]ipv4.Message, f.opts.Batch)
	for i := range w.in {
		w.in[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run()
	}()
	return w, func() {
		_ = udp.Close()
		<-done
		closeSender()
	}, nil
}

func listen(a netip.AddrPort, bufferBytes int) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: reusePort}
	c, err := lc.ListenPacket(context.Background(), "udp", a.String())
	if err != nil {
		return nil, eris.Wrapf(err, "fabric: listen on %s", a)
	}
	udp := c.(*net.UDPConn)
	setBuffers(udp, bufferBytes)
	return udp, nil
}

func reusePort(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}

// setBuffers requests socket buffers of n bytes each. It ignores errors: the kernel may
// grant less, which only loses packets in bursts.
func setBuffers(c *net.UDPConn, n int) {
	_ = c.SetReadBuffer(n)
	_ = c.SetWriteBuffer(n)
}

// run reads packets and handles them until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.in, 0)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		now := time.Now()
		w.fabric.opts.Engine.DetectPause(now)
		w.fabric.Counters.Received.Add(uint64(n))
		if w.backlog.stale(w.fabric.opts.Engine.Counters.Pauses.Load(), n, len(w.in)) {
			w.fabric.Counters.Stale.Add(uint64(n))
			continue
		}
		for i := range w.in[:n] {
			m := &w.in[i]
			w.handle(now, m.Addr, m.Buffers[0][:m.N])
		}
		w.sender.flush()
	}
}

// handle decodes and handles one packet, and adds the resulting packets to the sender.
func (w *worker) handle(now time.Time, from net.Addr, b []byte) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	addr := udp.AddrPort().Addr().Unmap()
	if w.fabric.opts.Blocked.Blocks(addr) {
		return
	}
	e := w.fabric.opts.Engine
	p, cause := w.decode.Decode(e, w.fabric.opts.Key, addr, b)
	if cause != caller.CauseNone {
		e.Counters.Drops[cause].Add(1)
		return
	}
	w.out, _ = e.Handle(now, p, w.out[:0])
	for i := range w.out {
		w.sender.add(&w.out[i])
	}
}
