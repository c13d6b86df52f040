package objects_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

const (
	// parts come partPause apart. Together they take twice as long as the answer may take to begin,
	// and each a tenth of it.
	parts        = 20
	partPause    = 100 * time.Millisecond
	beginTimeout = time.Second
)

// dribble answers in parts and stops after some of them.
func dribble(t *testing.T, stopAfter int) *objects.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			if i == stopAfter {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write([]byte("part")) // The caller may have gone away.
			_ = http.NewResponseController(w).Flush()
			time.Sleep(partPause)
		}
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	c, stop := objects.NewClient(srv.URL)
	t.Cleanup(stop)
	return c
}

// A bundle never comes into force on a host with a thin link: its answer takes longer than the store
// is given to answer, is thrown away though it was coming, and begins anew.
func TestCallerTakesAnAnswerThatGoesOnComing(t *testing.T) {
	g := NewWithT(t)
	c := dribble(t, parts)
	a, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Body).To(HaveLen(parts * len("part")))
	g.Expect(c.Counts.Answers.Wasted.Load()).To(BeZero())
}

// The connection goes silent in the middle of an answer. A call that waited for the rest would hold up
// every later change.
func TestCallerGivesUpAnAnswerThatStops(t *testing.T) {
	g := NewWithT(t)
	c := dribble(t, 3)
	_, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).To(MatchError(transfer.ErrStalled))
	g.Expect(c.Counts.Answers.Failed.Load()).To(BeEquivalentTo(1))
	g.Expect(c.Counts.Answers.Wasted.Load()).To(BeEquivalentTo(3 * len("part")))
}

// The connection is silent from the start.
func TestCallerGivesUpAnAnswerThatDoesNotBegin(t *testing.T) {
	g := NewWithT(t)
	c := dribble(t, 0)
	_, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).To(MatchError(transfer.ErrStalled))
	g.Expect(c.Counts.Unanswered.Load()).To(BeEquivalentTo(1))
}
