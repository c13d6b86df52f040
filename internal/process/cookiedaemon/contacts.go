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
	// contactsCheckPeriod is how often the store reader checks whether the contacts in the store
	// are out of date, judged by what it has read of them. contactsReadPeriod is how often it reads
	// them again, so that two parts of a split system find each other.
	contactsCheckPeriod = 2 * time.Second
	contactsReadPeriod  = 2 * time.Minute
)

// contacts maintains the object in the store by which daemons find each other when their seeds are
// out of date: the seeds name three hosts that existed when the settings were written.
type contacts struct {
	c      *Daemon
	object objects.SingleObject[peer.Contacts]
	// latest is the object as read last. latestAt is the time at which it was read, epoch the epoch
	// of the store then.
	latest   objects.Object[peer.Contacts]
	latestAt time.Time
	epoch    objects.Epoch
}

func (c *Daemon) startContacts(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	k := &contacts{c: c, object: c.platform.Contacts}
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

func (k *contacts) run(ctx context.Context) {
	pause := aloneDelay
	if k.c.start.FirstStart {
		pause = firstStartAloneDelay
	}
	for {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		switch {
		case k.c.Members() == 1:
			k.findMembers(ctx)
			pause = min(2*pause, maxAloneDelay)
		case k.writes(time.Now()):
			k.refresh(ctx)
			pause = contactsCheckPeriod
		default:
			pause = contactsCheckPeriod
		}
	}
}

// writes reports whether this daemon maintains the contacts now: it is the store reader of the
// whole system, and started long enough ago to know the other daemons.
func (k *contacts) writes(now time.Time) bool {
	return now.Sub(k.c.started) > JoinDuration && k.c.members.view.Load().ReaderRank() == 0 && k.c.shouldReadStore(now)
}

// findMembers contacts the daemons that the contacts in the store name, if there are any.
func (k *contacts) findMembers(ctx context.Context) {
	if err := k.read(ctx); err != nil {
		klog.InfoS("No contacts in the store", "Error", err.Error())
		return
	}
	k.ping()
}

// read fetches the contacts. It returns objects.ErrNotFound if the store has none, which refresh
// doesn't treat as a failure. Contacts that can't be decoded count as empty, so that the daemon that
// maintains them replaces them.
func (k *contacts) read(ctx context.Context) error {
	o, err := k.object.Get(ctx)
	if err != nil {
		return err
	}
	if o.Err != nil {
		k.c.unusable.Add(1)
		klog.ErrorS(o.Err, "Contacts can't be used", "Revision", o.Revision)
	}
	k.latest, k.latestAt = o, time.Now()
	return nil
}

// ping contacts the named daemons that aren't members.
func (k *contacts) ping() {
	k.c.members.update(func(g *peer.Membership) []peer.Envelope { return g.Seed(k.latest.Value.Addresses()) })
}

// refresh replaces the contacts in the store if they are out of date.
func (k *contacts) refresh(ctx context.Context) {
	if epoch := k.c.storeEpoch(); epoch != k.epoch {
		// The contacts may be lost with the writes since the snapshot.
		k.latestAt, k.epoch = time.Time{}, epoch
	}
	if k.latestAt.IsZero() || time.Since(k.latestAt) > contactsReadPeriod {
		switch err := k.read(ctx); {
		case eris.Is(err, objects.ErrNotFound):
			k.latest = objects.Object[peer.Contacts]{}
		case err != nil:
			klog.InfoS("Contacts not read", "Error", err.Error())
			return
		}
		k.latestAt = time.Now()
		k.ping()
	}
	v := k.c.members.view.Load()
	if !v.ContactsOutdated(&k.latest.Value) {
		return
	}
	next := v.Contacts(&k.latest.Value)
	if err := k.object.Put(ctx, next, k.latest.Revision); err != nil {
		klog.InfoS("Contacts not replaced", "Revision", k.latest.Revision, "Error", err.Error())
	} else {
		klog.InfoS("Contacts replaced", "Members", len(next.Members), "Revision", k.latest.Revision)
	}
	// The write may have taken effect without an answer, or another daemon may have written: the
	// next check reads the contacts again.
	k.latestAt = time.Time{}
}
