// Package status is what a daemon tells of itself over HTTP, and what is made of the
// words of several: sums, imbalance, and how fast a service-level objective burns.
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

// Path is where daemons serve their status.
const Path = "/status"

// Status is what a daemon tells of itself.
type Status struct {
	Name    string
	Zone    bundle.Zone
	Version bundle.Version
	// Prepared and Approved are who signed the bundle, if it says so.
	Prepared string
	Approved string
	Members  []MemberStatus
	// Flows counts records, the ones kept as backup too.
	Flows        int
	OpenRequests int
	Upstreams    []UpstreamStatus
	Drops        []DropStatus
	// Store is what the daemon knows of the platform's store, nil if it follows none.
	Store *StoreStatus `json:",omitempty"`
	// Evacuated are the zones that get no new flow from this daemon.
	Evacuated []EvacuationStatus
	Requests  []RequestStatus
}

// StoreStatus is how a daemon knows the store's content.
type StoreStatus struct {
	// Epoch counts how often the store was restored from a snapshot, EpochSince is when this daemon heard of
	// the last time, zero if that was before its start.
	Epoch      objects.Epoch
	EpochSince time.Time
	Kinds      []StoreKindStatus
	// HeldOverOlder and HeldThoughMissing count upstreams that are used by what was known before that.
	HeldOverOlder, HeldThoughMissing int
}

// StoreKindStatus is as of when a kind of objects is known.
type StoreKindStatus struct {
	Kind string
	// AsOf is the epoch and the revision, Age how long ago the store confirmed that nothing is newer, in seconds.
	AsOf string
	Age  float64
}

// MemberStatus is a member as the daemon sees it.
type MemberStatus struct {
	Name  string
	Zone  bundle.Zone
	State string
}

// UpstreamStatus is an upstream with what this daemon has in progress there.
type UpstreamStatus struct {
	Service  string
	Name     string
	Zone     bundle.Zone
	Drain    bool
	Slots    int
	Flows    int64
	Requests int64
}

// DropStatus counts packets not passed on for one cause.
type DropStatus struct {
	Cause   string
	Packets uint64
}

// RequestStatus counts how requests of a service ended, as far as this daemon saw it
// since its start.
type RequestStatus struct {
	Service string
	// InTime and Late were answered within the objective of their route, or later.
	InTime, Late uint64
	// Failed were given up by their caller or ended by a reset, Refused weren't placed.
	Failed, Refused uint64
	// Unknown had no answer here: they failed, or routers moved their flow to another
	// daemon, which saw the answer.
	Unknown uint64
}

// Handler serves a status as JSON.
func Handler(get func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(get()) // The caller went away.
	})
}

// Fetch reads the status of the daemon whose admin or metrics address is given.
func Fetch(ctx context.Context, address string) (*Status, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	defer func() { _ = resp.Body.Close() }() // The answer was read.
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status: %s answered %s", address, resp.Status)
	}
	var s Status
	return &s, eris.Wrapf(json.NewDecoder(resp.Body).Decode(&s), "status: %s", address)
}
