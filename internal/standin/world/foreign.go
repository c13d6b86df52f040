package world

import (
	"fmt"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// foreignBodies are what other writers leave in place of an upstream's entry, around its
// name: other types, missing fields, unknown words, bytes that aren't text.
var foreignBodies = []string{
	`{"meta":{"name":%q,"revision":%d,"created":1},"spec":null}`,
	`{"meta":{"name":%q,"revision":%d,"created":1},"spec":"not an entry"}`,
	`{"meta":{"name":%q,"revision":%d,"created":1},"spec":{"state":"ready"}}`,
	`{"meta":{"name":%q,"revision":%d,"created":1},"spec":{"service":"feed","address":"127.0.0.9:9","zone":"zone-1",` +
		`"version":"v1","concurrencyLimit":1,"state":"frozen","warmupLeftMs":0,"sequence":1}}`,
	`{"meta":{"name":%q,"revision":%d,"created":1},"spec":{"service":5,"address":[],"zone":{},"state":true}}`,
	"{\"meta\":{\"name\":%q,\"revision\":%d,\"created\":1},\"spec\":{\"service\":\"\xff\xfe\"}}",
}

// ReplaceEntries lets another writer replace the entries of so many upstreams, and put as
// many of its own beside them. It returns the names of those that it replaced, and what
// makes their upstreams write them again.
func (w *World) ReplaceEntries(n int) (names []string, restore func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = min(n, len(w.servers))
	replaced := make([]*Server, 0, n)
	for _, i := range w.rng.Perm(len(w.servers))[:n] {
		s := w.servers[i]
		name := metadata.EntryName(s.ID)
		body := foreignBodies[w.rng.IntN(len(foreignBodies))]
		w.Store.PutForeign(wire.KindServers, name, func(revision uint64) string { return fmt.Sprintf(body, name, revision) })
		w.Store.PutForeign(wire.KindServers, "other-"+name, func(uint64) string { return `{"meta":17}` })
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
