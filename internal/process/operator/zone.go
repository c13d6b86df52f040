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

// Evacuator evacuates zones and takes them back.
type Evacuator struct {
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

// zonePause is the time between two tries of a call.
const zonePause = 300 * time.Millisecond

// Evacuate asks that no new flow enters a zone. It tries until the store has answered or ctx ends, and
// reports whether the zone wasn't evacuated before. A name that is mistyped must not pass for done:
// the zone that was meant would be switched off full of flows.
func (z *Evacuator) Evacuate(ctx context.Context, zone bundle.Zone) (bool, error) {
	known, err := z.known(ctx)
	if err != nil {
		return false, err
	}
	if !slices.Contains(known, zone) {
		return false, &UnknownZoneError{Zone: zone, Known: known}
	}
	return try(ctx, objects.ErrConflict, func() error { return z.Evacuations.Create(ctx, string(zone)) })
}

// EndEvacuation lets new flows enter a zone again. It reports whether the zone was evacuated. A zone without upstreams can
// be taken back: they may all have gone meanwhile.
func (z *Evacuator) EndEvacuation(ctx context.Context, zone bundle.Zone) (bool, error) {
	return try(ctx, objects.ErrNotFound, func() error { return z.Evacuations.Delete(ctx, string(zone)) })
}

// known returns the zones in which upstreams are registered, in order.
func (z *Evacuator) known(ctx context.Context) ([]bundle.Zone, error) {
	var out []bundle.Zone
	for list := objects.NewListing[registry.Registration](false); !list.Done(); {
		var p objects.Page[registry.Registration]
		if _, err := try(ctx, nil, func() (err error) {
			p, err = z.Registrations.List(ctx, list.Next())
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

// try makes a call until it is answered. It reports true for success and false for an error that says
// that there was nothing to do.
func try(ctx context.Context, nothing error, call func() error) (bool, error) {
	for {
		err := call()
		switch {
		case err == nil:
			return true, nil
		case nothing != nil && eris.Is(err, nothing):
			return false, nil
		}
		select {
		case <-ctx.Done():
			return false, eris.Wrap(err, "zone")
		case <-time.After(zonePause):
		}
	}
}
