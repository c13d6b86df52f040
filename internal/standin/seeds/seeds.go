// Package seeds fixes the random seeds of property-testing libraries, so that repeated runs of
// the tests in CI give the same result.
package seeds

import "flag"

// Flags of pgregory.net/rapid: their default values and the values that Fix sets.
const (
	seedUnset, checksUnset, noFailFileUnset = "0", "100", "false"
	seed, checks                            = "7", "300"
)

// Fix makes rapid draw the same sequences in each run and write no files for failed ones. Flags
// given on the command line take precedence.
func Fix() {
	setDefault("rapid.seed", seedUnset, seed)
	setDefault("rapid.checks", checksUnset, checks)
	setDefault("rapid.nofailfile", noFailFileUnset, "true")
}

func setDefault(name, unset, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != unset {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err) // The values are constants of the right types.
	}
}
