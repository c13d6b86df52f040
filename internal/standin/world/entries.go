package world

import (
	"net/netip"
	"strings"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// invalidSpecs are invalid contents that other writers leave in place of an upstream's entry: wrong types,
// missing fields, an unknown state, bytes that aren't UTF-8, nesting that no parser takes, content whose end is unknown.
var invalidSpecs = []string{
	`null`,
	`"not an entry"`,
	`{"state":"ready"}`,
	metadata.EncodeSpec(&wire.Server{
		Service: ServiceFeed, Address: netip.MustParseAddrPort("127.0.0.9:9"), Zone: "zone-1", Version: "v1",
		ConcurrencyLimit: 1, State: "frozen",
	}),
	`{"service":5,"address":[],"zone":{},"state":true}`,
	"{\"service\":\"\xff\xfe\"}",
	`{"service":` + nested(9997) + `}`,
	nested(300_000),
	`{"service":"fe`,
	`[{]`,
}

// nested returns a list that is nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// ReplaceEntries replaces the entries of n upstreams by invalid ones, as another writer could, and adds as many
// unusable entries of other names. It returns the names of the replaced entries and a function that makes their
// upstreams write them again.
func (w *World) ReplaceEntries(n int) (names []string, restore func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = min(n, len(w.upstreams))
	replaced := make([]*Upstream, 0, n)
	for _, i := range w.rng.Perm(len(w.upstreams))[:n] {
		s := w.upstreams[i]
		name := metadata.EntryName(s.ID)
		spec := invalidSpecs[w.rng.IntN(len(invalidSpecs))]
		w.Store.PutSpec(wire.KindServers, name, spec)
		w.Store.PutSpec(wire.KindServers, "other-"+name, spec)
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

// EntryNames returns the names of the store's entries of all upstreams.
func (w *World) EntryNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.upstreams))
	for _, s := range w.upstreams {
		names = append(names, metadata.EntryName(s.ID))
	}
	return names
}

// CopyEntries stores a copy of each upstream's entry under another name, as a tool that keeps backups could, with the given
// state. The returned function deletes the copies.
func (w *World) CopyEntries(state string) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.upstreams))
	for _, s := range w.upstreams {
		name := "backup-" + metadata.EntryName(s.ID)
		w.Store.Put(wire.KindServers, name, &wire.Server{
			Service: s.Service, Address: s.Address, Zone: string(s.Zone), Version: "v1", ConcurrencyLimit: s.Slots, State: state,
		})
		names = append(names, name)
	}
	return func() {
		for _, name := range names {
			w.Store.Delete(wire.KindServers, name)
		}
	}
}
