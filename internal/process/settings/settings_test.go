package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/settings"
)

const good = `{
  // The host.
  "Name": "balancer-1",
  "Zone": "a",
  "DataAddress": "192.0.2.1:6081",
  "ControlAddress": "192.0.2.1:6082",
  "AdminAddress": "192.0.2.1:6083",
  "Platform": "http://192.0.2.9:7080",
  "Fabrics": ["192.0.2.8:6081"],
  "Secret": "MDEyMzQ1Njc4OWFiY2RlZg==",
  "Operators": [{"Name": "approver", "Key": "AAAA"}],
}`

var _ = Describe("Settings", func() {
	It("are decoded with comments and trailing commas, on top of the defaults", func() {
		s, err := settings.Decode("f", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Workers).To(Equal(settings.Defaults().Workers))
	})

	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown key":      {`"Zone"`, `"Zoen"`, "f:4: Zoen: unknown key"},
		"missing zone":     {`"Zone": "a",`, ``, "f:1: Zone: is missing"},
		"no port":          {`192.0.2.1:6081`, `192.0.2.1`, "f:5: DataAddress"},
		"no URL":           {`http://192.0.2.9:7080`, `192.0.2.9`, "f:8: Platform"},
		"short secret":     {`MDEyMzQ1Njc4OWFiY2RlZg==`, `MDEy`, "f:10: Secret: has 3 bytes"},
		"too many workers": {`"Zone": "a"`, `"Zone": "a", "Workers": 9999`, "f:4: Workers: is 9999, want 1 to 256"},
		"lease too short":  {`"Zone": "a"`, `"Zone": "a", "Lease": "1ms"`, "f:4: Lease: is 1ms"},
		"truncated JSON":   {`}]`, `}`, "f:"},
	} {
		It("are rejected with file, line and field: "+name, func() {
			_, err := settings.Decode("f", []byte(strings.Replace(good, tc.old, tc.new, 1)))
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}

	It("are printed without the secret, durations as text", func() {
		s, err := settings.Decode("f", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		printed := string(s.Print())
		Expect(printed).NotTo(ContainSubstring("MDEyMzQ1"))
		Expect(printed).To(ContainSubstring(`"Lease": "1s"`))
	})
})
