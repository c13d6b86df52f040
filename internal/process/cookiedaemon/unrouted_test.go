package cookiedaemon

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Guards against a host that ends open flows by a table that isn't known to be the newest: it can't use the newest one, or
// another host has it already.
func TestOpenFlowEndsOnlyByTheNewestTable(t *testing.T) {
	good := objects.Object[bundle.Accepted]{Name: "v", Value: bundle.Accepted{Version: 2, Bundle: &bundle.Bundle{}}}
	bad := objects.Object[bundle.Accepted]{Name: "v", Err: eris.New("can't be read")}
	for name, tc := range map[string]struct {
		read   []objects.Object[bundle.Accepted]
		member bundle.Version
		ended  int
	}{
		"the table in force is the newest":            {ended: 1},
		"the newest one can't be read":                {read: []objects.Object[bundle.Accepted]{bad}},
		"one after that came into force":              {read: []objects.Object[bundle.Accepted]{bad, good}, ended: 1},
		"another host has a newer one":                {member: 2},
		"another host has the same one":               {member: 1, ended: 1},
		"another host had a newer one, now in force":  {member: 2, read: []objects.Object[bundle.Accepted]{good}, ended: 1},
		"another host has one newer than those known": {member: 3, read: []objects.Object[bundle.Accepted]{good}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			d := &Daemon{
				state: storeState{catalog: registry.NewCatalog()}, start: newStartup(now, false),
				engine: cookie.NewEngine(cookie.Options{Zone: "a", Policy: upstream.NewZoneAware("a", upstream.DefaultChoices)}),
			}
			d.cfg.Store(&settings.Cookie{})
			first := objects.Object[bundle.Accepted]{Name: "v", Value: bundle.Accepted{Version: 1, Bundle: &bundle.Bundle{
				Services: []bundle.Service{{Name: "feed", Registered: true, Connections: 9}},
			}}}
			d.listBundles(objects.Snapshot[bundle.Accepted]{Objects: []objects.Object[bundle.Accepted]{first}, AsOf: 1}, now)
			registration := registry.Registration{
				ID: 7, Service: "feed", Zone: "a", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:8080"), Revision: 1, Created: 1,
			}
			d.engine.Update([]registry.Change{{Registration: registration}}, now)
			packet := cookie.Packet{
				Key:   cookie.Key{CallerIP: [4]byte{100, 64, 0, 1}, CallerPort: 9, ServiceIP: [4]byte{198, 18, 0, 1}, ServicePort: 443},
				Flags: cookie.FlagACK, Cookie: cookie.Of(registration.ID), Length: 1,
			}
			g.Expect(d.engine.Decide(&packet, now).Action).To(Equal(cookie.ActionForward))
			var changes objects.Changes[bundle.Accepted]
			for _, o := range tc.read {
				changes.List = append(changes.List, objects.Change[bundle.Accepted]{Object: o})
			}
			changes.AsOf = 2
			d.changeBundles(changes, now)
			ended := 0
			for range 10 {
				now = now.Add(sweepPeriod)
				d.noteNewerBundle(tc.member, now)
				d.changeBundles(objects.Changes[bundle.Accepted]{AsOf: 2}, now)
				ended += len(d.engine.EndUnrouted())
			}
			g.Expect(ended).To(Equal(tc.ended))
		})
	}
}
