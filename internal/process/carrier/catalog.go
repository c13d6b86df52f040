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
	// minJoinSlots is how many others that start are told everything at once by a small host, and
	// toldByCore by one with a whole core. A list of 3000 upstreams is 150 KB; a hundred hosts that
	// start together would fill a small host's link of 20 Mbit/s for seconds, and a large one has
	// ten times as much. Those that are turned away ask again or read the store.
	minJoinSlots    = 4
	joinSlotsPerCore = 64
	// codeBusy is the code of the error that says so, of those that JSON-RPC 2.0
	// leaves to the application.
	codeBusy = 1
)

// pull fetches everything from another daemon, one at a time. A list that differs
// can wait longer than a new bundle: the store's readers differ for moments.
func (m *members) pull(from netip.AddrPort, urgent bool) {
	if !m.fetching.CompareAndSwap(false, true) {
		return
	}
	m.wg.Go(func() {
		defer m.fetching.Store(false)
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
	params := peer.CatalogParams{AsOf: c.state.catalog.AsOf, Digest: c.state.catalog.Digest(), Whole: c.state.needsWholeList}
	if !c.state.needsWholeBundle {
		params.Version = c.state.history.Now().Version
	}
	c.mu.Unlock()
	params.Joining = sent.Sub(c.started) < JoinDuration
	if !c.start.ready.isSet() {
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
	m.update(func(g *peer.Membership) []peer.Envelope {
		g.Learn(now, got.Members)
		return nil
	})
	if len(got.Update) > 0 {
		u, err := got.Update.Unpack()
		if err != nil {
			return err
		}
		c.applyUpdate(u, bundleSource{source: "Peer", name: from.String(), age: got.Age})
	}
	c.data.resets(c.applyCatalog(got, sent.Add(-got.Age), now))
	m.advertise(now)
	c.mu.Lock()
	origin := c.lastOrigin
	c.mu.Unlock()
	m.relayAdvertisement(origin, now)
	return nil
}

// askCatalog asks another daemon for a catalog. An answer that stops in the middle is logged with how
// much of it had come: that has to come once more, over a link that may be what stopped it.
func (m *members) askCatalog(from netip.AddrPort, params peer.CatalogParams, timeout time.Duration) (*peer.Catalog, error) {
	began := time.Now()
	sealed, t, err := peer.CallRPC[[]byte](
		m.ctx, from, peer.RPC{Method: peer.MethodCatalog, Params: params},
		transfer.Limits{Begin: timeout, Stall: min(timeout, transfer.DefaultStall)}, &m.pulls,
	)
	if err != nil && t.Bytes() > 0 {
		m.logIncomplete(from, t.Bytes(), time.Since(began), err)
	}
	if err != nil {
		return nil, err
	}
	return m.catalog.Decode(sealed)
}

// pullLines is how many lines a second tell of fetches that broke off.
const pullLines = 2

func (m *members) logIncomplete(from netip.AddrPort, got uint64, after time.Duration, err error) {
	m.mu.Lock()
	left, ok := m.pullLines.Allow(time.Now())
	m.mu.Unlock()
	if ok {
		klog.InfoS("Catalog broke off", "From", from, "After", after, "Bytes", got, "Error", err.Error(), "LeftOut", left)
	}
}

// applyCatalog takes in a list that another daemon knew as of a time. It returns resets for
// flows that ended by it.
func (c *Carrier) applyCatalog(got *peer.Catalog, as, now time.Time) []cookie.Reset {
	version := c.inForce.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engine.LearnGone(got.Gone, now)
	if got.AsOf.Epoch() < c.state.epoch {
		return nil // It is of a store that is no longer.
	}
	c.observeEpoch(got.AsOf, "Peer", now)
	if got.Known {
		c.applyEvacuations(got.Evacuated, bundleSource{source: "Peer", age: now.Sub(as)}, now)
		c.confirmEvacuations(as)
	}
	if got.Known && got.Version <= version {
		c.confirmBundleAt(as, got.BundleAsOf)
	}
	if got.AsOf < c.state.catalog.AsOf || !got.Listed && !got.Changed {
		return c.applyHeldBack(&got.Held, now)
	}
	c.state.catalog.DoubtFor(got.Doubt, now)
	changed := c.changeCatalog(func() bool {
		if got.Listed {
			return c.state.catalog.Replace(got.Registrations, got.AsOf, now)
		}
		return c.state.catalog.Apply(got.Changes, got.AsOf, now)
	})
	var resets []cookie.Reset
	if changed {
		resets = c.updateEngine(now)
	}
	resets = append(resets, c.applyHeldBack(&got.Held, now)...)
	// Changes may not have led to the sender's list: entries of the same revision that
	// only one of the two has. Then the whole list is asked for next.
	c.state.needsWholeList = got.Changed && got.Digest != c.state.catalog.Digest()
	if c.state.needsWholeList {
		return resets
	}
	c.confirmList(as)
	if got.Known && got.Version <= version {
		c.election.Heard(as, false)
	}
	return resets
}

// applyHeldBack takes over what another daemon goes by in place of what the store says. It returns resets for flows that
// ended by it. c.mu is held.
func (c *Carrier) applyHeldBack(h *peer.HeldBack, now time.Time) []cookie.Reset {
	before := c.state.evacuated.Zones()
	if c.state.evacuated.HoldBack(h.Zones, h.ZonesFor, now) {
		c.enforceEvacuations(before, bundleSource{source: "Peer"}, now)
	}
	if c.state.catalog.HoldBack(h.Upstreams, h.UpstreamsFor, now) {
		return c.updateEngine(now)
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
		case m.joinSlots <- struct{}{}:
			defer func() { <-m.joinSlots }()
		default:
			return nil, &jsonrpc2.Error{Code: codeBusy, Message: "others are told already"}
		}
	}
	out, update := m.c.catalogFor(params)
	if params.Joining {
		out.Members = m.membersFor(&params)
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

// membersFor returns the members that one which joins is told of.
func (m *members) membersFor(params *peer.CatalogParams) []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case params.Zone != "":
		return append(m.group.Introductions(params.Zone, 0), m.group.Self())
	case m.group.Digest() != params.MembersDigest:
		return m.group.Known()
	}
	return nil
}

// catalogFor returns what this daemon knows and the asker doesn't, and what leads to the bundle in force
// from the asker's, nil if it has that. The latter is yet to be packed: that takes too long for
// packets to wait.
func (c *Carrier) catalogFor(params peer.CatalogParams) (*peer.Catalog, *bundle.Update) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &peer.Catalog{
		Version: c.state.history.Now().Version, BundleAsOf: c.state.bundleAsOf, Evacuated: c.state.evacuated.Stored,
	}
	var update *bundle.Update
	if out.Version > params.Version {
		update = c.state.history.Since(params.Version)
	}
	if params.Joining {
		out.Gone = c.engine.Gone()
	}
	out.AsOf, out.Digest = c.state.catalog.AsOf, c.state.catalog.Digest()
	out.Doubt = c.state.catalog.Doubt(now)
	known := c.state.confirmedAll()
	if known.IsZero() {
		return out, update
	}
	out.Known, out.Age = true, now.Sub(known)
	if params.Joining {
		out.Held.Upstreams, out.Held.UpstreamsFor = c.state.catalog.HeldBack(now)
		out.Held.Zones, out.Held.ZonesFor = c.state.evacuated.HeldBack(now)
		out.Changes = c.state.catalog.Remembered()
		out.Changed = len(out.Changes) > 0
	}
	if params.AsOf == out.AsOf && params.Digest == c.state.catalog.Digest() || params.AsOf > out.AsOf {
		return out, update
	}
	out.Changed = false
	if !params.Whole {
		changes, ok := c.state.catalog.Since(params.AsOf)
		out.Changes, out.Changed = append(out.Changes, changes...), ok
	}
	if !out.Changed {
		out.Listed = true
		out.Registrations = c.state.catalog.List()
	}
	return out, update
}
