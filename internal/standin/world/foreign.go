package world

import (
	"fmt"
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// foreignSpecs are what other writers leave in place of an upstream's entry: other types,
// missing fields, a state that there isn't, bytes that aren't text.
var foreignSpecs = []string{
	`null`,
	`"not an entry"`,
	`{"state":"ready"}`,
	metadata.EncodeSpec(&wire.Server{
		Service: ServiceFeed, Address: netip.MustParseAddrPort("127.0.0.9:9"), Zone: "zone-1", Version: "v1",
		ConcurrencyLimit: 1, State: "frozen",
	}),
	`{"service":5,"address":[],"zone":{},"state":true}`,
	"{\"service\":\"\xff\xfe\"}",
}

// ReplaceEntries lets another writer replace the entries of so many upstreams, and put as
// many of its own beside them. It returns the names of those that it replaced, and what
// makes their upstreams write them again.
func (w *World) ReplaceEntries(n int) (names []string, restore func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = min(n, len(w.servers))
	replaced := make([]*Upstream, 0, n)
	for _, i := range w.rng.Perm(len(w.servers))[:n] {
		s := w.servers[i]
		name := metadata.EntryName(s.ID)
		spec := foreignSpecs[w.rng.IntN(len(foreignSpecs))]
		w.Store.PutRaw(wire.KindServers, name, func(revision uint64) string {
			return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d,"created":1},"spec":%s}`, name, revision, spec)
		})
		w.Store.PutRaw(wire.KindServers, "other-"+name, func(uint64) string { return `{"meta":17}` })
		names, replaced = append(names, name), append(replaced, s)
	}
	return names, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range replaced {
			if !s.crashed && s.Alive() {
				w.register(s)
			}
		}
	}
}
