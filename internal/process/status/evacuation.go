package status

import (
	"fmt"
	"io"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// EvacuationStatus is the state of an evacuated zone.
type EvacuationStatus struct {
	Zone bundle.Zone
	// Since is when this daemon learned of the evacuation.
	Since time.Time
	// Flows counts the flows through this daemon that are still open in the zone.
	Flows int
}

// WriteEvacuationMetrics writes metrics of evacuated zones in Prometheus text format.
func WriteEvacuationMetrics(w io.Writer, zones []EvacuationStatus) {
	for _, e := range zones {
		fmt.Fprintf(w, "fescueshed_zone_evacuated{zone=%q} 1\n", e.Zone)
		fmt.Fprintf(w, "fescueshed_evacuated_zone_flows{zone=%q} %d\n", e.Zone, e.Flows)
	}
}
