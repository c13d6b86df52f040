package carrier

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

const (
	// pullTimeout is how long the answer of another daemon that is asked for everything may take to
	// begin.
	pullTimeout = time.Second
	// pullPause and urgentPause are the least times between two. A member that is told
	// different lists by two readers would else fill the link of a small host.
	pullPause   = 500 * time.Millisecond
	urgentPause = 100 * time.Millisecond
	// minTold is how many others that start are told everything at once by a small host, and
	// toldByCore by one with a whole core. A list of 3000 upstreams is 150 KB; a hundred hosts that
	// start together would fill a small host's link of 20 Mbit/s for seconds, and a large one has
	// ten times as much. Those that are turned away ask again or read the store.
	minTold    = 4
	toldByCore = 64
	// codeBusy is the code of the error that says so, of those that JSON-RPC 2.0
	// leaves to the application.
	codeBusy = 1
)

// pull fetches everything from another daemon, one at a time. A list that differs
// can wait longer than a new bundle: the store's readers differ for moments.
func (m *members) pull(from netip.AddrPort, urgent bool) {
	if !m.pulling.CompareAndSwap(false, true) {
		return
	}
	m.wg.Go(func() {
		defer m.pulling.Store(false)
		if err := m.fetch(from, pullTimeout); err != nil {
			klog.V(1).InfoS("Catalog not fetched", "From", from, "Error", err)
		}
		pause := pullPause/2 + rand.N(pullPause)
		if urgent {
			pause = urgentPause
		}
		sleep(m.ctx, pause)
	})
}

// fetch asks another daemon for what this one lacks: a newer bundle, changed
// upstreams, members, and upstreams that went.
func (m *members) fetch(from netip.AddrPort, timeout time.Duration) error {
	sent := time.Now()
	c := m.c
	c.mu.Lock()
	params := peer.CatalogParams{AsOf: c.known.catalog.AsOf, Digest: c.known.catalog.Digest(), Whole: c.known.lacksWholeList}
	if !c.known.lacksWholeBundle {
		params.Version = c.known.history.Current().Version
	}
	c.mu.Unlock()
	params.Joining = sent.Sub(c.started) < JoinedAfter
	if !c.start.ready.happened() {
		params.Zone = c.cfg.Load().Zone
	}
	m.mu.Lock()
	params.MembersDigest = m.group.Digest()
	m.mu.Unlock()
	got, err := m.askCatalog(from, params, timeout)
	if err != nil {
		return err
	}
	now := time.Now()
	m.do(func(g *peer.Membership) []peer.Envelope {
		g.Merge(now, got.Members)
		return nil
	})
	if len(got.Update) > 0 {
		u, err := got.Update.Unpack()
		if err != nil {
			return err
		}
		c.takeUpdate(u, bundleSource{source: "Peer", name: from.String(), age: got.Age})
	}
	c.data.resets(c.takeCatalog(got, sent.Add(-got.Age), now))
	m.tellNews(now)
	c.mu.Lock()
	origin := c.origin
	c.mu.Unlock()
	m.passNews(origin, now)
	return nil
}

// askCatalog asks another daemon for a catalog. An answer that stops in the middle is logged with how
// much of it had come: that has to come once more, over a link that may be what stopped it.
func (m *members) askCatalog(from netip.AddrPort, params peer.CatalogParams, timeout time.Duration) (*peer.Catalog, error) {
	began := time.Now()
	sealed, t, err := peer.CallRPC[[]byte](
		m.ctx, from, peer.RPC{Method: peer.MethodCatalog, Params: params},
		transfer.Limits{FirstByteTimeout: timeout, StallTimeout: min(timeout, transfer.DefaultStallTimeout)}, &m.pulls,
	)
	if err != nil && t.Bytes() > 0 {
		m.logBrokenOff(from, t.Bytes(), time.Since(began), err)
	}
	if err != nil {
		return nil, err
	}
	return m.catalog.Decode(sealed)
}

// pullLines is how many lines a second tell of fetches that broke off.
const pullLines = 2

func (m *members) logBrokenOff(from netip.AddrPort, got uint64, after time.Duration, err error) {
	m.mu.Lock()
	left, ok := m.pullLines.Allow(time.Now())
	m.mu.Unlock()
	if ok {
		klog.InfoS("Catalog broke off", "From", from, "After", after, "Bytes", got, "Error", err.Error(), "LeftOut", left)
	}
}

// takeCatalog takes in a list that another daemon knew as of a time. It returns resets for
// flows that ended by it.
func (c *Carrier) takeCatalog(got *peer.Catalog, as, now time.Time) []cookie.Reset {
	version := c.inForce.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engine.LearnDeregisteredDead(got.Deregistered, now)
	if got.AsOf.Epoch() < c.known.epoch {
		return nil // It is of a store that is no longer.
	}
	c.seeEpoch(got.AsOf, "Peer", now)
	if got.Complete {
		c.takeEvacuations(got.Evacuated, bundleSource{source: "Peer", age: now.Sub(as)}, now)
		c.confirmEvacuations(as)
	}
	if got.Complete && got.Version <= version {
		c.confirmBundleAt(as, got.BundleAsOf)
	}
	if got.AsOf < c.known.catalog.AsOf || !got.HasRegistrations && !got.HasChanges {
		return c.takeHeldBack(&got.Held, now)
	}
	c.known.catalog.SuspectRemovalsFor(got.SuspicionPeriod, now)
	changed := c.changeList(func() bool {
		if got.HasRegistrations {
			return c.known.catalog.Replace(got.Registrations, got.AsOf, now)
		}
		return c.known.catalog.Apply(got.Changes, got.AsOf, now)
	})
	var resets []cookie.Reset
	if changed {
		resets = c.follow(now)
	}
	resets = append(resets, c.takeHeldBack(&got.Held, now)...)
	// Changes may not have led to the sender's list: entries of the same revision that
	// only one of the two has. Then the whole list is asked for next.
	c.known.lacksWholeList = got.HasChanges && got.Digest != c.known.catalog.Digest()
	if c.known.lacksWholeList {
		return resets
	}
	c.confirmList(as)
	if got.Complete && got.Version <= version {
		c.reading.Received(as, false)
	}
	return resets
}

// takeHeldBack takes over what another daemon goes by in place of what the store says. It returns resets for flows that
// ended by it. c.mu is held.
func (c *Carrier) takeHeldBack(h *peer.HeldContent, now time.Time) []cookie.Reset {
	before := c.known.evacuated.Zones()
	if c.known.evacuated.HoldZones(h.Zones, h.ZonesFor, now) {
		c.putEvacuations(before, bundleSource{source: "Peer"}, now)
	}
	if c.known.catalog.HoldEntries(h.Upstreams, h.UpstreamsFor, now) {
		return c.follow(now)
	}
	return nil
}

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
	if params.Joining {
		select {
		case m.telling <- struct{}{}:
			defer func() { <-m.telling }()
		default:
			return nil, &jsonrpc2.Error{Code: codeBusy, Message: "others are told already"}
		}
	}
	out, update := m.c.tell(params)
	if params.Joining {
		out.Members = m.toldMembers(&params)
	}
	if update != nil {
		var err error
		if out.Update, err = m.packer.Pack(update); err != nil {
			return nil, err
		}
	}
	sealed, err := m.catalog.Encode(out)
	return sealed, eris.Wrap(err, "catalog")
}

// toldMembers returns the members that one which joins is told of.
func (m *members) toldMembers(params *peer.CatalogParams) []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case params.Zone != "":
		return append(m.group.BootstrapMembers(params.Zone, 0), m.group.Self())
	case m.group.Digest() != params.MembersDigest:
		return m.group.Members()
	}
	return nil
}

// tell returns what this daemon knows and the asker doesn't, and what leads to the bundle in force
// from the asker's, nil if it has that. The latter is yet to be packed: that takes too long for
// packets to wait.
func (c *Carrier) tell(params peer.CatalogParams) (*peer.Catalog, *bundle.Update) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &peer.Catalog{
		Version: c.known.history.Current().Version, BundleAsOf: c.known.bundleAsOf, Evacuated: c.known.evacuated.Stored,
	}
	var update *bundle.Update
	if out.Version > params.Version {
		update = c.known.history.Since(params.Version)
	}
	if params.Joining {
		out.Deregistered = c.engine.DeregisteredDead()
	}
	out.AsOf, out.Digest = c.known.catalog.AsOf, c.known.catalog.Digest()
	out.SuspicionPeriod = c.known.catalog.RemovalSuspicion(now)
	known := c.known.confirmedAll()
	if known.IsZero() {
		return out, update
	}
	out.Complete, out.Age = true, now.Sub(known)
	if params.Joining {
		out.Held.Upstreams, out.Held.UpstreamsFor = c.known.catalog.HeldEntries(now)
		out.Held.Zones, out.Held.ZonesFor = c.known.evacuated.HeldZones(now)
		out.Changes = c.known.catalog.LastKnown()
		out.HasChanges = len(out.Changes) > 0
	}
	if params.AsOf == out.AsOf && params.Digest == c.known.catalog.Digest() || params.AsOf > out.AsOf {
		return out, update
	}
	out.HasChanges = false
	if !params.Whole {
		changes, ok := c.known.catalog.Since(params.AsOf)
		out.Changes, out.HasChanges = append(out.Changes, changes...), ok
	}
	if !out.HasChanges {
		out.HasRegistrations = true
		out.Registrations = c.known.catalog.List()
	}
	return out, update
}
