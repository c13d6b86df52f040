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

// What the carriage by cookie costs. There are no records of flows, so what grows is
// what each daemon knows of upstreams and of the other daemons.
const (
	cookieService = "service"
	cookieZone    = bundle.Zone("zone")
	// cookieProbePeriod is that of settings.DefaultsCookie.
	cookieProbePeriod = 500 * time.Millisecond
	// toldPeriod is how often a zone's reader tells news and loads.
	toldPeriod = 500 * time.Millisecond
	flowBytes  = 100
)

var cookieAt = netip.MustParseAddrPort("198.18.0.1:443")

func cookieRegistration(i int) registry.Registration {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|uint32(i))
	return registry.Registration{
		ID: bundle.UpstreamID(i + 1), Service: cookieService, Zone: cookieZone, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4(ip), 8080), Revision: objects.Position(i + 1),
	}
}

// cookieEngine returns an engine that follows a catalog of n upstreams.
func cookieEngine(n int) (*cookie.Engine, *registry.Catalog) {
	now := time.Now()
	e := cookie.NewEngine(cookie.Options{
		Zone: cookieZone, Policy: upstream.NewZoneAware(cookieZone, upstream.DefaultChoices), FlowLifetime: time.Minute,
	})
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: cookieService, Registered: true, Connections: 2000}},
		Routes: []bundle.Route{{
			Name: cookieService, Address: cookieAt, Targets: []bundle.Target{{Service: cookieService, Weight: 1}},
		}},
	}
	e.SetRouting(bundle.NewRouting(1, b, nil), time.Now())
	c := registry.NewCatalog()
	list := make([]registry.Registration, 0, n)
	for i := range n {
		list = append(list, cookieRegistration(i))
	}
	c.Replace(list, objects.Position(n+1), now)
	e.Update(c.TakeChanges(), now)
	e.ConfirmRegistrations(now)
	return e, c
}

func cookieKey(i int) cookie.Key {
	k := cookie.Key{ServiceIP: cookieAt.Addr().As4(), ServicePort: cookieAt.Port(), CallerPort: uint16(i)}
	binary.BigEndian.PutUint32(k.CallerIP[:], 100<<24|uint32(i>>16))
	return k
}

// cookieFlows opens n flows and returns their cookies.
func cookieFlows(e *cookie.Engine, n int, now time.Time) []cookie.Cookie {
	cookies := make([]cookie.Cookie, n)
	for i := range n {
		v := e.Decide(&cookie.Packet{Key: cookieKey(i), Flags: cookie.FlagSYN}, now)
		cookies[i] = v.Upstream.Cookie
		e.Decide(&cookie.Packet{Key: cookieKey(i), Flags: cookie.FlagACK, Cookie: cookies[i], Seq: 1, Ack: 1}, now)
	}
	return cookies
}

// cookiePackets measures a packet of a known flow and the memory of what is
// remembered of flows, by their number.
func cookiePackets(sizes []int) (took, memory Slope) {
	took = Slope{Name: "cookie-decide", SizeUnit: "flows", CostUnit: "ns"}
	memory = Slope{Name: "cookie-flow-memory", SizeUnit: "flows", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		now := time.Now()
		e, _ := cookieEngine(upstreamsPerCell)
		before := heap()
		cookies := cookieFlows(e, n, now)
		memory.Points = append(memory.Points, Point{float64(n), float64(heap() - before)})
		began := time.Now()
		for i := range timedRounds {
			k := i * 7919 % n
			e.Decide(&cookie.Packet{
				Key: cookieKey(k), Flags: cookie.FlagACK, Cookie: cookies[k], Seq: uint32(i), Ack: 1, Length: flowBytes,
			}, now)
		}
		took.Points = append(took.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
		runtime.KeepAlive(e)
	}
	return took, memory
}

// cookieUpstreams measures what knowing upstreams costs: placing a flow among them, a
// change of one, and memory.
func cookieUpstreams(sizes []int) (place, change, memory Slope) {
	place = Slope{Name: "cookie-place", SizeUnit: "upstreams of a service", CostUnit: "ns"}
	change = Slope{Name: "cookie-change", SizeUnit: "upstreams", CostUnit: "ns"}
	memory = Slope{Name: "cookie-upstream-memory", SizeUnit: "upstreams", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heap()
		e, c := cookieEngine(n)
		memory.Points = append(memory.Points, Point{float64(n), float64(heap() - before)})
		now := time.Now()
		const rounds = 1000
		began := time.Now()
		for i := range rounds {
			e.Decide(&cookie.Packet{Key: cookieKey(i), Flags: cookie.FlagSYN}, now)
		}
		place.Points = append(place.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds})
		began = time.Now()
		for i := range rounds {
			r := cookieRegistration(i % n)
			r.Revision = objects.Position(n + i + 2)
			c.Apply([]registry.Change{{Registration: r}}, r.Revision, now)
			e.Update(c.TakeChanges(), now)
		}
		change.Points = append(change.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds})
	}
	return place, change, memory
}

// cookieMembers measures what knowing the other daemons costs: a new view with what is
// asked of it each time, and memory.
func cookieMembers(sizes []int) (view, memory Slope) {
	view = Slope{Name: "view", SizeUnit: "members", CostUnit: "µs"}
	memory = Slope{Name: "member-memory", SizeUnit: "members", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heap()
		group := peer.NewMembership(peer.Config{}, cookieMember(0), rand.New(rand.NewPCG(1, 2)))
		for i := range n - 1 {
			group.Merge(time.Now(), []peer.Member{cookieMember(i + 1)})
		}
		v := group.View()
		memory.Points = append(memory.Points, Point{float64(n), float64(heap() - before)})
		began := time.Now()
		const rounds = 20
		for range rounds {
			v = group.View()
			v.ReaderRank()
			v.Recipients(true)
		}
		view.Points = append(view.Points, Point{float64(n), float64(time.Since(began).Microseconds()) / rounds})
		runtime.KeepAlive(v)
	}
	return view, memory
}

func cookieMember(i int) peer.Member {
	at := links.ControlAddress(i)
	name := fmt.Sprintf("edge-%d", i)
	return peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: bundle.Zone(fmt.Sprintf("zone-%d", i%fleetZones)),
		Data: at, Control: at, RPC: at, Incarnation: 1, Boot: uint64(i),
	}
}

// cookieBytes measures the messages of a zone: news by the changes that they carry, and
// the sum of loads by its upstreams.
func cookieBytes() (news, sums Slope) {
	news = Slope{Name: "news", SizeUnit: "changes", CostUnit: "bytes"}
	sums = Slope{Name: "sum", SizeUnit: "upstreams", CostUnit: "bytes"}
	for _, n := range []int{0, 4, peer.MaxAdvertisedChanges} {
		m := &peer.Advertisement{From: peer.IDOf("edge"), Age: time.Second, AsOf: 1 << 20, Digest: 1 << 60, Bundle: 1000}
		for i := range n {
			m.Changes = append(m.Changes, registry.Change{Registration: cookieRegistration(i)})
		}
		news.Points = append(news.Points, Point{float64(n), float64(encodedBytes(peer.DomainAdvertisement, m))})
	}
	for _, n := range []int{0, 16, peer.MaxLoads} {
		m := &peer.Report{From: peer.IDOf("edge"), IsSum: true, Sequence: 1 << 60}
		for i := range n {
			m.Loads = append(m.Loads, peer.Load{Cookie: 1<<31 + uint32(i), Flows: uint32(flowsPerUpstream)})
		}
		sums.Points = append(sums.Points, Point{float64(n), float64(encodedBytes(peer.DomainReport, m))})
	}
	return news, sums
}

func encodedBytes[T any, P interface {
	*T
	Check() error
}](d peer.Domain, m P) int {
	c, err := peer.NewSequencedCodec[T, P](peer.Keys{Seal: []byte(secret)}, d)
	if err != nil {
		panic(err) // The options are constants.
	}
	b, err := c.Encode(m)
	if err != nil {
		panic(err) // It was made here.
	}
	return len(b)
}

// cookieGossip measures the membership's bytes of each member while nobody comes or goes.
func cookieGossip(sizes []int) Slope {
	s := Slope{Name: "gossip", SizeUnit: "members", CostUnit: "B/s sent per daemon"}
	for _, n := range sizes {
		w := links.NewWithConfig(n, 1, peer.Config{ProbePeriod: cookieProbePeriod, Updates: peer.MaxUpdates})
		w.RunUntil(warmUp, w.Converged)
		w.Run(2 * warmUp) // Until the news of their start have been passed on.
		w.CountBytes = true
		w.Run(controlTime)
		sum := 0
		for _, m := range w.Members {
			sum += m.SentBytes
		}
		s.Points = append(s.Points, Point{float64(n), float64(sum) / float64(n) / controlTime.Seconds()})
	}
	return s
}

// cookieRows are the costs of the carriage by cookie at the size to design for, with
// cells and without.
func cookieRows(at, near func(name string, size float64) float64) []Row {
	inCell := float64(upstreamsPerCell)
	inZone := float64(upstreamsPerCell) / cellZones
	told := near("news", 0) + near("sum", min(inZone, peer.MaxLoads))
	perSecond := told / toldPeriod.Seconds()
	others := cellMembers/cellZones - 1.0
	return []Row{
		{
			"cookie: a daemon of a cell", "control bytes, sent and received", "news and sums of loads of the zone; probes round a ring",
			perSecond + 2*at("gossip", cellMembers), "B/s", limitBytes, "fitted: news, sum, gossip",
		},
		{
			"cookie: the reader of a cell's zone", "control bytes, sent", "it tells each member of its zone itself",
			perSecond*others + at("gossip", cellMembers), "B/s", limitBytes, "fitted: news, sum, gossip",
		},
		{
			"cookie: a daemon of a cell", "memory of upstreams and members", "each change costs one entry",
			at("cookie-upstream-memory", inCell) + at("member-memory", cellMembers), "B", limitMemory,
			"fitted: cookie-upstream-memory, member-memory",
		},
		{
			"cookie: without cells", "memory of upstreams and members", "every daemon knows all",
			at("cookie-upstream-memory", fleetUpstreams) + at("member-memory", fleetDaemons), "B", limitMemory,
			"fitted: cookie-upstream-memory, member-memory",
		},
		{
			"cookie: without cells", "processor time of changed members, each a new view", "views are made only on change",
			at("view", fleetDaemons) * (float64(restartsADay) + failuresADay) * viewsPerRestart / daySeconds, "µs/s", limitCPU,
			"fitted: view; mean of the day",
		},
		{
			"cookie: any", "processor time of packets, one a second and flow", "a look-up; no record, home or extra hop",
			at("cookie-decide", flowsPerDaemon) * flowsPerDaemon * packetsPerFlow / 1000, "µs/s", 0,
			"fitted: cookie-decide; packets per flow assumed",
		},
		{
			"cookie: any", "memory of what is remembered of flows", "soft; rebuilt from packets",
			at("cookie-flow-memory", flowsPerDaemon), "B", 0, "fitted: cookie-flow-memory",
		},
		{
			"cookie: any", "processor time of placing", "two drawn of a zone's upstreams",
			float64(fleetNewFlows) / fleetDaemons * near("cookie-place", inCell) / 1000, "µs/s", 0, "measured: cookie-place",
		},
		{
			"cookie: the store", "watches", "one reader of a cell; two kinds, 800 ms a watch",
			cells * 2 / 0.8, "calls/s", 6000, "worked out; the rate of the users' grown installations",
		},
	}
}
