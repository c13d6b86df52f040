package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// Sizes of a trial of the cookie data path.
const (
	cookieUpstreams = 18
	cookieCallers   = 40
)

// runCookie runs a trial of the cookie data path with the failures named on the command line. For faults
// at random times see cmd/soak.
func (c *runCommand) runCookie(ctx context.Context) error {
	failures, err := findCookieFailures(c.Failure)
	if err != nil {
		return err
	}
	binary := c.Binary
	if binary == "" {
		built, clean, err := world.Build(ctx)
		if err != nil {
			return err
		}
		defer clean()
		binary = built
	}
	dir, err := os.MkdirTemp("", "fescueshed-try-")
	if err != nil {
		return eris.Wrap(err, "try: create temporary directory")
	}
	if c.Keep {
		fmt.Println("Logs and settings are kept in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w, closeWorld, err := world.New(ctx, world.Options{
		Seed: c.Seed, Hosts: c.Balancers, Upstreams: cookieUpstreams, Callers: cookieCallers,
		Admission: c.Admission || slices.Contains(c.Failure, shortageName),
	})
	if err != nil {
		return err
	}
	defer closeWorld()
	procs, stop, err := w.StartProcesses(ctx, binary, dir)
	if err != nil {
		return err
	}
	defer stop()
	work, end := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second)
	defer end()
	startCookieFailures(work, failures, w, procs)
	stats, err := w.RunCallers(work)
	if err != nil {
		return err
	}
	return c.reportCookie(w, stats)
}

// reportCookie prints the results of the callers, and returns an error if a guarantee was violated.
func (c *runCommand) reportCookie(w *world.World, stats []flows.CallerStats) error {
	broken, err := w.AdmissionViolations(stats)
	if err != nil {
		return err
	}
	broken = append(broken, w.Violations()...)
	requests, answered, opened := 0, 0, 0
	for i := range stats {
		requests += stats[i].Requests
		answered += stats[i].Answered
		opened += stats[i].Opened
		broken = append(broken, stats[i].Violations...)
	}
	fmt.Printf("%d balancers: %d of %d requests answered over %d flows, %d broken promises, %d calls of the store\n",
		c.Balancers, answered, requests, opened, len(broken), w.Store.CallCount())
	if urgent, others := w.CountRefusals(stats); others.Attempts > 0 {
		fmt.Printf("in the shortage, urgent callers: %+v, others: %+v\n", urgent, others)
	}
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return eris.New("a promise was broken")
	}
	return nil
}
