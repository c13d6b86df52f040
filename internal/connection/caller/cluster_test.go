package caller_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Services of the test bundle.
const (
	vniOrders  bundle.VNI = 101
	vniArchive bundle.VNI = 102
	vniStream  bundle.VNI = 103
)

var (
	fabricAt  = netip.MustParseAddrPort("192.0.2.1:6081")
	ordersAt  = netip.MustParseAddrPort("198.51.100.1:5683")
	archiveAt = netip.MustParseAddrPort("198.51.100.2:5683")
	streamAt  = netip.MustParseAddrPort("198.51.100.3:80")
	zones     = []bundle.Zone{"a", "b", "c"}
	clusterT0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// run is one request that reached an upstream.
type run struct {
	upstream string
	body     string
}

// node is one engine with its member entry in the views of the others.
type node struct {
	member peer.Member
	engine *caller.Engine
	decode caller.Decoder
	up     bool
	paused bool
	fresh  bool
}

// cluster connects engines by simulated links. Views change only by explicit calls, so
// a test decides what each node knows at what time.
type cluster struct {
	now     time.Time
	key     *geneve.Key
	nodes   []*node
	lost    []peer.Member
	routing *bundle.Routing
	// drop says which packets between nodes are lost.
	drop func(from, to *node) bool
	// partitioned says which zones don't reach each other.
	partitioned func(a, b bundle.Zone) bool

	queue    []caller.Output
	queueSrc []netip.Addr
	// upstreamGot and callerGot are the packets that reached upstreams and the caller.
	upstreamGot []run
	callerGot   []message.Message
	resets      int
	hops        int
	// controlPackets counts packets between nodes that carry a record and none of the
	// caller's bytes.
	controlPackets int
}

func testBundle() *bundle.Bundle {
	svc := func(name string, vni bundle.VNI, at netip.AddrPort, proto bundle.Protocol, net byte) bundle.Service {
		s := bundle.Service{
			Name: name, VNI: vni, Protocol: proto, Addresses: []netip.AddrPort{at},
			IdleTimeout: bundle.DefaultIdleTimeout, Deadline: bundle.DefaultDeadline,
		}
		for i := range 6 {
			s.Upstreams = append(s.Upstreams, bundle.Upstream{
				Name: fmt.Sprintf("%s-%d", name, i), Zone: zones[i%3], Slots: 4, Connections: 100,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, net, byte(i + 1)}), 6081),
			})
		}
		return s
	}
	return &bundle.Bundle{Services: []bundle.Service{
		svc("orders", vniOrders, ordersAt, bundle.ProtocolCoAP, 113),
		svc("archive", vniArchive, archiveAt, bundle.ProtocolCoAP, 114),
		svc("stream", vniStream, streamAt, bundle.ProtocolTCP, 115),
	}}
}

func newCluster(n int) *cluster {
	c := &cluster{
		now:     clusterT0,
		key:     geneve.NewKey([]byte("secret of the tests")),
		routing: bundle.NewRouting(1, testBundle(), nil),
	}
	for range n {
		c.add()
	}
	c.syncViews(false)
	return c
}

func (c *cluster) add() {
	i := len(c.nodes)
	n := &node{member: peer.Member{
		ID: peer.IDOf(fmt.Sprintf("host-%d", i)), Name: fmt.Sprintf("host-%d", i), Zone: zones[i%3], Boot: 1,
		Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 3), byte(i + 1)}), 6081),
	}}
	c.nodes = append(c.nodes, n)
	c.boot(n)
}

// boot starts a node without any records.
func (c *cluster) boot(n *node) {
	n.up, n.fresh = true, true
	n.engine = caller.NewEngine(caller.Options{
		Self: n.member.ID, Fabrics: []netip.AddrPort{fabricAt}, Start: c.now.Add(-time.Second),
	})
	n.engine.SetRouting(c.routing)
}

// syncViews gives each node that is up a view of all nodes that are up.
func (c *cluster) syncViews(recent bool) {
	var members []peer.Member
	for _, n := range c.nodes {
		if n.up && !n.paused {
			members = append(members, n.member)
		}
	}
	for _, n := range c.nodes {
		if n.up && !n.paused {
			n.engine.SetView(peer.NewView(n.member.ID, slices.Clone(members), c.changes(recent)))
		}
	}
}

func (c *cluster) changes(recent bool) peer.Changes {
	ch := peer.Changes{RecentlyChanged: recent, RepeatsPossible: recent, Lost: slices.Clone(c.lost)}
	for _, n := range c.nodes {
		n.fresh = n.fresh && recent
		if n.fresh {
			ch.RecentlyJoined = append(ch.RecentlyJoined, n.member.ID)
		}
	}
	return ch
}

// kill stops a node without a handover.
func (c *cluster) kill(n *node) {
	n.up = false
	c.lost = append(c.lost, n.member)
}

// sweep lets each node sweep all its records twice.
func (c *cluster) sweep() {
	for range 2 {
		for _, n := range c.nodes {
			c.sweepNode(n)
		}
	}
}

func (c *cluster) sweepNode(n *node) {
	for shard := range n.engine.Flows.Shards() {
		if !n.up || n.paused {
			return
		}
		out, _ := n.engine.Sweep(c.now, shard, 1000, nil)
		c.enqueue(n.member.Data.Addr(), out)
	}
	c.deliver()
}

func (c *cluster) enqueue(src netip.Addr, out []caller.Output) {
	for _, o := range out {
		o.Inner = slices.Clone(o.Inner)
		c.queue = append(c.queue, o)
		c.queueSrc = append(c.queueSrc, src)
	}
}

// deliver transmits packets until none is in transit.
func (c *cluster) deliver() {
	for len(c.queue) > 0 {
		o, src := c.queue[0], c.queueSrc[0]
		c.queue, c.queueSrc = c.queue[1:], c.queueSrc[1:]
		c.transmit(src, &o)
	}
}

func (c *cluster) transmit(src netip.Addr, o *caller.Output) {
	if o.To == fabricAt {
		c.toCaller(o)
		return
	}
	from := c.nodeAt(src)
	if u := c.routing.UpstreamAt(o.To.Addr()); u != nil {
		if c.partitioned == nil || !c.partitioned(from.member.Zone, u.Zone) {
			c.toUpstream(u, o)
		}
		return
	}
	to := c.nodeAt(o.To.Addr())
	if to == nil || c.partitioned != nil && c.partitioned(from.member.Zone, to.member.Zone) || c.drop != nil && c.drop(from, to) {
		return
	}
	c.hops++
	if o.Header.Control {
		c.controlPackets++
	}
	c.receive(to, src, geneve.Append(nil, &o.Header, c.key, o.Inner))
}

func (c *cluster) nodeAt(a netip.Addr) *node {
	for _, n := range c.nodes {
		if n.member.Data.Addr() == a {
			return n
		}
	}
	return nil
}

func (c *cluster) receive(n *node, src netip.Addr, b []byte) caller.Cause {
	if !n.up || n.paused {
		return caller.CauseNone
	}
	n.engine.DetectPause(c.now)
	p, cause := n.decode.Decode(n.engine, c.key, src, b)
	if cause != caller.CauseNone {
		return cause
	}
	out, cause := n.engine.Handle(c.now, p, nil)
	c.enqueue(n.member.Data.Addr(), out)
	return cause
}

func (c *cluster) toUpstream(u *bundle.UpstreamRoute, o *caller.Output) {
	var d ip.Decoder
	var p ip.Packet
	if err := d.Decode(o.Inner, &p); err != nil {
		panic(err)
	}
	c.upstreamGot = append(c.upstreamGot, run{upstream: u.Name, body: string(p.Payload)})
}

func (c *cluster) toCaller(o *caller.Output) {
	var d ip.Decoder
	var p ip.Packet
	if err := d.Decode(o.Inner, &p); err != nil {
		panic(err)
	}
	if p.Protocol == ip.ProtocolTCP {
		if p.TCPFlags&ip.TCPRst != 0 {
			c.resets++
		}
		return
	}
	m := message.Message{Options: make(message.Options, 0, 16)}
	if _, err := coder.DefaultCoder.Decode(slices.Clone(p.Payload), &m); err != nil {
		panic(err)
	}
	c.callerGot = append(c.callerGot, m)
}

// replicas returns the nodes whose records the flow depends on: those with a committed
// record, and the owner with its proposal.
func (c *cluster) replicas(r request) []*node {
	return c.nodesWith(r, func(rec *caller.Record) bool {
		return rec.State == caller.StateCommitted || rec.State == caller.StateTentative && rec.Flags&caller.RecordBackup == 0
	})
}

// nodesWithUpstream returns all nodes that have the flow's upstream in a record:
// replicas, those that the first packet passed through, and the placer.
func (c *cluster) nodesWithUpstream(r request) []*node {
	return c.nodesWith(r, func(rec *caller.Record) bool { return rec.State != caller.StateEnded })
}

func (c *cluster) nodesWith(r request, f func(rec *caller.Record) bool) []*node {
	p := ip.Packet{Src: callerAt(r.flow), Dst: serviceAt(r.vni), Protocol: ip.ProtocolUDP}
	k := caller.KeyOf(r.vni, &p, false)
	var out []*node
	for _, n := range c.nodes {
		if rec, ok := n.engine.Flows.Get(&k, k.Hash()); ok && n.up && rec.Upstream != 0 && f(&rec) {
			out = append(out, n)
		}
	}
	return out
}

// other returns a node that is up and not among those given.
func (c *cluster) other(not ...*node) *node {
	for _, n := range c.nodes {
		if n.up && !n.paused && !slices.Contains(not, n) {
			return n
		}
	}
	panic("no other node")
}

// ownerOf returns the owner of a flow in the first node's view.
func (c *cluster) ownerOf(r request) *node {
	p := ip.Packet{Src: callerAt(r.flow), Dst: serviceAt(r.vni), Protocol: ip.ProtocolUDP}
	k := caller.KeyOf(r.vni, &p, false)
	return c.nodeAt(c.nodes[0].engine.View().Owner(k.Hash()).Data.Addr())
}

// flowsAt returns the sum of the flows of a service that all nodes count.
func (c *cluster) flowsAt(service string) int64 {
	var sum int64
	for _, n := range c.nodes {
		for _, u := range c.routing.Upstreams() {
			if u.Service.Name == service {
				sum += n.engine.Loads.Load(u.ID).Flows.Load()
			}
		}
	}
	return sum
}

// skewLoads gives each node different loads, so that two nodes don't choose the same
// upstream by chance.
func (c *cluster) skewLoads() {
	for i, n := range c.nodes {
		for _, u := range c.routing.Upstreams() {
			n.engine.Loads.Load(u.ID).Flows.Add(int64(u.ID>>(i%16)) & 7)
		}
	}
}

// firstPacketPath returns the nodes through which the first packet of a flow passes.
func (c *cluster) firstPacketPath(r request) []*node {
	p := ip.Packet{Src: callerAt(r.flow), Dst: serviceAt(r.vni), Protocol: ip.ProtocolUDP}
	k := caller.KeyOf(r.vni, &p, false)
	v := c.nodes[0].engine.View()
	owner := c.ownerOf(r)
	out := make([]*node, 1, 1+len(zones))
	out[0] = owner
	for _, z := range zones {
		out = append(out, c.nodeAt(v.Replica(k.Hash(), z, owner.member.ID).Data.Addr()))
	}
	return out
}

// callWithRetry sends a request as its caller does: a second time if no upstream got
// it.
func (c *cluster) callWithRetry(n *node, r request) []string {
	u := c.call(n, r)
	if len(u) > 0 {
		return u
	}
	c.now = c.now.Add(time.Second)
	return c.call(n, r)
}
