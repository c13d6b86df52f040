package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/standin/links"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// The parameters for the costs of the forwarding mode with cookies. It has no flow records, so the
// costs that grow are those of what each daemon holds about upstreams and about other daemons.
const (
	cookieService = "service"
	cookieZone    = bundle.Zone("zone")
	// cookieProbePeriod is the probe period of settings.CookieDefaults.
	cookieProbePeriod = 500 * time.Millisecond
	// advertisementPeriod is the period at which a zone's store reader sends advertisements and loads.
	advertisementPeriod = 500 * time.Millisecond
	// flowBytes is the length of a measured packet.
	flowBytes = 100
)

var cookieVIP = netip.MustParseAddrPort("198.18.0.1:443")

func newCookieRegistration(i int) registry.Registration {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|uint32(i))
	return registry.Registration{
		ID: bundle.UpstreamID(i + 1), Service: cookieService, Zone: cookieZone, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4(ip), 8080), Revision: objects.Position(i + 1),
	}
}

// newCookieEngine returns an engine and the catalog of n upstreams that it uses.
func newCookieEngine(n int) (*cookie.Engine, *registry.Catalog) {
	now := time.Now()
	e := cookie.NewEngine(cookie.Options{
		Zone: cookieZone, Policy: upstream.NewZoneAware(cookieZone, upstream.DefaultChoices), FlowLifetime: time.Minute,
	})
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: cookieService, Registered: true, Connections: 2000}},
		Routes: []bundle.Route{{
			Name: cookieService, Address: cookieVIP, Targets: []bundle.Target{{Service: cookieService, Weight: 1}},
		}},
	}
	e.SetRouting(bundle.NewRouting(1, b, nil), time.Now())
	c := registry.NewCatalog()
	registrations := make([]registry.Registration, 0, n)
	for i := range n {
		registrations = append(registrations, newCookieRegistration(i))
	}
	c.Replace(registrations, objects.Position(n+1), now)
	e.Update(c.TakeChanges(), now)
	e.ConfirmRegistrations(now)
	return e, c
}

func newCookieKey(i int) cookie.Key {
	k := cookie.Key{ServiceIP: cookieVIP.Addr().As4(), ServicePort: cookieVIP.Port(), CallerPort: uint16(i)}
	binary.BigEndian.PutUint32(k.CallerIP[:], 100<<24|uint32(i>>16))
	return k
}

// openCookieFlows opens n flows and returns their cookies.
func openCookieFlows(e *cookie.Engine, n int, now time.Time) []cookie.Cookie {
	cookies := make([]cookie.Cookie, n)
	for i := range n {
		v := e.Decide(&cookie.Packet{Key: newCookieKey(i), Flags: cookie.FlagSYN}, now)
		cookies[i] = v.Upstream.Cookie
		e.Decide(&cookie.Packet{Key: newCookieKey(i), Flags: cookie.FlagACK, Cookie: cookies[i], Seq: 1, Ack: 1}, now)
	}
	return cookies
}

// measureCookiePackets measures, by the number of flows, the time to handle a packet of a known
// flow and the memory of the state that is kept about flows.
func measureCookiePackets(sizes []int) (duration, memory Slope) {
	duration = Slope{Name: "cookie-decide", SizeUnit: "flows", CostUnit: "ns"}
	memory = Slope{Name: "cookie-flow-memory", SizeUnit: "flows", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		now := time.Now()
		e, _ := newCookieEngine(upstreamsPerCell)
		before := heapBytes()
		cookies := openCookieFlows(e, n, now)
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes() - before)})
		began := time.Now()
		for i := range timedRounds {
			k := i * 7919 % n
			e.Decide(&cookie.Packet{
				Key: newCookieKey(k), Flags: cookie.FlagACK, Cookie: cookies[k], Seq: uint32(i), Ack: 1, Length: flowBytes,
			}, now)
		}
		duration.Points = append(duration.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
		runtime.KeepAlive(e)
	}
	return duration, memory
}

// measureCookieUpstreams measures, by the number of upstreams, the time to place a flow, the
// time to apply a change of one upstream, and the memory.
func measureCookieUpstreams(sizes []int) (placement, change, memory Slope) {
	placement = Slope{Name: "cookie-place", SizeUnit: "upstreams of a service", CostUnit: "ns"}
	change = Slope{Name: "cookie-change", SizeUnit: "upstreams", CostUnit: "ns"}
	memory = Slope{Name: "cookie-upstream-memory", SizeUnit: "upstreams", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heapBytes()
		e, c := newCookieEngine(n)
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes() - before)})
		now := time.Now()
		const rounds = 1000
		began := time.Now()
		for i := range rounds {
			e.Decide(&cookie.Packet{Key: newCookieKey(i), Flags: cookie.FlagSYN}, now)
		}
		placement.Points = append(placement.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds})
		began = time.Now()
		for i := range rounds {
			r := newCookieRegistration(i % n)
			r.Revision = objects.Position(n + i + 2)
			c.Apply([]registry.Change{{Registration: r}}, r.Revision, now)
			e.Update(c.TakeChanges(), now)
		}
		change.Points = append(change.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds})
	}
	return placement, change, memory
}

// measureCookieMembers measures, by the number of members, the memory of a membership and the
// time to build a view with the results that each new view is used for.
func measureCookieMembers(sizes []int) (view, memory Slope) {
	view = Slope{Name: "view", SizeUnit: "members", CostUnit: "µs"}
	memory = Slope{Name: "member-memory", SizeUnit: "members", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heapBytes()
		membership := peer.NewMembership(peer.Config{}, newCookieMember(0), rand.New(rand.NewPCG(1, 2)))
		for i := range n - 1 {
			membership.Merge(time.Now(), []peer.Member{newCookieMember(i + 1)})
		}
		v := membership.View()
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes() - before)})
		began := time.Now()
		const rounds = 20
		for range rounds {
			v = membership.View()
			v.ReaderRank()
			v.Recipients(true)
		}
		view.Points = append(view.Points, Point{float64(n), float64(time.Since(began).Microseconds()) / rounds})
		runtime.KeepAlive(v)
	}
	return view, memory
}

func newCookieMember(i int) peer.Member {
	at := links.ControlAddress(i)
	name := fmt.Sprintf("edge-%d", i)
	return peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: bundle.Zone(fmt.Sprintf("zone-%d", i%fleetZones)),
		Data: at, Control: at, RPC: at, Incarnation: 1, Boot: uint64(i),
	}
}

// measureCookieBytes measures the sizes of the messages in a zone: that of an advertisement by
// the number of its changes, and that of the sum of loads by the number of upstreams.
func measureCookieBytes() (advertisements, sums Slope) {
	advertisements = Slope{Name: "news", SizeUnit: "changes", CostUnit: "bytes"}
	sums = Slope{Name: "sum", SizeUnit: "upstreams", CostUnit: "bytes"}
	for _, n := range []int{0, 4, peer.MaxRepeatedChanges} {
		m := &peer.Advertisement{From: peer.IDOf("edge"), Age: time.Second, AsOf: 1 << 20, Digest: 1 << 60, Bundle: 1000}
		for i := range n {
			m.Changes = append(m.Changes, registry.Change{Registration: newCookieRegistration(i)})
		}
		advertisements.Points = append(advertisements.Points, Point{float64(n), float64(encodedBytes(peer.DomainAdvertisement, m))})
	}
	for _, n := range []int{0, 16, peer.MaxLoads} {
		m := &peer.Report{From: peer.IDOf("edge"), IsSum: true, Sequence: 1 << 60}
		for i := range n {
			m.Loads = append(m.Loads, peer.Load{Cookie: 1<<31 + uint32(i), Flows: uint32(flowsPerUpstream)})
		}
		sums.Points = append(sums.Points, Point{float64(n), float64(encodedBytes(peer.DomainReport, m))})
	}
	return advertisements, sums
}

// encodedBytes returns the size of a message as it is sent.
func encodedBytes[T any, P interface {
	*T
	Check() error
}](d peer.Domain, m P) int {
	c, err := peer.NewSequencedCodec[T, P](peer.Keys{Seal: []byte(secret)}, d)
	if err != nil {
		panic(err) // The options are constant and valid.
	}
	b, err := c.Encode(m)
	if err != nil {
		panic(err) // The message was built by this package.
	}
	return len(b)
}

// measureCookieGossip measures how many bytes of the membership protocol each member sends while no
// member joins or leaves.
func measureCookieGossip(sizes []int) Slope {
	s := Slope{Name: "gossip", SizeUnit: "members", CostUnit: "B/s sent per daemon"}
	for _, n := range sizes {
		w := links.NewWithConfig(n, 1, peer.Config{ProbePeriod: cookieProbePeriod, Updates: peer.MaxUpdates})
		w.RunUntil(warmUpTime, w.Converged)
		w.Run(2 * warmUpTime) // Until the updates about their start have been disseminated.
		w.CountBytes = true
		w.Run(measuredTime)
		sum := 0
		for _, m := range w.Members {
			sum += m.SentBytes
		}
		s.Points = append(s.Points, Point{float64(n), float64(sum) / float64(n) / measuredTime.Seconds()})
	}
	return s
}

// cookieRows returns the costs of the forwarding mode with cookies at the design size, with cells
// and without.
func cookieRows(costAt, nearestCost func(name string, size float64) float64) []Row {
	inCell := float64(upstreamsPerCell)
	inZone := float64(upstreamsPerCell) / cellZones
	advertised := nearestCost("news", 0) + nearestCost("sum", min(inZone, peer.MaxLoads))
	perSecond := advertised / advertisementPeriod.Seconds()
	others := cellMembers/cellZones - 1.0
	return []Row{
		{
			"cookie: a daemon of a cell", "control bytes, sent and received", "advertisements and load sums of the zone; ring of probes",
			perSecond + 2*costAt("gossip", cellMembers), "B/s", limitBytes, "fitted: news, sum, gossip",
		},
		{
			"cookie: the reader of a cell's zone", "control bytes, sent", "it sends to each member of its zone directly",
			perSecond*others + costAt("gossip", cellMembers), "B/s", limitBytes, "fitted: news, sum, gossip",
		},
		{
			"cookie: a daemon of a cell", "memory of upstreams and members", "each change updates one entry",
			costAt("cookie-upstream-memory", inCell) + costAt("member-memory", cellMembers), "B", limitMemory,
			"fitted: cookie-upstream-memory, member-memory",
		},
		{
			"cookie: without cells", "memory of upstreams and members", "every daemon holds all",
			costAt("cookie-upstream-memory", fleetUpstreams) + costAt("member-memory", fleetDaemons), "B", limitMemory,
			"fitted: cookie-upstream-memory, member-memory",
		},
		{
			"cookie: without cells", "processor time of changed members, each a new view", "views are built only on change",
			costAt("view", fleetDaemons) * (float64(restartsPerDay) + failuresPerDay) * viewsPerRestart / daySeconds, "µs/s", limitCPU,
			"fitted: view; mean of the day",
		},
		{
			"cookie: any", "processor time of packets, one a second and flow", "one lookup; no record, owner or extra hop",
			costAt("cookie-decide", flowsPerDaemon) * flowsPerDaemon * packetsPerFlow / 1000, "µs/s", 0,
			"fitted: cookie-decide; packets per flow assumed",
		},
		{
			"cookie: any", "memory of what is remembered of flows", "soft state; rebuilt from packets",
			costAt("cookie-flow-memory", flowsPerDaemon), "B", 0, "fitted: cookie-flow-memory",
		},
		{
			"cookie: any", "processor time of placing", "choice between two random upstreams of a zone",
			float64(fleetNewFlows) / fleetDaemons * nearestCost("cookie-place", inCell) / 1000, "µs/s", 0, "measured: cookie-place",
		},
		{
			"cookie: the store", "watches", "one reader per cell; two kinds, 800 ms per watch",
			fleetCells * 2 / 0.8, "calls/s", 6000, "worked out; the rate of the users' grown installations",
		},
	}
}
