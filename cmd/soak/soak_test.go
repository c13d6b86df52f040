package main

import (
	"context"
	"testing"
	"time"
)

// TestSoak runs one short seed. Its checks don't depend on the speed of the machine: the guarantees
// for flows and answers hold, and long after the last fault all requests are served again.
func TestSoak(t *testing.T) {
	// failedSeeds holds seeds that once violated a guarantee, by cause. So far there is none.
	failedSeeds := map[string]uint64{}
	seeds := map[string]uint64{"short run": 1}
	for name, seed := range failedSeeds {
		seeds[name] = seed
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			c := &commands{
				Seed: seed, Seeds: 1, Duration: 4 * time.Second, Hosts: 3, Upstreams: 12, Callers: 12,
				Pause: 400 * time.Millisecond, Keep: t.TempDir(),
			}
			failed, err := c.run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if failed > 0 {
				t.Error("a guarantee was violated")
			}
		})
	}
}
