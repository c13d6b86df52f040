package peer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Bounds of a ClassReport.
const (
	// MaxClasses bounds ClassReport.Classes.
	MaxClasses = 64
	// PhaseSteps is the number of values of ClassReport.Phase.
	PhaseSteps = 1 << 16
	// MaxClassPriority bounds ClassLoad.Priority.
	MaxClassPriority = 255
)

// ClassReport holds what daemons count by class of new flows.
type ClassReport struct {
	_    struct{} `cbor:",toarray"`
	From ID
	// Zone is the sender's.
	Zone bundle.Zone
	// IsSum says that the report comes from the zone's store reader to its members.
	IsSum bool
	// Classes are the counts of the sender and its children in the report tree, of the whole zone if
	// the report is for another zone's store reader, or of all zones that the sender reaches if IsSum
	// is set.
	Classes []ClassLoad
	// Phase is the position of the rotation of callers, if IsSum is set.
	Phase    uint16
	Sequence uint64
}

// ClassLoad holds the counts of one class in one window.
type ClassLoad struct {
	_       struct{} `cbor:",toarray"`
	Service string

	Priority, Offered, Admitted, Requests, Answered, BusyMillis uint32
}

// Check returns ErrMessage if the report is invalid or exceeds a bound. It limits each class's
// BusyMillis to what its answered requests can account for.
func (r *ClassReport) Check() error {
	if r.From == 0 || r.Zone == "" || len(r.Classes) > MaxClasses {
		return ErrMessage
	}
	for i := range r.Classes {
		if !r.Classes[i].valid() {
			return ErrMessage
		}
		r.Classes[i].limitBusy()
	}
	return nil
}

func (l *ClassLoad) valid() bool { return l.Service != "" && l.Priority <= MaxClassPriority }

// maxBusyMillis bounds the mean time of an answered request at its upstream, in milliseconds. It
// bounds the error that a daemon with wrong counts adds to a service's utilization. It is far above
// the objectives of the users' routes, of 400 ms and 500 ms.
const maxBusyMillis = 2000

func (l *ClassLoad) limitBusy() {
	l.BusyMillis = uint32(min(uint64(l.BusyMillis), uint64(l.Answered)*maxBusyMillis))
}

// SumClassReports adds up the counts of several daemons or zones, within the bounds of a report.
// Invalid classes are left out: the receiver would refuse the whole report for one of them.
func SumClassReports(from ID, zone bundle.Zone, reports []*ClassReport) *ClassReport {
	sums := make(map[classKey]ClassLoad)
	for _, r := range reports {
		addClasses(sums, r.Classes)
	}
	kept := retentionOrder(sums)
	kept = kept[:min(len(kept), MaxClasses)]
	slices.SortFunc(kept, compareClasses)
	out := &ClassReport{From: from, Zone: zone}
	for _, k := range kept {
		out.Classes = append(out.Classes, sums[k])
	}
	return out
}

// classKey identifies a class.
type classKey struct {
	service  string
	priority uint32
}

func (l *ClassLoad) key() classKey { return classKey{service: l.Service, priority: l.Priority} }

func compareClasses(a, b classKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.priority, b.priority))
}

// addClasses adds the valid classes of a list to sums.
func addClasses(sums map[classKey]ClassLoad, list []ClassLoad) {
	for i := range list {
		if l := &list[i]; l.valid() {
			sums[l.key()] = l.add(sums[l.key()])
		}
	}
}

// retentionOrder returns the classes in the order in which they are kept in a message that can't
// hold all of them: those with the most offered flows first, but never a less urgent class before a
// more urgent one of the same service.
func retentionOrder(sums map[classKey]ClassLoad) []classKey {
	keys := slices.SortedFunc(maps.Keys(sums), compareClasses)
	// A class ranks by the most offered flows of itself and the less urgent classes of its service.
	rank := make(map[classKey]uint32, len(keys))
	for i, k := range slices.Backward(keys) {
		rank[k] = sums[k].Offered
		if i+1 < len(keys) && keys[i+1].service == k.service {
			rank[k] = max(rank[k], rank[keys[i+1]])
		}
	}
	slices.SortStableFunc(keys, func(a, b classKey) int { return cmp.Compare(rank[b], rank[a]) })
	return keys
}

func (l *ClassLoad) add(o ClassLoad) ClassLoad {
	return ClassLoad{
		Service: l.Service, Priority: l.Priority,
		Offered: addCapped(l.Offered, o.Offered), Admitted: addCapped(l.Admitted, o.Admitted),
		Requests: addCapped(l.Requests, o.Requests), Answered: addCapped(l.Answered, o.Answered),
		BusyMillis: addCapped(l.BusyMillis, o.BusyMillis),
	}
}

// addCapped adds two counts. It returns the largest value instead of wrapping around, which would
// make a service with wrong counts look idle.
func addCapped(a, b uint32) uint32 { return uint32(min(uint64(a)+uint64(b), math.MaxUint32)) }
