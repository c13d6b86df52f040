package carrier

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

const (
	// newsSpan is how far back the changes in a news reach: three of its periods, so
	// that two lost datagrams in a row cost nothing.
	newsSpan = 3 * sweepPeriod
	// staleNews is how old the store's word may be for a daemon to pass it on.
	staleNews = 1500 * time.Millisecond
	// pullTimeout bounds the fetching of everything from another daemon.
	pullTimeout = time.Second
	// pullPause is the least time between two, whatever the news say.
	pullPause = 100 * time.Millisecond
)

// tellNews tells the zone what this daemon read in the store, if it reads it.
func (m *members) tellNews(now time.Time) {
	v := m.view.Load()
	c := m.c
	c.mu.Lock()
	as := c.confirmed()
	if !c.reading.Reads(v.ReaderRank(), now) || now.Sub(as) > staleNews {
		c.mu.Unlock()
		return
	}
	n := &peer.News{
		From:    v.Self,
		Age:     now.Sub(as),
		AsOf:    c.catalog.AsOf,
		Digest:  c.catalog.Digest(),
		Changes: c.catalog.Recent(now.Add(-newsSpan), peer.MaxNewsChanges),
	}
	c.mu.Unlock()
	n.Bundle = c.inForce.Version()
	send(m, protocolNews, m.news, n, v.ZoneMembers())
}

// heardNews takes in what another daemon read in the store. If that doesn't lead to
// what the sender knows, everything is fetched from it.
func (m *members) heardNews(n *peer.News, now time.Time) {
	before := m.before(n.From)
	as := now.Add(-n.Age)
	c := m.c
	c.mu.Lock()
	c.reading.Heard(as, before)
	// Changes of an older state would bring back what went since.
	if n.AsOf >= c.catalog.AsOf && c.catalog.Len() > 0 && c.catalog.Apply(n.Changes, n.AsOf, now) {
		c.engine.SetUpstreams(c.catalog.List(), now)
	}
	same := n.AsOf <= c.catalog.AsOf && n.Digest == c.catalog.Digest()
	if same {
		c.confirmList(as)
	}
	behind := n.AsOf >= c.catalog.AsOf && !same
	c.mu.Unlock()
	if n.Bundle > c.inForce.Version() || behind {
		m.pull(n.From)
	}
}

// pull fetches everything from another daemon, one at a time.
func (m *members) pull(from peer.ID) {
	o := m.view.Load().Member(from)
	if o == nil || !m.pulling.CompareAndSwap(false, true) {
		return
	}
	m.wg.Go(func() {
		defer m.pulling.Store(false)
		if err := m.fetch(o); err != nil {
			klog.V(1).InfoS("Catalog not fetched", "From", o.Name, "Error", err)
		}
		select {
		case <-m.ctx.Done():
		case <-time.After(pullPause):
		}
	})
}

func (m *members) fetch(o *peer.Member) error {
	m.pulls.Add(1)
	ctx, cancel := context.WithTimeout(m.ctx, pullTimeout)
	defer cancel()
	sent := time.Now()
	c := m.c
	c.mu.Lock()
	params := peer.CatalogParams{AsOf: c.catalog.AsOf}
	c.mu.Unlock()
	params.Version = c.inForce.Version()
	sealed, err := peer.CallRPC[[]byte](ctx, o.RPC, peer.MethodCatalog, params)
	if err != nil {
		return err
	}
	got, err := m.catalog.Decode(sealed)
	if err != nil {
		return err
	}
	as := sent.Add(-got.Age)
	if got.Bundle != nil {
		c.takeBundle(got.Version, got.Bundle, "Peer", o.Name, got.Age)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if got.AsOf < c.catalog.AsOf {
		return nil // The list was read elsewhere meanwhile.
	}
	if c.catalog.Replace(got.Registrations, got.AsOf, now) {
		c.engine.SetUpstreams(c.catalog.List(), now)
	}
	c.confirmList(as)
	return nil
}

// errNothingKnown is the JSON-RPC code of a daemon that has nothing to tell, in
// the range that the specification leaves to servers.
const errNothingKnown = -32002

func (m *members) handleRPC(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != peer.MethodCatalog {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var params peer.CatalogParams
	if r.Params != nil {
		if err := json.Unmarshal(*r.Params, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	b, version := m.c.bundleInForce()
	if b == nil {
		return nil, &jsonrpc2.Error{Code: errNothingKnown, Message: "no bundle is in force here"}
	}
	out := &peer.Catalog{Version: version}
	if version > params.Version {
		out.Bundle = b
	}
	m.c.mu.Lock()
	out.AsOf = m.c.catalog.AsOf
	out.Registrations = m.c.catalog.List()
	out.Age = time.Since(m.c.confirmed())
	m.c.mu.Unlock()
	sealed, err := m.catalog.Encode(out)
	return sealed, eris.Wrap(err, "catalog")
}
