package capacity

// The size to design for.
const (
	fleetDaemons     = 16_000
	fleetUpstreams   = 110_000
	serviceAddresses = 47_000
	fleetFlows       = 140e6
	fleetNewFlows    = 660e3
	changesADay      = 23_000
	restartsADay     = 25_000
	failuresADay     = 350
	daySeconds       = 86_400.0
)

// Limits of control for one daemon.
const (
	limitBytes  = 3000
	limitCPU    = 36_000 // µs a second: 3.6 % of a core.
	limitMemory = 64e6
)

// cellMembers is how many daemons share the addresses of a cell. All that a
// daemon knows and says stays within its cell.
const cellMembers = 32

const (
	cells            = fleetDaemons / cellMembers
	upstreamsPerCell = fleetUpstreams / cells
	flowsPerCell     = fleetFlows / cells
	newFlowsPerCell  = fleetNewFlows / cells
	// holders of one flow: its home and a keeper in each zone of the cell.
	holders = 4
	// watchers of a cell: two for each of its three zones.
	watchers = 6
	// tellBytes is a told record with all headers and its confirmation.
	tellBytes = 2 * 128
	// cellZones is how many zones a cell spreads over, fleetZones how many there are.
	cellZones  = 3
	fleetZones = 10
	// flowsPerDaemon pass each daemon of the cookie's carriage.
	flowsPerDaemon   = fleetFlows / fleetDaemons
	flowsPerUpstream = int(fleetFlows) / fleetUpstreams
	// viewsPerRestart: it leaves, is gone, and is back.
	viewsPerRestart = 3
	// packetsPerFlow is assumed: a feed's flow carries one packet a second.
	packetsPerFlow = 1
)

// Measure runs all measurements and works the rows out. It takes about a minute
// and stays under 2 GB.
func Measure() *Report {
	bytes, cpu := control([]int{9, 16, 32})
	ranks := rank([]int{9, 32, 100, 1600})
	memory := table([]int{50_000, 100_000, 200_000, 500_000})
	decides := decide([]int{1000, 10_000, 100_000})
	places := place([]int{14, 100, 220, 1000})
	took, heap, size := load([]int{220, 2200, 22_000, 110_000})
	r := &Report{Slopes: []Slope{bytes, cpu, ranks, memory, decides, places, took, heap, size}}
	r.Slopes = append(r.Slopes, cookieSlopes()...)
	for i := range r.Slopes {
		r.Slopes[i].fit()
	}
	r.Rows = rows(r)
	return r
}

// cookieSlopes are those of the carriage by cookie.
func cookieSlopes() []Slope {
	decides, flows := cookiePackets([]int{1000, 10_000, 100_000})
	places, changes, upstreams := cookieUpstreams([]int{220, 2200, 22_000, 110_000})
	views, members := cookieMembers([]int{32, 100, 1600, 16_000})
	news, sums := cookieBytes()
	gossip := cookieGossip([]int{9, 16, 32})
	return []Slope{decides, flows, places, changes, upstreams, views, members, news, sums, gossip}
}

func (r *Report) slope(name string) *Slope {
	for i := range r.Slopes {
		if r.Slopes[i].Name == name {
			return &r.Slopes[i]
		}
	}
	panic("no slope is named " + name)
}

func rows(r *Report) []Row {
	at := func(name string, size float64) float64 { return r.slope(name).CostAt(size) }
	near := func(name string, size float64) float64 { return r.slope(name).NearestCost(size) }
	out := daemonRows(at, near)
	out = append(out, flowRows(at)...)
	out = append(out, platformRows(at)...)
	return append(out, cookieRows(at, near)...)
}

// daemonRows are what every daemon pays for being one.
func daemonRows(at, near func(name string, size float64) float64) []Row {
	return []Row{
		{
			"every daemon", "control bytes", "probes round a ring within the cell; counts of flows ride on them",
			at("control-bytes", cellMembers), "B/s", limitBytes, "fitted: control-bytes",
		},
		{
			"every daemon", "control processor time", "one probe each 250 ms; views made only on change",
			at("control-cpu", cellMembers), "µs/s", limitCPU, "fitted: control-cpu",
		},
		{
			"every daemon", "memory of the cell's bundle", "a daemon holds its cell's part only",
			at("bundle-memory", upstreamsPerCell), "B", limitMemory, "fitted: bundle-memory; parts by cell are not built yet",
		},
		{
			"every daemon", "time to put a cell's part in force", "checked, then swapped in whole",
			near("bundle-time", upstreamsPerCell), "ms", 7000, "measured: bundle-time",
		},
	}
}

// flowRows are what flows cost those who decide for them and keep their records.
func flowRows(at func(name string, size float64) float64) []Row {
	flows := float64(flowsPerCell) * holders / cellMembers
	placements := float64(newFlowsPerCell)
	decide := at("decide", flows)
	moved := flows / holders * (float64(restartsADay) + failuresADay) / fleetDaemons / daySeconds * cellMembers
	return []Row{
		{
			"home, backup, replicas", "flow records", "home and one keeper in each of three zones",
			flows, "records", 0, "worked out; 3 zones a cell assumed",
		},
		{
			"home, backup, replicas", "memory of records", "open addressing over chunks of 72-byte entries",
			at("flow-memory", flows), "B", 0, "fitted: flow-memory",
		},
		{
			"home, backup, replicas", "control bytes for new flows", "the first packet itself carries the record",
			0, "B/s", limitBytes, "by design; counted by tests",
		},
		{
			"home, backup, replicas", "records told after restarts and failures, mean", "paced sweeps; each flow of a changed member once",
			moved * tellBytes, "B/s", 0, "worked out: restarts and failures of a cell",
		},
		{
			"ingress and home", "processor time of packets, one packet a second and flow", "ranking and one look-up",
			(decide + at("rank", cellMembers)) * 2 * fleetFlows * packetsPerFlow / fleetDaemons / 1000, "µs/s", 0,
			"fitted: decide, rank; packets per flow assumed",
		},
		{
			"placer (one daemon for each service)", "processor time if it has all services of its cell",
			"least flows per slot over the cell",
			placements * at("place", upstreamsPerCell) / 1000, "µs/s", 0, "fitted: place",
		},
	}
}

// platformRows are what the platform and its operators see.
func platformRows(at func(name string, size float64) float64) []Row {
	return []Row{
		{
			"operator's command", "size of the whole bundle", "one object of at most 1 MiB today",
			at("bundle-size", fleetUpstreams), "B", 1 << 20, "fitted: bundle-size",
		},
		{
			"operator's command", "time to check the whole bundle", "all findings in one pass",
			at("bundle-time", fleetUpstreams), "ms", 7000, "measured: bundle-time",
		},
		{
			"platform", "watches", "two watchers for each zone of a cell; long polling that ends after 10 s",
			cells * watchers / 10.0, "calls/s", 2000, "worked out",
		},
		{
			"platform", "reads after a change that concerns all cells", "only watchers read; peers pass bundles on",
			cells * watchers, "calls", 2000 * 7, "worked out: 7 s at 2000 reads a second",
		},
		{
			"platform", "reads of the list of hosts", "each daemon once a minute when it knows others",
			fleetDaemons / 60.0, "calls/s", 2000, "worked out",
		},
		{
			"platform", "writes", "one for each change",
			changesADay / daySeconds, "calls/s", 300, "worked out",
		},
	}
}
