package capacity

// The design size: the numbers for which the rows are calculated.
const (
	fleetDaemons     = 16_000
	fleetUpstreams   = 110_000
	serviceAddresses = 47_000
	fleetFlows       = 140e6
	fleetNewFlows    = 660e3
	changesPerDay    = 23_000
	restartsPerDay   = 25_000
	failuresPerDay   = 350
	daySeconds       = 86_400.0
)

// The limits for the control traffic and state of one daemon: bytes per second, processor time
// and memory in bytes.
const (
	limitBytes  = 3000
	limitCPU    = 36_000 // µs per second: 3.6 % of a core.
	limitMemory = 64e6
)

// cellMembers is how many daemons share the addresses of a cell. A daemon exchanges
// messages and shares state only within its cell.
const cellMembers = 32

const (
	fleetCells       = fleetDaemons / cellMembers
	upstreamsPerCell = fleetUpstreams / fleetCells
	flowsPerCell     = fleetFlows / fleetCells
	newFlowsPerCell  = fleetNewFlows / fleetCells
	// copiesPerFlow is the number of daemons with a flow's record: its owner, and a replica in
	// each zone of the cell.
	copiesPerFlow = 4
	// watchersPerCell is two watchers for each of a cell's three zones.
	watchersPerCell = 6
	// replicationBytes is the size of a record sent to a replica and of its confirmation, with all
	// headers.
	replicationBytes = 2 * 128
	// cellZones is the number of zones of a cell, fleetZones that of the fleet.
	cellZones  = 3
	fleetZones = 10
	// flowsPerDaemon is the number of flows through each daemon of the forwarding mode with cookies.
	flowsPerDaemon   = fleetFlows / fleetDaemons
	flowsPerUpstream = int(fleetFlows) / fleetUpstreams
	// viewsPerRestart is the number of new views when a member restarts: it leaves, is removed, and
	// joins again.
	viewsPerRestart = 3
	// packetsPerFlow is the number of packets per second of a flow: that of a feed, by assumption.
	packetsPerFlow = 1
)

// Measure runs all measurements and calculates the rows. It takes about a minute and
// needs less than 2 GB of memory.
func Measure() *Report {
	bytes, cpu := measureControl([]int{9, 16, 32})
	ranks := measureRank([]int{9, 32, 100, 1600})
	memory := measureTable([]int{50_000, 100_000, 200_000, 500_000})
	decides := measureDecide([]int{1000, 10_000, 100_000})
	places := measurePlacement([]int{14, 100, 220, 1000})
	duration, bundleHeap, size := measureBundle([]int{220, 2200, 22_000, 110_000})
	r := &Report{Slopes: []Slope{bytes, cpu, ranks, memory, decides, places, duration, bundleHeap, size}}
	r.Slopes = append(r.Slopes, cookieSlopes()...)
	for i := range r.Slopes {
		r.Slopes[i].fit()
	}
	r.Rows = rows(r)
	return r
}

// cookieSlopes returns the slopes of the forwarding mode with cookies, not fitted yet.
func cookieSlopes() []Slope {
	decides, flows := measureCookiePackets([]int{1000, 10_000, 100_000})
	places, changes, upstreams := measureCookieUpstreams([]int{220, 2200, 22_000, 110_000})
	views, members := measureCookieMembers([]int{32, 100, 1600, 16_000})
	advertisements, sums := measureCookieBytes()
	gossip := measureCookieGossip([]int{9, 16, 32})
	return []Slope{decides, flows, places, changes, upstreams, views, members, advertisements, sums, gossip}
}

// slope returns the slope with the given name, which must exist.
func (r *Report) slope(name string) *Slope {
	for i := range r.Slopes {
		if r.Slopes[i].Name == name {
			return &r.Slopes[i]
		}
	}
	panic("capacity: no slope is named " + name)
}

func rows(r *Report) []Row {
	costAt := func(name string, size float64) float64 { return r.slope(name).CostAt(size) }
	nearestCost := func(name string, size float64) float64 { return r.slope(name).NearestCost(size) }
	out := daemonRows(costAt, nearestCost)
	out = append(out, flowRows(costAt)...)
	out = append(out, platformRows(costAt)...)
	return append(out, cookieRows(costAt, nearestCost)...)
}

// daemonRows returns the costs that every daemon has, whatever flows it handles.
func daemonRows(costAt, nearestCost func(name string, size float64) float64) []Row {
	return []Row{
		{
			"every daemon", "control bytes", "probes around a ring within the cell; they carry flow counts",
			costAt("control-bytes", cellMembers), "B/s", limitBytes, "fitted: control-bytes",
		},
		{
			"every daemon", "control processor time", "one probe every 250 ms; views are built only on change",
			costAt("control-cpu", cellMembers), "µs/s", limitCPU, "fitted: control-cpu",
		},
		{
			"every daemon", "memory of the cell's bundle", "a daemon holds only its cell's part",
			costAt("bundle-memory", upstreamsPerCell), "B", limitMemory, "fitted: bundle-memory; parts by cell aren't implemented yet",
		},
		{
			"every daemon", "time to put a cell's part in force", "checked, then replaced as a whole",
			nearestCost("bundle-time", upstreamsPerCell), "ms", 7000, "measured: bundle-time",
		},
	}
}

// flowRows returns the costs of flows for the daemons that decide for them and hold their records.
func flowRows(costAt func(name string, size float64) float64) []Row {
	flows := float64(flowsPerCell) * copiesPerFlow / cellMembers
	placements := float64(newFlowsPerCell)
	decideCost := costAt("decide", flows)
	moved := flows / copiesPerFlow * (float64(restartsPerDay) + failuresPerDay) / fleetDaemons / daySeconds * cellMembers
	return []Row{
		{
			"home, backup, replicas", "flow records", "owner and one replica in each of three zones",
			flows, "records", 0, "worked out; 3 zones per cell assumed",
		},
		{
			"home, backup, replicas", "memory of records", "open addressing over chunks of 72-byte entries",
			costAt("flow-memory", flows), "B", 0, "fitted: flow-memory",
		},
		{
			"home, backup, replicas", "control bytes for new flows", "the first packet itself carries the record",
			0, "B/s", limitBytes, "by design; counted by tests",
		},
		{
			"home, backup, replicas", "records told after restarts and failures, mean", "paced sweeps; each flow of a changed member once",
			moved * replicationBytes, "B/s", 0, "worked out: restarts and failures of a cell",
		},
		{
			"ingress and home", "processor time of packets, one packet a second and flow", "ranking and one lookup",
			(decideCost + costAt("rank", cellMembers)) * 2 * fleetFlows * packetsPerFlow / fleetDaemons / 1000, "µs/s", 0,
			"fitted: decide, rank; packets per flow assumed",
		},
		{
			"placer (one daemon for each service)", "processor time if it has all services of its cell",
			"fewest flows per slot in the cell",
			placements * costAt("place", upstreamsPerCell) / 1000, "µs/s", 0, "fitted: place",
		},
	}
}

// platformRows returns the costs for the platform and its operators.
func platformRows(costAt func(name string, size float64) float64) []Row {
	return []Row{
		{
			"operator's command", "size of the whole bundle", "currently one object of at most 1 MiB",
			costAt("bundle-size", fleetUpstreams), "B", 1 << 20, "fitted: bundle-size",
		},
		{
			"operator's command", "time to check the whole bundle", "all findings in one pass",
			costAt("bundle-time", fleetUpstreams), "ms", 7000, "measured: bundle-time",
		},
		{
			"platform", "watches", "two watchers per zone of a cell; long polls that end after 10 s",
			fleetCells * watchersPerCell / 10.0, "calls/s", 2000, "worked out",
		},
		{
			"platform", "reads after a change that concerns all cells", "only watchers read; other members fetch bundles from peers",
			fleetCells * watchersPerCell, "calls", 2000 * 7, "worked out: 7 s at 2000 reads per second",
		},
		{
			"platform", "reads of the list of hosts", "each daemon once per minute when it knows other members",
			fleetDaemons / 60.0, "calls/s", 2000, "worked out",
		},
		{
			"platform", "writes", "one for each change",
			changesPerDay / daySeconds, "calls/s", 300, "worked out",
		},
	}
}
