package status

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// AdmissionStatus is the state of admission control for one service at one daemon.
type AdmissionStatus struct {
	Service string
	// Short is set while the service's capacity doesn't suffice for all callers, Since when that began.
	Short bool
	Since time.Time `json:",omitzero"`
	// Utilization is the mean number of requests per slot, waiting or being worked on.
	Utilization float64
	// Slots is the number of usable slots that Utilization refers to.
	Slots int
	// Age is the time since the last sum of all balancers' counts, in seconds.
	Age     float64
	Classes []ClassStatus
}

// ClassStatus is the state of the flows of a service that have the same priority. The counts are those
// of one daemon since its start.
type ClassStatus struct {
	// Priority is that of the routes; 0 is the most urgent.
	Priority int
	// Share is the share of the class's callers that are admitted, from 0 to 1.
	Share float64
	// Offered counts new flows, Admitted and Refused how they were decided.
	Offered, Admitted, Refused uint64
	// Requests counts requests that started, Answered those whose answer began.
	Requests, Answered uint64
}

// WriteAdmissionMetrics writes metrics of admission control in Prometheus text format. Each class has
// three time series. Their number is bounded like that in the messages between daemons: of more than
// peer.MaxClasses classes, it leaves out the least urgent and counts them.
func WriteAdmissionMetrics(w io.Writer, services []AdmissionStatus) {
	type labeled struct {
		service *AdmissionStatus
		*ClassStatus
	}
	var classes []labeled
	for i := range services {
		for j := range services[i].Classes {
			classes = append(classes, labeled{&services[i], &services[i].Classes[j]})
		}
	}
	if len(classes) == 0 {
		return
	}
	slices.SortStableFunc(classes, func(a, b labeled) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.service.Service, b.service.Service))
	})
	written := make(map[*AdmissionStatus]bool)
	for _, k := range classes[:min(len(classes), peer.MaxClasses)] {
		s := k.service
		if !written[s] {
			written[s] = true
			fmt.Fprintf(w, "fescueshed_service_utilization{service=%q} %g\n", s.Service, s.Utilization)
			fmt.Fprintf(w, "fescueshed_service_short{service=%q} %d\n", s.Service, asNumber(s.Short))
		}
		labels := fmt.Sprintf("service=%q,priority=\"%d\"", s.Service, k.Priority)
		fmt.Fprintf(w, "fescueshed_admission_flows_total{%s,outcome=\"Admitted\"} %d\n", labels, k.Admitted)
		fmt.Fprintf(w, "fescueshed_admission_flows_total{%s,outcome=\"Refused\"} %d\n", labels, k.Refused)
		fmt.Fprintf(w, "fescueshed_admission_share{%s} %g\n", labels, k.Share)
	}
	fmt.Fprintf(w, "fescueshed_admission_classes_left_out %d\n", max(0, len(classes)-peer.MaxClasses))
}

// asNumber returns the value of a condition in Prometheus text format.
func asNumber(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ClassSummary is the state of a class in one zone, over the balancers of the zone that reported it.
type ClassSummary struct {
	Zone     bundle.Zone
	Service  string
	Priority int
	// Offered, Admitted and Refused are the sums of the balancers' counts since each one's start.
	Offered, Admitted, Refused uint64
	// LeastShare and MostShare are the lowest and the highest share at a balancer. They differ while
	// balancers know different sums.
	LeastShare, MostShare float64
	// Utilization is the highest at a balancer: one that is cut off from the others knows only its own
	// part of the load.
	Utilization float64
	// Short counts the balancers at which the service is short, Balancers all that reported the class.
	Short, Balancers int
	// ShortSince is when the shortage began at the first of these.
	ShortSince time.Time `json:",omitzero"`
}

// addAdmission adds the classes of one daemon to those of its zone.
func (s *Summary) addAdmission(d *Status) {
	for i := range d.Admission {
		a := &d.Admission[i]
		for j := range a.Classes {
			k := &a.Classes[j]
			sum := findOrAppend(&s.Admission, func(x *ClassSummary) bool {
				return x.Zone == d.Zone && x.Service == a.Service && x.Priority == k.Priority
			})
			if sum.Balancers == 0 {
				*sum = ClassSummary{Zone: d.Zone, Service: a.Service, Priority: k.Priority, LeastShare: k.Share, MostShare: k.Share}
			}
			sum.add(a, k)
		}
	}
}

func (s *ClassSummary) add(a *AdmissionStatus, k *ClassStatus) {
	s.Balancers++
	s.Offered += k.Offered
	s.Admitted += k.Admitted
	s.Refused += k.Refused
	s.LeastShare = min(s.LeastShare, k.Share)
	s.MostShare = max(s.MostShare, k.Share)
	s.Utilization = max(s.Utilization, a.Utilization)
	if !a.Short {
		return
	}
	s.Short++
	if a.Since.IsZero() {
		return // Short by the balancer's own observation alone.
	}
	if s.ShortSince.IsZero() || a.Since.Before(s.ShortSince) {
		s.ShortSince = a.Since
	}
}

func compareClasses(a, b ClassSummary) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}
