package cookiedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

const (
	// pullTimeout is how long another daemon may take to begin its answer to a request for its
	// catalog.
	pullTimeout = time.Second
	// pullPause is the mean pause after a fetch, urgentPause the pause after an urgent one or one
	// that took only the changes that were missing. Without them, a member that receives different
	// lists from two store readers would saturate the link of a small host.
	pullPause   = 500 * time.Millisecond
	urgentPause = 100 * time.Millisecond
	// minJoinSlots is how many starting daemons a small host serves a catalog to at the same time,
	// and joinSlotsPerCore is how many a host with one whole core serves. A list of 3000 upstreams
	// is 150 KB: a hundred hosts that start together would saturate a small host's link of 20
	// Mbit/s for seconds. A large host has ten times that bandwidth. Daemons that are turned away
	// ask again or read the store.
	minJoinSlots     = 4
	joinSlotsPerCore = 64
	// codeBusy is the error code for a daemon that is turned away, from the range that JSON-RPC 2.0
	// leaves to the application.
	codeBusy = 1
)

// pull fetches the catalog of another daemon in the background, one fetch at a time. It does nothing
// while another fetch or the pause after it lasts. A fetch is urgent if this daemon lacks a bundle
// or evacuated zones. A differing list can wait longer: the lists of store readers differ for
// moments.
func (m *members) pull(from netip.AddrPort, urgent bool) {
	if !m.fetching.CompareAndSwap(false, true) {
		return
	}
	m.wg.Go(func() {
		defer m.fetching.Store(false)
		partial, err := m.fetch(from, pullTimeout, false)
		if err != nil {
			klog.V(1).InfoS("Catalog not fetched", "From", from, "Error", err)
		}
		m.daemon.noteFetched()
		pause := pullPause/2 + rand.N(pullPause)
		if urgent || partial {
			pause = urgentPause
		}
		sleep(m.ctx, pause)
	})
}

// noteFetched records the end of a fetch in the background, whether it succeeded or not.
func (d *Daemon) noteFetched() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.election.Fetched(d.state.confirmedAll())
}

// fetch requests from another daemon what this one lacks: a newer bundle, changed upstreams and, if
// joining is set, the first members to contact and deregistered upstreams. timeout bounds the time
// until the answer begins. It reports whether the answer held changes of the list only.
func (m *members) fetch(from netip.AddrPort, timeout time.Duration, joining bool) (partial bool, err error) {
	sent := time.Now()
	d := m.daemon
	d.mu.Lock()
	params := peer.CatalogParams{AsOf: d.state.catalog.AsOf, Digest: d.state.catalog.Digest(), Whole: d.state.needsWholeList}
	if !d.state.needsWholeBundle {
		params.Version = d.state.history.Current().Version
	}
	d.mu.Unlock()
	params.Joining = joining
	if !d.start.ready.isSet() {
		params.Zone = d.cfg.Load().Zone
	}
	m.mu.Lock()
	params.MembersDigest = m.membership.Digest()
	m.mu.Unlock()
	params.WithoutMembers = params.Zone == ""
	got, err := m.requestCatalog(from, params, timeout)
	if err != nil {
		return false, err
	}
	now := time.Now()
	m.update(func(g *peer.Membership) []peer.Envelope {
		g.Merge(now, got.Members)
		return nil
	})
	if len(got.Update) > 0 {
		u, err := got.Update.Unpack()
		if err != nil {
			return false, err
		}
		d.applyUpdate(u, contentSource{source: "Peer", name: from.String(), age: got.Age})
	}
	d.data.resets(d.applyCatalog(got, sent.Add(-got.Age), now))
	m.advertise(now)
	d.mu.Lock()
	origin := d.lastOrigin
	d.mu.Unlock()
	m.relayAdvertisement(origin, now)
	return got.HasChanges, nil
}

// requestCatalog requests a catalog from another daemon. It logs an answer that breaks off with the
// number of bytes received: they must be transferred once more, over a link that may have caused
// the break.
func (m *members) requestCatalog(from netip.AddrPort, params peer.CatalogParams, timeout time.Duration) (*peer.Catalog, error) {
	sealed, err := m.callCatalog(from, peer.RPC{Method: peer.MethodPackedCatalog, Params: params}, timeout)
	if isMethodNotFound(err) {
		// An earlier version of the daemon runs there.
		if sealed, err = m.callCatalog(from, peer.RPC{Method: peer.MethodCatalog, Params: params}, timeout); err != nil {
			return nil, err
		}
		return m.catalog.Decode(sealed)
	}
	if err != nil {
		return nil, err
	}
	packed, err := m.packedCatalogs.Decode(sealed)
	if err != nil {
		return nil, err
	}
	return packed.Unpack()
}

func (m *members) callCatalog(from netip.AddrPort, call peer.RPC, timeout time.Duration) ([]byte, error) {
	began := time.Now()
	sealed, t, err := peer.CallRPC[[]byte](
		m.ctx, from, call,
		transfer.Limits{FirstByteTimeout: timeout, StallTimeout: min(timeout, transfer.DefaultStallTimeout)}, &m.pulls,
	)
	if err != nil && t.Bytes() > 0 && !isMethodNotFound(err) {
		m.logIncomplete(from, t.Bytes(), time.Since(began), err)
	}
	return sealed, err
}

// isMethodNotFound reports whether another daemon refused a call because it doesn't know the method.
func isMethodNotFound(err error) bool {
	var refused *jsonrpc2.Error
	return errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound
}

// pullLines is the limit of log lines per second about incomplete fetches.
const pullLines = 2

func (m *members) logIncomplete(from netip.AddrPort, got uint64, after time.Duration, err error) {
	m.mu.Lock()
	left, ok := m.pullLines.Allow(time.Now())
	m.mu.Unlock()
	if ok {
		klog.InfoS("Catalog broke off", "From", from, "After", after, "Bytes", got, "Error", err.Error(), "LeftOut", left)
	}
}

// applyCatalog applies a catalog that another daemon held as of the time confirmed. It returns
// resets for the flows that end by it.
func (d *Daemon) applyCatalog(got *peer.Catalog, confirmed, now time.Time) []cookie.Reset {
	version := d.inForce.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.LearnDeregisteredDead(got.Deregistered, now)
	if got.AsOf.Epoch() < d.state.epoch {
		return nil // The sender's content predates the restore of the store.
	}
	d.observeEpoch(got.AsOf, "Peer", now)
	if got.Complete {
		d.applyEvacuations(got.Evacuated, contentSource{source: "Peer", age: now.Sub(confirmed)}, now)
		d.confirmEvacuations(confirmed)
	}
	if got.Complete && got.Version <= version {
		d.confirmBundleAt(confirmed, got.BundleAsOf)
	}
	if got.AsOf < d.state.catalog.AsOf || !got.HasRegistrations && !got.HasChanges {
		return d.applyHeld(&got.Held, now)
	}
	d.state.catalog.SuspectRemovalsFor(got.SuspicionPeriod, now)
	changed := d.changeCatalog(func() bool {
		if got.HasRegistrations {
			return d.state.catalog.Replace(got.Registrations, got.AsOf, now)
		}
		return d.state.catalog.Apply(got.Changes, got.AsOf, now)
	})
	var resets []cookie.Reset
	if changed {
		resets = d.updateEngine(now)
	}
	resets = append(resets, d.applyHeld(&got.Held, now)...)
	// The changes may not lead to the sender's list, if only one of the two has some entries of the
	// same revision. Then the whole list is requested next.
	d.state.needsWholeList = got.HasChanges && got.Digest != d.state.catalog.Digest()
	if d.state.needsWholeList {
		return resets
	}
	d.confirmList(confirmed)
	if got.Complete && got.Version <= version {
		d.election.Received(confirmed, false)
	}
	return resets
}

// applyHeld takes over the upstreams and zones that another daemon holds in place of the
// store's content. It returns resets for the flows that end by it. d.mu must be held.
func (d *Daemon) applyHeld(h *peer.HeldContent, now time.Time) []cookie.Reset {
	before := d.state.evacuated.Zones()
	if d.state.evacuated.HoldZones(h.Zones, h.ZonesFor, now) {
		d.enforceEvacuations(before, contentSource{source: "Peer"}, now)
	}
	if d.state.catalog.HoldEntries(h.Upstreams, h.UpstreamsFor, now) {
		return d.updateEngine(now)
	}
	return nil
}

// handleRPC answers requests of other daemons: for the members, the catalog or the state of admission
// control that this daemon knows.
func (m *members) handleRPC(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case peer.MethodMembers:
		return m.answerMembers(r)
	case peer.MethodCatalog, peer.MethodPackedCatalog:
		return m.answerCatalog(r)
	case peer.MethodAdmission:
		return m.answerAdmission()
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

// answerCatalog answers another daemon's request for this daemon's catalog.
func (m *members) answerCatalog(r *jsonrpc2.Request) (any, error) {
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
	out, update := m.daemon.catalogFor(params)
	if params.Joining && !params.WithoutMembers {
		out.Members = m.membersFor(&params)
	}
	if update != nil {
		var err error
		if out.Update, err = m.packer.Pack(update); err != nil {
			return nil, err
		}
	}
	if r.Method == peer.MethodPackedCatalog {
		return m.packCatalog(out)
	}
	if out.HasRegistrations {
		out.Registrations, out.AsOf, out.Digest = m.daemon.registrations()
	}
	sealed, err := m.catalog.Encode(out)
	return sealed, eris.Wrap(err, "catalog: encode")
}

// packCatalog encodes a catalog with its registrations, if it has them, in packed form.
func (m *members) packCatalog(out *peer.Catalog) ([]byte, error) {
	p := &peer.PackedCatalog{Catalog: *out}
	if out.HasRegistrations {
		var err error
		p.Registrations, p.Catalog.AsOf, p.Catalog.Digest, err = m.listPacker.Pack(out.AsOf, out.Digest, m.daemon.registrations)
		if err != nil {
			return nil, err
		}
	}
	sealed, err := m.packedCatalogs.Encode(p)
	return sealed, eris.Wrap(err, "catalog: encode")
}

// registrations returns the list of registrations, with its position and digest.
func (d *Daemon) registrations() ([]registry.Registration, objects.Position, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.state.catalog
	return c.List(), c.AsOf, c.Digest()
}

// membersFor returns the members to send to a joining daemon.
func (m *members) membersFor(params *peer.CatalogParams) []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case params.Zone != "":
		return append(m.membership.BootstrapMembers(params.Zone, 0), m.membership.Self())
	case m.membership.Digest() != params.MembersDigest:
		return m.membership.Members()
	}
	return nil
}

// catalogFor returns what this daemon holds and the requester lacks, without the list of
// registrations, which takes long to copy, and the update from the
// requester's bundle to the bundle in force, or nil if the requester has that already. The caller
// packs the update after d.mu is released: packing takes too long for packets to wait.
func (d *Daemon) catalogFor(params peer.CatalogParams) (*peer.Catalog, *bundle.Update) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &peer.Catalog{
		Version: d.state.history.Current().Version, BundleAsOf: d.state.bundleAsOf, Evacuated: d.state.evacuated.Stored,
	}
	var update *bundle.Update
	if out.Version > params.Version {
		update = d.state.history.Since(params.Version)
	}
	if params.Joining {
		out.Deregistered = d.engine.DeregisteredDead()
	}
	out.AsOf, out.Digest = d.state.catalog.AsOf, d.state.catalog.Digest()
	out.SuspicionPeriod = d.state.catalog.RemovalSuspicionLeft(now)
	confirmed := d.state.confirmedAll()
	if confirmed.IsZero() {
		return out, update
	}
	out.Complete, out.Age = true, now.Sub(confirmed)
	if params.Joining {
		out.Held.Upstreams, out.Held.UpstreamsFor = d.state.catalog.HeldEntries(now)
		out.Held.Zones, out.Held.ZonesFor = d.state.evacuated.HeldZones(now)
		out.Changes = d.state.catalog.LastKnown()
		out.HasChanges = len(out.Changes) > 0
	}
	if params.AsOf == out.AsOf && params.Digest == d.state.catalog.Digest() || params.AsOf > out.AsOf {
		return out, update
	}
	out.HasChanges = false
	if !params.Whole {
		changes, ok := d.state.catalog.Since(params.AsOf)
		out.Changes, out.HasChanges = append(out.Changes, changes...), ok
	}
	if !out.HasChanges {
		out.HasRegistrations = true
	}
	return out, update
}
