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

// Times of the watch for new bundles at the platform.
const (
	watchWait  = 10 * time.Second
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// fetchFirstByteTimeout bounds the time until the first byte of a bundle arrives from another member.
	fetchFirstByteTimeout = 3 * time.Second
	// watcherCheckPeriod is how often a daemon that doesn't watch the platform checks whether it has to,
	// because a watcher died.
	watcherCheckPeriod = time.Second
)

// watchersPerZone is how many daemons of a zone watch the platform. The bound keeps
// the number of calls to the platform independent of the number of daemons in a cell.
const (
	watchersPerZone = 2
)

// bundles keeps the newest signed bundle and fetches newer ones from the platform
// and from other members.
type bundles struct {
	d       *Daemon
	trusted []bundle.Operator
	// inForce has a lock of its own, which is taken before mu.
	inForce bundle.InForce

	// mu guards current and fetching.
	mu       sync.Mutex
	current  *bundle.Signed
	fetching bool
	ctx      context.Context

	refused, platformErrors, fromPeers, fromPlatform atomic.Uint64
	// fetches counts the fetches from other members.
	fetches transfer.Counts
}

func newBundles(ctx context.Context, d *Daemon) *bundles {
	return &bundles{d: d, trusted: d.cfg.Operators, ctx: ctx}
}

// start watches the platform until the returned function is called, which waits for
// the watch to end.
func (b *bundles) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { b.watch(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// accept puts a signed bundle in force if it is newer than the current one and its
// signature is valid, and increments counter then. It returns an error if the
// signature is invalid, and nil for a bundle that isn't newer.
func (b *bundles) accept(s *bundle.Signed, counter *atomic.Uint64) error {
	_, err := b.inForce.ApplyIfNewer(s.Version, func() error {
		content, err := s.Verify(b.trusted)
		if err != nil {
			b.refused.Add(1)
			return err
		}
		b.mu.Lock()
		b.current = s
		b.mu.Unlock()
		counter.Add(1)
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

// watch watches the head object of the platform until ctx ends.
func (b *bundles) watch(ctx context.Context) {
	var seen platform.ObjectVersion
	backoff := minBackoff
	failing := false
	for ctx.Err() == nil {
		if b.newest() != nil && !b.d.engine.View().IsWatcher(watchersPerZone) {
			// Other members announce newer bundles in their probes.
			select {
			case <-ctx.Done():
			case <-time.After(watcherCheckPeriod):
			}
			continue
		}
		o, err := b.d.platform.Watch(ctx, platform.HeadKey, seen, watchWait)
		if err == nil {
			backoff, failing = minBackoff, false
			seen = o.Version
			b.acceptObject(o)
			continue
		}
		if !eris.Is(err, platform.ErrNotFound) {
			b.platformErrors.Add(1)
			if !failing {
				klog.ErrorS(err, "Platform's bundle can't be read")
			}
			failing = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// acceptObject accepts the bundle in an object of the platform, unless the object
// has no body.
func (b *bundles) acceptObject(o platform.Object) {
	if len(o.Body) == 0 {
		return
	}
	s, err := bundle.DecodeSigned(o.Body)
	if err != nil {
		b.refused.Add(1)
	} else {
		err = b.accept(s, &b.fromPlatform)
	}
	if err != nil {
		klog.ErrorS(err, "Bundle from the platform refused", "ObjectVersion", o.Version)
	}
}

// fetchIfNewer fetches the bundle that another member has in force, if it is newer
// than the current one and no other fetch is in progress. It doesn't wait for the
// fetch.
func (b *bundles) fetchIfNewer(v bundle.Version, from netip.AddrPort) {
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
		err = b.accept(s, &b.fromPeers)
	}
	if err != nil {
		klog.V(1).InfoS("Bundle from a member not put in force", "From", from, "Error", err)
	}
}
