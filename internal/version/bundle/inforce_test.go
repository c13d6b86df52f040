package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var _ = Describe("InForce", func() {
	// A bundle that was delayed on its way arrives after a newer one, and routes that
	// the newer one dropped come back.
	It("never goes back to an older version", func() {
		var f bundle.InForce
		applied := []bundle.Version{}
		take := func(v bundle.Version) bool {
			taken, err := f.ApplyIfNewer(v, func() error {
				applied = append(applied, v)
				return nil
			})
			Expect(err).NotTo(HaveOccurred())
			return taken
		}
		Expect(take(3)).To(BeTrue())
		Expect(take(2)).To(BeFalse())
		Expect(take(3)).To(BeFalse())
		Expect(take(4)).To(BeTrue())
		Expect(applied).To(Equal([]bundle.Version{3, 4}))
		Expect(f.Version()).To(Equal(bundle.Version(4)))
	})

	It("stays at the old version if the new one can't be applied", func() {
		var f bundle.InForce
		taken, err := f.ApplyIfNewer(1, func() error { return eris.New("unusable") })
		Expect(taken).To(BeFalse())
		Expect(err).To(HaveOccurred())
		Expect(f.Version()).To(BeZero())
	})
})
