package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Evacuator starts and ends evacuations of zones.
type Evacuator struct {
	// Evacuations has one marker for each evacuated zone.
	Evacuations   objects.Markers
	Registrations objects.ListWatcher[registry.Registration]
}

// UnknownZoneError is returned for a zone in which no upstream is registered.
type UnknownZoneError struct {
	Zone  bundle.Zone
	Known []bundle.Zone
}

// Error implements error.
func (e *UnknownZoneError) Error() string {
	known := make([]string, 0, len(e.Known))
	for _, z := range e.Known {
		known = append(known, string(z))
	}
	return fmt.Sprintf("ZONE: %q has no upstream; zones with upstreams: %s", e.Zone, strings.Join(known, ", "))
}

// zoneRetryDelay is the time between two attempts of a call to the store.
const zoneRetryDelay = 300 * time.Millisecond

// Evacuate evacuates a zone, so that the zone gets no new flows. It retries until the store has answered or ctx
// ends, and reports true if the zone wasn't evacuated before. It returns an UnknownZoneError for a zone without
// registered upstreams: if a mistyped name counted as success, the intended zone would be switched off while
// it still has flows.
func (e *Evacuator) Evacuate(ctx context.Context, zone bundle.Zone) (bool, error) {
	known, err := e.registeredZones(ctx)
	if err != nil {
		return false, err
	}
	if !slices.Contains(known, zone) {
		return false, &UnknownZoneError{Zone: zone, Known: known}
	}
	return retry(ctx, objects.ErrConflict, func() error { return e.Evacuations.Create(ctx, string(zone)) })
}

// EndEvacuation ends the evacuation of a zone, so that the zone gets new flows again. It retries like Evacuate and
// reports whether the zone was evacuated. It accepts a zone without registered upstreams: they may all have been
// deregistered in the meantime.
func (e *Evacuator) EndEvacuation(ctx context.Context, zone bundle.Zone) (bool, error) {
	return retry(ctx, objects.ErrNotFound, func() error { return e.Evacuations.Delete(ctx, string(zone)) })
}

// registeredZones returns the zones in which upstreams are registered, sorted and without duplicates.
func (e *Evacuator) registeredZones(ctx context.Context) ([]bundle.Zone, error) {
	var out []bundle.Zone
	for list := objects.NewListing[registry.Registration](false); !list.Done(); {
		var p objects.Page[registry.Registration]
		if _, err := retry(ctx, nil, func() (err error) {
			p, err = e.Registrations.List(ctx, list.Next())
			return err
		}); err != nil {
			return nil, err
		}
		if err := list.Add(p); err != nil {
			return nil, err
		}
		for i := range p.Objects {
			if o := &p.Objects[i]; o.Err == nil {
				out = append(out, o.Value.Zone)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// retry repeats a call until it succeeds, returns errNoChange or ctx ends. It reports true for success and false
// for errNoChange, which means that there was nothing to change. errNoChange may be nil.
func retry(ctx context.Context, errNoChange error, call func() error) (bool, error) {
	for {
		err := call()
		switch {
		case err == nil:
			return true, nil
		case errNoChange != nil && eris.Is(err, errNoChange):
			return false, nil
		}
		select {
		case <-ctx.Done():
			return false, eris.Wrap(err, "zone: evacuation not changed in time")
		case <-time.After(zoneRetryDelay):
		}
	}
}
