// Package status defines the status that a daemon reports over HTTP, and what is computed
// from the statuses of several daemons: sums, load imbalance, and how fast services burn
// the error budget of their service-level objective.
package status

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Path is the URL path at which daemons serve their status.
const Path = "/status"

// Status is the status that a daemon reports.
type Status struct {
	Name    string
	Zone    bundle.Zone
	Version bundle.Version
	// Prepared and Approved name the operators who prepared and approved the bundle, if the bundle
	// names them.
	Prepared string
	Approved string
	Members  []MemberStatus
	// Flows counts flow records, including those that the daemon holds as a replica.
	Flows        int
	OpenRequests int
	Upstreams    []UpstreamStatus
	Drops        []DropStatus
	// Store is the state of the daemon's copy of the platform's store, or nil if it doesn't follow one.
	Store *StoreStatus `json:",omitempty"`
	// Evacuated are the zones to which this daemon sends no new flows.
	Evacuated []EvacuationStatus
	Requests  []RequestStatus
	// Admission is the state of admission control by service, sorted by name, or nil if it is switched off.
	Admission []AdmissionStatus `json:",omitempty"`
}

// StoreStatus is the state of a daemon's copy of the store's content.
type StoreStatus struct {
	// Epoch counts how often the store was restored from a snapshot. EpochSince is when this daemon learned of
	// the last restore, or zero if that was before its start.
	Epoch      objects.Epoch
	EpochSince time.Time
	Kinds      []StoreKindStatus
	// HeldOverOlder and HeldThoughMissing count upstreams that the daemon uses as they were registered before
	// a restore of the store, although the store now has an older entry for them (HeldOverOlder) or none
	// (HeldThoughMissing).
	HeldOverOlder, HeldThoughMissing int
}

// StoreKindStatus says how current a daemon's copy of one kind of objects is.
type StoreKindStatus struct {
	Kind string
	// AsOf is the epoch and the revision of the copy. Age is the time since the store confirmed that there is
	// nothing newer, in seconds.
	AsOf string
	Age  float64
}

// MemberStatus is the state of a member from the daemon's point of view.
type MemberStatus struct {
	Name  string
	Zone  bundle.Zone
	State string
}

// UpstreamStatus is an upstream with the flows and requests that this daemon has in progress there.
type UpstreamStatus struct {
	Service  string
	Name     string
	Zone     bundle.Zone
	Drain    bool
	Slots    int
	Flows    int64
	Requests int64
}

// DropStatus counts the packets that weren't forwarded for one cause.
type DropStatus struct {
	Cause   string
	Packets uint64
}

// RequestStatus counts the outcomes of a service's requests that this daemon has observed
// since its start.
type RequestStatus struct {
	Service string
	// InTime counts requests that were answered within the objective of their route, Late
	// those that were answered later.
	InTime, Late uint64
	// Failed counts requests that their caller gave up or that ended with a reset, Refused
	// those that weren't placed.
	Failed, Refused uint64
	// Unknown counts requests whose response this daemon didn't see: they failed, or routers
	// moved their flow to another daemon, which saw the response.
	Unknown uint64
}

// Handler returns a handler that serves the status from get as JSON.
func Handler(get func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(get()) // An error means that the client closed the connection.
	})
}

// Fetch requests the status of a daemon. address is its admin or metrics address.
func Fetch(ctx context.Context, address string) (*Status, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "status: create request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "status: send request")
	}
	defer func() { _ = resp.Body.Close() }() // The body was only read, so an error has no consequence.
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status: %s: HTTP status %s", address, resp.Status)
	}
	var s Status
	return &s, eris.Wrapf(json.NewDecoder(resp.Body).Decode(&s), "status: decode response of %s", address)
}
