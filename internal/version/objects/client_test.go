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
	// A server sends parts at intervals of partPause. All parts together take twice as long as the answer may
	// take to begin, and each pause a tenth of it.
	parts        = 20
	partPause    = 100 * time.Millisecond
	beginTimeout = time.Second
)

// slowServer returns a client of a server that answers in parts and sends nothing more after stopAfter of them.
func slowServer(t *testing.T, stopAfter int) *objects.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			if i == stopAfter {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write([]byte("part")) // The client may have closed the connection.
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

// On a slow link, the transfer of a large bundle takes longer than the store may take to begin its answer. Guards
// against aborting and repeating it while data arrives, so that the bundle never comes into force.
func TestClientReceivesAnswerAsLongAsDataArrives(t *testing.T) {
	g := NewWithT(t)
	c := slowServer(t, parts)
	a, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Body).To(HaveLen(parts * len("part")))
	g.Expect(c.Counts.Answers.Wasted.Load()).To(BeZero())
}

// The connection dies in the middle of an answer. A call that waited for the rest would delay every later change.
func TestClientAbortsAnswerThatStops(t *testing.T) {
	g := NewWithT(t)
	c := slowServer(t, 3)
	_, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).To(MatchError(transfer.ErrStalled))
	g.Expect(c.Counts.Answers.Failed.Load()).To(BeEquivalentTo(1))
	g.Expect(c.Counts.Answers.Wasted.Load()).To(BeEquivalentTo(3 * len("part")))
}

// The connection is dead from the start.
func TestClientAbortsAnswerThatDoesNotBegin(t *testing.T) {
	g := NewWithT(t)
	c := slowServer(t, 0)
	_, err := c.Do(context.Background(), objects.Call{Method: http.MethodGet, Path: "/", Timeout: beginTimeout})
	g.Expect(err).To(MatchError(transfer.ErrStalled))
	g.Expect(c.Counts.Unanswered.Load()).To(BeEquivalentTo(1))
}
