// Package seeds fixes what the libraries of tests draw at random, so that CI gives one
// verdict.
package seeds

import "flag"

// Flags of pgregory.net/rapid with their values when none is given on the command line.
const (
	seedUnset, checksUnset, noFailFileUnset = "0", "100", "false"
	seed, checks                            = "7", "300"
)

// Fix makes rapid draw the same sequences in each run and write no files of failed ones.
// Flags given on the command line hold.
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
		panic(err) // The values are constants of the right kinds.
	}
}
