package status

import (
	"fmt"
	"io"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// EvacuationStatus is a zone that is evacuated.
type EvacuationStatus struct {
	Zone bundle.Zone
	// Since is when this daemon was told.
	Since time.Time
	// Flows are those that are still open there, as far as they pass this daemon.
	Flows int
}

// WriteEvacuationMetrics writes evacuated zones as metrics.
func WriteEvacuationMetrics(w io.Writer, zones []EvacuationStatus) {
	for _, e := range zones {
		fmt.Fprintf(w, "fescueshed_zone_evacuated{zone=%q} 1\n", e.Zone)
		fmt.Fprintf(w, "fescueshed_evacuated_zone_flows{zone=%q} %d\n", e.Zone, e.Flows)
	}
}
