package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/fescueshed/fescueshed/internal/standin/platform"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

var _ = Describe("Client", func() {
	var service *standin.Service
	var c *platform.Client
	ctx := context.Background()

	BeforeEach(func() {
		service = standin.New()
		srv := httptest.NewServer(service)
		var stop func()
		c, stop = platform.NewClient(srv.URL)
		DeferCleanup(func() {
			stop()
			srv.Close()
		})
	})

	signed := func(v bundle.Version, op string) *bundle.Signed {
		return &bundle.Signed{Version: v, PreparedBy: op, ApprovedBy: "approver", OperationID: op, Content: []byte("{}")}
	}

	It("overwrites only the given version", func() {
		v, err := c.Put(ctx, "k", []byte("one"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Put(ctx, "k", []byte("two"), 0)
		Expect(err).To(MatchError(platform.ErrConflict))
		_, err = c.Put(ctx, "k", []byte("two"), v)
		Expect(err).NotTo(HaveOccurred())
		o, err := c.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(o.Body)).To(Equal("two"))
	})

	It("reports that an object doesn't exist", func() {
		_, err := c.Get(ctx, "none")
		Expect(err).To(MatchError(platform.ErrNotFound))
	})

	It("watches for a newer version", func() {
		v, err := c.Put(ctx, "k", []byte("one"), 0)
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		wg.Go(func() {
			defer GinkgoRecover()
			_, err := c.Put(ctx, "k", []byte("two"), v)
			Expect(err).NotTo(HaveOccurred())
		})
		o, err := c.Watch(ctx, "k", v, time.Minute)
		wg.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(o.Body)).To(Equal("two"))
	})

	// A write takes effect but its answer is lost. Guards against reporting a failure, after which the
	// operator would roll the same change a second time.
	It("detects that a write took effect though its answer was lost", func() {
		service.SetFaults(standin.Faults{LoseAnswers: 1})
		Expect(c.Roll(ctx, signed(1, "first"), time.Millisecond)).To(Succeed())
		head, v, err := c.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.OperationID).To(Equal("first"))
		Expect(v).To(BeEquivalentTo(1), "it was written once")
	})

	// The answer of an operator's write was lost, and another operator rolled the next version before the
	// first one retried. Guards against reporting that the first bundle was never in force.
	It("detects that a write took effect though another bundle has been rolled since", func() {
		first := signed(1, "first")
		Expect(c.Roll(ctx, first, time.Millisecond)).To(Succeed())
		head, _, err := c.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		second := head.Successor("preparer", "second", first.Content)
		second.ApprovedBy = "approver"
		Expect(c.Roll(ctx, second, time.Millisecond)).To(Succeed())
		Expect(c.Roll(ctx, first, time.Millisecond)).To(Succeed())
		Expect(c.Roll(ctx, signed(1, "never"), time.Millisecond)).To(MatchError(platform.ErrRaced))
		head, _, err = c.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.OperationID).To(Equal("second"))
	})

	It("keeps the operation ids of a bounded number of bundles", func() {
		var head *bundle.Signed
		for i := range 100 {
			head = head.Successor("preparer", fmt.Sprint(i), []byte("{}"))
		}
		Expect(head.Version).To(BeEquivalentTo(100))
		Expect(head.WasInForce("99")).To(BeTrue())
		Expect(head.WasInForce("50")).To(BeTrue())
		Expect(head.WasInForce("10")).To(BeFalse())
		Expect(head.Earlier).To(HaveLen(64))
	})

	// Two operators roll different bundles at the same time. Guards against reporting to both that their
	// bundle is in force.
	It("puts one of several concurrent bundles in force and reports to the others whose it is", func() {
		const operators = 8
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() { errs[i] = c.Roll(ctx, signed(1, fmt.Sprint("operator-", i)), time.Millisecond) })
		}
		wg.Wait()
		head, _, err := c.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		won := 0
		for i, err := range errs {
			if err == nil {
				won++
				Expect(head.OperationID).To(Equal(fmt.Sprint("operator-", i)))
				continue
			}
			Expect(err).To(MatchError(platform.ErrRaced))
			Expect(err.Error()).To(ContainSubstring(head.PreparedBy))
		}
		Expect(won).To(Equal(1))
	})

	It("doesn't roll a version that isn't the next one", func() {
		Expect(c.Roll(ctx, signed(2, "early"), time.Millisecond)).To(MatchError(platform.ErrRaced))
	})

	// One entry of the list of hosts can't be used. Guards against a daemon that finds no other host because of it.
	It("returns the other hosts if one can't be decoded", func() {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"1"`)
			deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
			_, _ = io.WriteString(w, `[{"Name":"a","Control":"10.0.0.1:1"},{"Name":"b","Control":"nowhere"},17,`+deep+
				`,{"Name":"c","Control":"10.0.0.3:1"}]`)
		}))
		defer srv.Close()
		client, stop := platform.NewClient(srv.URL)
		defer stop()
		hosts, findings, err := client.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(Equal([]platform.Host{
			{Name: "a", Control: netip.MustParseAddrPort("10.0.0.1:1")}, {Name: "c", Control: netip.MustParseAddrPort("10.0.0.3:1")},
		}))
		Expect(findings).To(HaveLen(3))
		Expect(findings[0]).To(MatchError(ContainSubstring("host 2 of the list")))
	})

	It("retries until the service is available again", func() {
		service.SetFaults(standin.Faults{Down: true})
		down, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(c.Roll(down, signed(1, "op"), time.Millisecond)).NotTo(Succeed())
		service.SetFaults(standin.Faults{})
		Expect(c.Roll(ctx, signed(1, "op"), time.Millisecond)).To(Succeed())
	})
})
