package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/mux"
	coapnet "github.com/plgd-dev/go-coap/v3/net"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/fabric"
	"github.com/fescueshed/fescueshed/internal/standin/ledger"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Config describes a stand-in upstream.
type Config struct {
	Service string
	Name    string
	Zone    bundle.Zone
	VNI     bundle.VNI
	// Address is where the host receives Geneve packets.
	Address netip.AddrPort
	// Services are the service addresses for which the upstream answers.
	Services []netip.AddrPort
	// Slots is the number of requests that run at the same time.
	Slots int
	// ServiceTime is how long one request occupies a slot.
	ServiceTime time.Duration
	// FeedPeriod is the time between two notifications of a feed.
	FeedPeriod time.Duration
}

// The server's transmission parameters for notifications (RFC 7252, section 4.8).
const (
	ackTimeout     = time.Second
	maxRetransmits = 4
)

// queuePerSlot is how many requests per slot may wait before further ones are refused with 5.03.
const queuePerSlot = 4

// Upstream is a running stand-in upstream.
type Upstream struct {
	Spray fabric.Spray
	cfg   Config
	host  *host
	slots chan struct{}
	// queue bounds the requests that run or wait.
	queue chan struct{}
	// ctx ends with the upstream.
	ctx context.Context

	mu sync.Mutex
	// busy is the time for which slots were in use, added up.
	busy time.Duration
	// runs counts how often each POST request ran.
	runs map[ledger.RequestID]int
}

// New starts the server and the host in front of it. The clean-up function ends both.
func New(cfg Config) (*Upstream, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Slots),
		queue: make(chan struct{}, cfg.Slots*(1+queuePerSlot)),
		ctx:   ctx,
		runs:  make(map[ledger.RequestID]int),
	}
	l, err := coapnet.NewListenUDP("udp4", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, nil, eris.Wrap(err, "stand-in upstream")
	}
	s := udp.NewServer(options.WithMux(mux.HandlerFunc(u.serve)), options.WithErrors(func(error) {}),
		options.WithTransmission(1, ackTimeout, maxRetransmits))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	at := l.LocalAddr().(*net.UDPAddr).AddrPort()
	h, closeHost, err := newHost(&u.cfg, &u.Spray, at)
	u.host = h
	cleanup := func() {
		cancel()
		if closeHost != nil {
			closeHost()
		}
		s.Stop()
		<-done
		_ = l.Close()
	}
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	return u, cleanup, nil
}

// Ledger returns what the upstream has recorded so far.
func (u *Upstream) Ledger() ledger.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[ledger.RequestID]int, len(u.runs))
	for id, n := range u.runs {
		runs[id] = n
	}
	u.host.mu.Lock()
	defer u.host.mu.Unlock()
	return ledger.Upstream{
		Service: u.cfg.Service, Name: u.cfg.Name, Zone: u.cfg.Zone,
		Busy: u.busy, Runs: runs, WrongService: u.host.misdirected,
	}
}

// serve answers one request. The body of a request is its identifier. A GET with the observe option opens a feed. Other
// requests wait for a slot, or are refused if the queue is full; runs of POST requests are counted by identifier.
func (u *Upstream) serve(w mux.ResponseWriter, r *mux.Message) {
	body, err := r.ReadBody()
	if err != nil {
		return
	}
	id := ledger.RequestID(body)
	if obs, err := r.Options().Observe(); err == nil && obs == 0 && r.Code() == codes.GET {
		token := append(message.Token(nil), r.Token()...)
		if u.respond(w, id, 1, true) == nil {
			go u.sendNotifications(w.Conn(), token, id)
		}
		return
	}
	select {
	case u.queue <- struct{}{}:
	default:
		_ = w.SetResponse(codes.ServiceUnavailable, message.TextPlain, nil,
			message.Option{ID: message.MaxAge, Value: []byte{1}})
		return
	}
	u.slots <- struct{}{}
	start := time.Now()
	time.Sleep(u.cfg.ServiceTime)
	u.mu.Lock()
	u.busy += time.Since(start)
	if r.Code() == codes.POST {
		u.runs[id]++
	}
	u.mu.Unlock()
	<-u.slots
	<-u.queue
	_ = u.respond(w, id, 0, false)
}

func (u *Upstream) respond(w mux.ResponseWriter, id ledger.RequestID, seq uint32, observe bool) error {
	var opts message.Options
	if observe {
		opts, _, _ = opts.SetObserve(make([]byte, 4), seq)
	}
	return w.SetResponse(codes.Content, message.AppJSON, bytes.NewReader(u.body(id, seq)), opts...)
}

func (u *Upstream) body(id ledger.RequestID, seq uint32) []byte {
	b, err := json.Marshal(ledger.Answer{ID: id, Service: u.cfg.Service, Upstream: u.cfg.Name, Seq: seq})
	if err != nil {
		panic(err) // Strings and integers can always be encoded.
	}
	return b
}

// sendNotifications sends the notifications of a feed until the upstream or the connection ends.
func (u *Upstream) sendNotifications(cc mux.Conn, token message.Token, id ledger.RequestID) {
	t := time.NewTicker(u.cfg.FeedPeriod)
	defer t.Stop()
	for seq := uint32(2); ; seq++ {
		select {
		case <-u.ctx.Done():
			return
		case <-cc.Context().Done():
			return
		case <-t.C:
		}
		if u.notify(cc, token, id, seq) != nil {
			return
		}
	}
}

func (u *Upstream) notify(cc mux.Conn, token message.Token, id ledger.RequestID, seq uint32) error {
	m := cc.AcquireMessage(cc.Context())
	defer cc.ReleaseMessage(m)
	m.SetCode(codes.Content)
	m.SetToken(token)
	m.SetObserve(seq)
	m.SetContentFormat(message.AppJSON)
	m.SetBody(bytes.NewReader(u.body(id, seq)))
	return cc.WriteMessage(m)
}
