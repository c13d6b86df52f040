package main

import (
	"context"
	"testing"
	"time"
)

// TestSoak plays one short seed. What it checks doesn't depend on how fast the
// machine is: promises about flows and answers, and that all is served again long
// after the last fault.
func TestSoak(t *testing.T) {
	// failedSeeds are those that ever broke a promise, with their causes. None has.
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
				t.Error("a promise was broken")
			}
		})
	}
}
