package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
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

	It("writes only over the version it knows", func() {
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

	It("says that an object isn't there", func() {
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

	// An operator is told that rolling failed, rolls again, and the same change
	// is made twice. The write took effect but its answer was lost.
	It("finds a write again whose answer was lost", func() {
		service.SetFaults(standin.Faults{LoseAnswers: 1})
		Expect(c.Roll(ctx, signed(1, "first"), time.Millisecond)).To(Succeed())
		head, v, err := c.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.OperationID).To(Equal("first"))
		Expect(v).To(BeEquivalentTo(1), "it was written once")
	})

	// The answer of an operator's write was lost, and another operator rolled the next version
	// before they asked again. They are told that theirs never was in force.
	It("finds a write again though another bundle was rolled since", func() {
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

	It("remembers the operations of a bounded number of bundles", func() {
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

	// Two operators roll different bundles at the same time, and both are told
	// that theirs is in force.
	It("lets one of several racing operators win and tells the others who did", func() {
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

	It("tries until the service is back", func() {
		service.SetFaults(standin.Faults{Down: true})
		down, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(c.Roll(down, signed(1, "op"), time.Millisecond)).NotTo(Succeed())
		service.SetFaults(standin.Faults{})
		Expect(c.Roll(ctx, signed(1, "op"), time.Millisecond)).To(Succeed())
	})
})
