package carrier

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

const (
	// lonelyAfter is when a daemon that knows no other one asks the store for contacts: the seeds
	// had three chances to answer. Soon after, peer.Start.ReaderRank lets it follow the store as one
	// that is alone, at some two calls a second. The pause to the next question doubles up to
	// lonelyAtMost, since a system of a single host is alone for good.
	lonelyAfter  = 700 * time.Millisecond
	lonelyAtMost = time.Minute
	// lonelyAtFirst is the same at the first start of a system: nobody has written contacts, and
	// nobody waits.
	lonelyAtFirst = 2 * time.Second
	// contactsPeriod is how often the reader looks whether the contacts in the store are
	// out of date, by what it has read of them; contactsRead is how often it reads them
	// again, so that two parts of the system that lost each other meet.
	contactsPeriod = 2 * time.Second
	contactsRead   = 2 * time.Minute
)

// contacts keeps the object in the store by which daemons find each other when their
// seeds are out of date: seeds name three hosts of the time when the settings were made.
type contacts struct {
	c    *Carrier
	cell objects.SingleObject[peer.Contacts]
	// known is what was read or written last, at a time, in an epoch of the store.
	known objects.Object[peer.Contacts]
	at    time.Time
	epoch objects.Epoch
}

func (c *Carrier) startContacts(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	k := &contacts{c: c, cell: c.platform.Contacts}
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
	pause := lonelyAfter
	if k.c.start.FirstStart {
		pause = lonelyAtFirst
	}
	for {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		switch {
		case k.c.Members() == 1:
			k.meet(ctx)
			pause = min(2*pause, lonelyAtMost)
		case k.keeps(time.Now()):
			k.keep(ctx)
			pause = contactsPeriod
		default:
			pause = contactsPeriod
		}
	}
}

// keeps reports whether this daemon keeps the contacts now: it is the reader of all and
// started long enough ago to know the others.
func (k *contacts) keeps(now time.Time) bool {
	return now.Sub(k.c.started) > JoinedAfter && k.c.members.view.Load().ReaderRank() == 0 && k.c.reads(now)
}

// meet asks the daemons that the contacts name, if there are any.
func (k *contacts) meet(ctx context.Context) {
	if err := k.read(ctx); err != nil {
		klog.InfoS("No contacts in the store", "Error", err.Error())
		return
	}
	k.ping()
}

// read fetches the contacts. That there are none is no error for their keeper. What can't be
// used counts as none that are there, so their keeper replaces it.
func (k *contacts) read(ctx context.Context) error {
	o, err := k.cell.Get(ctx)
	if err != nil {
		return err
	}
	if o.Err != nil {
		k.c.unusable.Add(1)
		klog.ErrorS(o.Err, "Contacts can't be used", "Revision", o.Revision)
	}
	k.known, k.at = o, time.Now()
	return nil
}

// ping asks those contacts that aren't members.
func (k *contacts) ping() {
	k.c.members.do(func(g *peer.Membership) []peer.Envelope { return g.Seed(k.known.Value.Addresses()) })
}

// keep replaces the contacts in the store if they are out of date.
func (k *contacts) keep(ctx context.Context) {
	if epoch := k.c.storeEpoch(); epoch != k.epoch {
		// They may have been lost with the time since the snapshot.
		k.at, k.epoch = time.Time{}, epoch
	}
	if k.at.IsZero() || time.Since(k.at) > contactsRead {
		switch err := k.read(ctx); {
		case eris.Is(err, objects.ErrNotFound):
			k.known = objects.Object[peer.Contacts]{}
		case err != nil:
			klog.InfoS("Contacts not read", "Error", err.Error())
			return
		}
		k.at = time.Now()
		k.ping()
	}
	v := k.c.members.view.Load()
	if !v.ContactsOutdated(&k.known.Value) {
		return
	}
	next := v.Contacts(&k.known.Value)
	if err := k.cell.Put(ctx, next, k.known.Revision); err != nil {
		klog.InfoS("Contacts not replaced", "Revision", k.known.Revision, "Error", err.Error())
	} else {
		klog.InfoS("Contacts replaced", "Members", len(next.Members), "Revision", k.known.Revision)
	}
	// The write may have taken effect without an answer, or another daemon may have
	// written: the next look reads them anew.
	k.at = time.Time{}
}
