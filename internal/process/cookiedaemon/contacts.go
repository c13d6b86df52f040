package cookiedaemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

const (
	// aloneDelay is how long a daemon that knows no other one waits before it reads the contacts in
	// the store: the seeds had three chances to answer. Soon after, peer.Startup.ReaderRank lets it
	// follow the store as one that is alone, at some two calls a second. The pause before the next
	// read doubles up to maxAloneDelay, since a system of a single host stays alone.
	aloneDelay    = 700 * time.Millisecond
	maxAloneDelay = time.Minute
	// firstStartAloneDelay replaces aloneDelay at the first start of a system: no contacts have
	// been written yet, and no callers wait.
	firstStartAloneDelay = 2 * time.Second
	// contactsCheckPeriod is how often the first store reader checks whether the contacts in the
	// store are out of date, judged by what it has read of them. contactsReadPeriod is how often it reads
	// them again, so that two parts of a split system find each other.
	contactsCheckPeriod = 2 * time.Second
	contactsReadPeriod  = 2 * time.Minute
)

// contacts maintains the object in the store by which daemons find each other when their seeds are
// out of date: the seeds name three hosts that existed when the settings were written.
type contacts struct {
	daemon *Daemon
	object objects.SingleObject[peer.Contacts]
	// latest is the object as read last. latestAt is the time at which it was read, epoch the epoch
	// of the store then.
	latest   objects.Object[peer.Contacts]
	latestAt time.Time
	epoch    objects.Epoch
	// unreadable is set if the last answer couldn't be decoded.
	unreadable bool
}

func (d *Daemon) startContacts(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &contacts{daemon: d, object: d.platform.Contacts}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

func (c *contacts) run(ctx context.Context) {
	pause := aloneDelay
	if c.daemon.start.FirstStart {
		pause = firstStartAloneDelay
	}
	for {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		switch {
		case c.daemon.Members() == 1:
			c.findMembers(ctx)
			pause = min(2*pause, maxAloneDelay)
		case c.writes(time.Now()):
			c.refresh(ctx)
			pause = contactsCheckPeriod
		default:
			pause = contactsCheckPeriod
		}
	}
}

// writes reports whether this daemon maintains the contacts now: it is the store reader that ranks
// first in the whole system, and started long enough ago to know the other daemons.
func (c *contacts) writes(now time.Time) bool {
	return now.Sub(c.daemon.started) > JoinDuration && c.daemon.members.view.Load().ReaderRank() == 0 &&
		c.daemon.shouldReadStore(now)
}

// findMembers contacts the daemons that the contacts in the store name, if there are any.
func (c *contacts) findMembers(ctx context.Context) {
	if err := c.read(ctx); err != nil {
		klog.InfoS("Contacts not read from the store", "Error", err.Error())
		return
	}
	c.ping()
}

// read fetches the contacts. It returns objects.ErrNotFound if the store has none, which refresh
// doesn't treat as a failure. Contacts that can't be decoded count as empty, so that the daemon that
// maintains them replaces them.
func (c *contacts) read(ctx context.Context) error {
	o, err := c.object.Get(ctx)
	if err != nil {
		return err
	}
	if o.Err != nil {
		c.daemon.unusable.Add(1)
		klog.ErrorS(o.Err, "Contacts can't be used", "Revision", o.Revision)
	}
	c.latest, c.latestAt = o, time.Now()
	return nil
}

// ping contacts the named daemons that aren't members.
func (c *contacts) ping() {
	c.daemon.members.update(func(g *peer.Membership) []peer.Envelope { return g.Seed(c.latest.Value.Addresses()) })
}

// refresh replaces the contacts in the store if they are out of date.
func (c *contacts) refresh(ctx context.Context) {
	if epoch := c.daemon.storeEpoch(); epoch != c.epoch {
		// The contacts may be lost with the writes since the snapshot.
		c.latestAt, c.epoch = time.Time{}, epoch
	}
	if c.latestAt.IsZero() || time.Since(c.latestAt) > contactsReadPeriod {
		switch err := c.read(ctx); {
		case eris.Is(err, objects.ErrNotFound):
			c.latest = objects.Object[peer.Contacts]{}
		case eris.Is(err, objects.ErrUnreadable):
			// Its revision isn't known, so it can't be replaced, and the next answer will be the same.
			c.daemon.unusable.Add(1)
			klog.ErrorS(err, "Contacts can't be decoded", "NextRead", contactsReadPeriod)
			c.latestAt, c.unreadable = time.Now(), true
			return
		case err != nil:
			klog.InfoS("Contacts not read", "Error", err.Error())
			return
		}
		c.unreadable = false
		c.latestAt = time.Now()
		c.ping()
	}
	v := c.daemon.members.view.Load()
	if c.unreadable || !v.ContactsOutdated(&c.latest.Value) {
		return
	}
	next := v.Contacts(&c.latest.Value)
	if err := c.object.Put(ctx, next, c.latest.Revision); err != nil {
		klog.InfoS("Contacts not replaced", "Revision", c.latest.Revision, "Error", err.Error())
	} else {
		klog.InfoS("Contacts replaced", "Members", len(next.Members), "Revision", c.latest.Revision)
	}
	// The write may have taken effect without an answer, or another daemon may have written: the
	// next check reads the contacts again.
	c.latestAt = time.Time{}
}
