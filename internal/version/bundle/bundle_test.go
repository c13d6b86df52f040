package bundle_test

import (
	"crypto/ed25519"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const good = `// A bundle.
{
  "Services": [
    {
      "Name": "orders", "Team": "shop", "VNI": 101,
      "Addresses": ["198.51.100.1:5683"],
      "Upstreams": [
        {"Name": "u1", "Address": "203.0.113.1:6081", "Zone": "a", "Slots": 2, "Connections": 10},
        {"Name": "u2", "Address": "203.0.113.2:6081", "Zone": "b", "Slots": 2, "Connections": 10}
      ]
    }
  ]
}`

var _ = Describe("Decode", func() {
	It("fills what is left out", func() {
		b, err := bundle.Decode("f", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Services[0].Protocol).To(Equal(bundle.ProtocolCoAP))
		Expect(b.Services[0].IdleTimeout).To(Equal(bundle.DefaultIdleTimeout))
	})

	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown key":       {`"Team"`, `"Taem"`, `f:5: Services[0].Taem: unknown key`},
		"VNI too large":     {`101`, `16777216`, `f:5: Services[0].VNI: is 16777216`},
		"bad address":       {`198.51.100.1:5683`, `nowhere`, `f:6: Services[0].Addresses[0]`},
		"no port":           {`203.0.113.1:6081`, `203.0.113.1:0`, `f:8: Services[0].Upstreams[0].Address`},
		"shared address":    {`203.0.113.2`, `203.0.113.1`, `f:9: Services[0].Upstreams[1].Address: the same upstream address`},
		"name twice":        {`"u2"`, `"u1"`, `f:9: Services[0].Upstreams[1].Name: the same upstream name`},
		"no slots":          {`"Slots": 2`, `"Slots": 0`, `f:8: Services[0].Upstreams[0].Slots: is 0`},
		"key twice":         {`"VNI": 101`, `"VNI": 101, "VNI": 102`, `stands twice`},
		"number for a word": {`"orders"`, `7`, `f:5: Services[0].Name`},
		"no bundle":         {`{`, `[`, `f:1: `},
		"unknown zone": {
			`  "Services"`, `  "Evacuated": ["a", "q"], "Services"`, `f:3: Evacuated[1]: "q" is the zone of no upstream`,
		},
		"zone twice":    {`  "Services"`, `  "Evacuated": ["a", "a"], "Services"`, `f:3: Evacuated[1]: the same zone`},
		"bare duration": {`"VNI": 101`, `"VNI": 101, "Deadline": 3`, `want a duration with its unit`},
	} {
		It("reports with file, line and field: "+name, func() {
			_, err := bundle.Decode("f", []byte(strings.Replace(good, tc.old, tc.new, 1)))
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}

	It("reports all findings together", func() {
		src := strings.NewReplacer(`101`, `0`, `"Zone": "a"`, `"Zone": ""`, `"b"`, `""`).Replace(good)
		_, err := bundle.Decode("f", []byte(src))
		Expect(strings.Split(err.Error(), "\n")).To(HaveLen(3))
	})
})

// An operator mistypes a region. If the bundle came into force, every caller of that route would be refused.
var _ = Describe("A bundle's regions", func() {
	b := &bundle.Bundle{Routes: []bundle.Route{{Regions: []bundle.Region{"north"}}, {Regions: []bundle.Region{"north", "suoth"}}}}

	It("are reported with their place if they are unknown", func() {
		err := b.CheckRegions([]bundle.Region{"north", "south"})
		Expect(err).To(MatchError(ContainSubstring(`Routes[1].Regions[1]: "suoth" is unknown; known regions: [north south]`)))
		Expect(b.CheckRegions([]bundle.Region{"north", "suoth"})).To(Succeed())
	})

	It("make routes differ", func() {
		changed := *b
		changed.Routes = append([]bundle.Route{{}}, b.Routes[1:]...)
		Expect(changed.Digest()).NotTo(Equal(b.Digest()))
	})
})

var _ = Describe("Signed", func() {
	public, private, _ := ed25519.GenerateKey(zeros{})
	trusted := []bundle.Operator{{Name: "approver", Key: public}}
	sign := func() *bundle.Signed {
		s, err := bundle.Sign(bundle.Signed{
			Version: 3, PreparedBy: "preparer", ApprovedBy: "approver", OperationID: "op", Content: []byte(good),
		}, private)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("verifies as it was signed, through its encoding", func() {
		s, err := bundle.DecodeSigned(sign().Encode())
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Verify(trusted)
		Expect(err).NotTo(HaveOccurred())
	})

	for name, tc := range map[string]struct {
		change func(s *bundle.Signed)
		want   error
	}{
		"content":      {func(s *bundle.Signed) { s.Content = append(s.Content, ' ') }, bundle.ErrSignature},
		"version":      {func(s *bundle.Signed) { s.Version++ }, bundle.ErrSignature},
		"operation":    {func(s *bundle.Signed) { s.OperationID = "other" }, bundle.ErrSignature},
		"moved letter": {func(s *bundle.Signed) { s.PreparedBy, s.OperationID = "preparero", "p" }, bundle.ErrSignature},
		"no signature": {func(s *bundle.Signed) { s.Signature = nil }, bundle.ErrSignature},
		"approver":     {func(s *bundle.Signed) { s.ApprovedBy = "stranger" }, bundle.ErrUntrustedApprover},
		"own approval": {func(s *bundle.Signed) { s.PreparedBy = "approver" }, bundle.ErrSelfApproved},
		"no version":   {func(s *bundle.Signed) { s.Version = 0 }, bundle.ErrNoVersion},
	} {
		It("is refused if changed: "+name, func() {
			s := sign()
			tc.change(s)
			_, err := s.Verify(trusted)
			Expect(err).To(MatchError(tc.want))
		})
	}
})

var _ = Describe("Routing", func() {
	decode := func(src string) *bundle.Bundle {
		b, err := bundle.Decode("f", []byte(src))
		Expect(err).NotTo(HaveOccurred())
		return b
	}

	// A desk's feed ends when its upstream is taken out of the bundle. The next
	// version no longer names it; open flows must go on, without new ones.
	It("keeps an upstream that the next version no longer names, as draining", func() {
		first := bundle.NewRouting(1, decode(good), nil)
		line := `{"Name": "u2", "Address": "203.0.113.2:6081", "Zone": "b", "Slots": 2, "Connections": 10}`
		shorter := strings.Replace(good, ",\n        "+line, "", 1)
		Expect(shorter).NotTo(Equal(good))
		second := bundle.NewRouting(2, decode(shorter), first)
		u := second.Upstream(bundle.UpstreamIDOf("orders", "u2"))
		Expect(u).NotTo(BeNil())
		Expect(u.Drain).To(BeTrue())
	})

	// Reminder traffic reaches the statement service. An upstream's address is
	// given to another service while a daemon still remembers the old meaning.
	// A zone is to be switched off. Its upstreams keep their open flows and get no new one, until the
	// next version takes it back.
	It("drains the upstreams of an evacuated zone, and no others", func() {
		b, err := bundle.Decode("f", []byte(strings.Replace(good, `"Services"`, `"Evacuated": ["b"], "Services"`, 1)))
		Expect(err).NotTo(HaveOccurred())
		at := func(r *bundle.Routing) map[bundle.Zone]bool {
			out := make(map[bundle.Zone]bool)
			for _, u := range r.Upstreams() {
				out[u.Zone] = u.Drain
			}
			return out
		}
		evacuated := bundle.NewRouting(1, b, nil)
		Expect(at(evacuated)).To(Equal(map[bundle.Zone]bool{"a": false, "b": true}))
		b.Evacuated = nil
		Expect(at(bundle.NewRouting(2, b, evacuated))).To(Equal(map[bundle.Zone]bool{"a": false, "b": false}))
	})

	It("forgets the old meaning of an address that is given to another service", func() {
		first := bundle.NewRouting(1, decode(good), nil)
		other := strings.NewReplacer(`"orders"`, `"archive"`, `101`, `102`).Replace(good)
		second := bundle.NewRouting(2, decode(other), first)
		Expect(second.Service(101)).To(BeNil())
		Expect(second.UpstreamAt(first.Upstreams()[0].Address.Addr()).Service.VNI).To(BeEquivalentTo(102))
		Expect(second.Upstreams()).To(HaveLen(2))
	})
})

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, src []byte) {
		b, err := bundle.Decode("f", src)
		if err == nil && len(b.Services) == 0 {
			t.Fatal("accepted a bundle without services")
		}
	})
}

func FuzzDecodeSigned(f *testing.F) {
	s := bundle.Signed{Version: 1, PreparedBy: "a", ApprovedBy: "b", Content: []byte(good)}
	f.Add(s.Encode())
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := bundle.DecodeSigned(src)
		if err != nil {
			return
		}
		if _, err := s.Verify([]bundle.Operator{{Name: "b", Key: make([]byte, 32)}}); err == nil {
			t.Fatal("verified without a signature")
		}
	})
}
