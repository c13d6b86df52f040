package timer_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/timer"
)

var _ = Describe("Service", func() {
	It("calls each subscriber until it is cancelled", func() {
		s, stop := timer.New()
		defer stop()
		var fast, slow atomic.Int32
		cancel := s.Subscribe(time.Millisecond, func(time.Time) { fast.Add(1) })
		s.Subscribe(5*time.Millisecond, func(time.Time) { slow.Add(1) })
		Eventually(slow.Load).Should(BeNumerically(">", 2))
		cancel()
		cancel()
		seen := slow.Load()
		Eventually(slow.Load).Should(BeNumerically(">", seen+2))
		after := fast.Load()
		Eventually(slow.Load).Should(BeNumerically(">", seen+5))
		Expect(fast.Load()).To(BeNumerically("<=", after+1))
	})

	It("calls no subscriber after it was stopped", func() {
		s, stop := timer.New()
		var calls atomic.Int32
		s.Subscribe(time.Millisecond, func(time.Time) { calls.Add(1) })
		Eventually(calls.Load).Should(BeNumerically(">", 0))
		stop()
		stop()
		Expect(calls.Load()).To(Equal(calls.Load()))
	})
})
