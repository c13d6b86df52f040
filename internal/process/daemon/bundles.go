package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// Times of the platform's watch.
const (
	watchWait  = 10 * time.Second
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// fetchWait is how long a member's bundle may take to begin to arrive.
	fetchWait = 3 * time.Second
	// watcherPeriod is how soon a daemon takes over from a watcher that died.
	watcherPeriod = time.Second
)

// watchersPerZone is how many daemons of a zone watch the platform, so that its
// calls don't grow with the daemons of a cell.
const (
	watchersPerZone = 2
)

// bundles keeps the newest signed bundle and looks for newer ones, at the
// platform and at other members.
type bundles struct {
	d       *Daemon
	trusted []bundle.Operator
	// inForce is locked before mu.
	inForce bundle.InForce

	// mu guards current and fetching.
	mu       sync.Mutex
	current  *bundle.Signed
	fetching bool
	ctx      context.Context

	refused, platformErrors, fromPeers, fromPlatform atomic.Uint64
	// fetches counts what was fetched from other members.
	fetches transfer.Counts
}

func newBundles(ctx context.Context, d *Daemon) *bundles {
	return &bundles{d: d, trusted: d.cfg.Operators, ctx: ctx}
}

// start follows the platform until the returned function is called.
func (b *bundles) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { b.watch(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// take puts a signed bundle in force if it is newer than the present one and
// its signature holds.
func (b *bundles) take(s *bundle.Signed, from *atomic.Uint64) error {
	_, err := b.inForce.ApplyIfNewer(s.Version, func() error {
		content, err := s.Verify(b.trusted)
		if err != nil {
			b.refused.Add(1)
			return err
		}
		b.mu.Lock()
		b.current = s
		b.mu.Unlock()
		from.Add(1)
		b.d.apply(s, content)
		return nil
	})
	return err
}

// newest returns the bundle in force, or nil.
func (b *bundles) newest() *bundle.Signed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// watch follows the platform's head until ctx ends.
func (b *bundles) watch(ctx context.Context) {
	var seen platform.ObjectVersion
	backoff := minBackoff
	for ctx.Err() == nil {
		if b.newest() != nil && !b.d.engine.View().IsWatcher(watchersPerZone) {
			// The others tell of newer bundles with their probes.
			select {
			case <-ctx.Done():
			case <-time.After(watcherPeriod):
			}
			continue
		}
		o, err := b.d.platform.Watch(ctx, platform.HeadKey, seen, watchWait)
		if err == nil {
			backoff = minBackoff
			seen = o.Version
			b.read(o)
			continue
		}
		if !eris.Is(err, platform.ErrNotFound) {
			b.platformErrors.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (b *bundles) read(o platform.Object) {
	if len(o.Body) == 0 {
		return
	}
	s, err := bundle.DecodeSigned(o.Body)
	if err == nil {
		err = b.take(s, &b.fromPlatform)
	}
	if err != nil {
		klog.ErrorS(err, "Bundle of the platform refused", "ObjectVersion", o.Version)
	}
}

// heard fetches a bundle that another member has in force, if it is newer.
func (b *bundles) heard(v bundle.Version, from netip.AddrPort) {
	b.mu.Lock()
	newer := v > 0 && (b.current == nil || v > b.current.Version)
	if !newer || b.fetching {
		b.mu.Unlock()
		return
	}
	b.fetching = true
	b.mu.Unlock()
	go b.fetch(from)
}

func (b *bundles) fetch(from netip.AddrPort) {
	defer func() {
		b.mu.Lock()
		b.fetching = false
		b.mu.Unlock()
	}()
	s, err := fetchBundle(b.ctx, from, &b.fetches)
	if err == nil {
		err = b.take(s, &b.fromPeers)
	}
	if err != nil {
		klog.V(1).InfoS("Bundle of a member not taken", "From", from, "Error", err)
	}
}
