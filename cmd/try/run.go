package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type runCommand struct {
	Carriage   string        `help:"Data path: Geneve, or by cookie." enum:"geneve,cookie" default:"geneve"`
	Deployment string        `help:"Deployment whose sizes to use." enum:"kandy,pfarrbrief" default:"kandy"`
	Balancers  int           `help:"Number of balancers to start, spread over the zones." default:"6"`
	Seconds    int           `help:"How long callers send requests, in seconds." default:"12"`
	Seed       uint64        `help:"Seed of the callers' choices." default:"1"`
	Failure    []string      `help:"Names of failures to inject; see --list-failures."`
	ListFails  bool          `name:"list-failures" help:"List the failures and exit."`
	JSON       bool          `name:"json" help:"Print the report as JSON in a last line."`
	Binary     string        `help:"Path of the balancer's program; built from this module if not given." type:"path"`
	Keep       bool          `help:"Keep the directory with logs and settings."`
	Admission  bool          `help:"Switch admission control on; with --carriage cookie."`
	Callers    int           `help:"Number of callers of the first service; 0 for that of the deployment." default:"0"`
	Period     time.Duration `help:"Mean time between a caller's requests." default:"600ms"`
}

const (
	minBalancers = 3
	maxBalancers = 60
)

// Run runs one trial. It returns an error if a guarantee was violated.
func (c *runCommand) Run(ctx context.Context) error {
	if c.ListFails {
		listFailures()
		return nil
	}
	if c.Balancers < minBalancers || c.Balancers > maxBalancers {
		return fmt.Errorf("--balancers is %d, want %d to %d", c.Balancers, minBalancers, maxBalancers)
	}
	if c.Carriage == "cookie" {
		return c.runCookie(ctx)
	}
	fails, err := findFailures(c.Failure)
	if err != nil {
		return err
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
	t := &trial{opts: c, dir: dir, deploy: deployments()[c.Deployment]}
	defer t.stop()
	if err := t.start(ctx); err != nil {
		return err
	}
	if err := t.runTraffic(ctx, fails); err != nil {
		return err
	}
	return t.finish(ctx)
}

// finish collects the ledgers, prints the report and returns an error if a guarantee was violated.
func (t *trial) finish(ctx context.Context) error {
	r, broken, err := t.collect(ctx)
	if err != nil {
		return err
	}
	t.logf("%d requests: %d answered, %d refused as not run, %d with unknown outcome, %d without any answer",
		r.Requests, r.Answered, r.Refused, r.Unknown, r.TimedOut)
	for _, b := range broken {
		t.logf("broken: %s", b)
	}
	printReport(&r)
	if t.opts.JSON {
		b, err := json.Marshal(r)
		if err != nil {
			return eris.Wrap(err, "try: encode report")
		}
		fmt.Printf("%s\n", b)
	}
	if !r.NoViolations() {
		return eris.New("a promise was broken")
	}
	return nil
}

// logf prints a line with the seconds since the trial began.
func (t *trial) logf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(t.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// findFailures returns the failures with the given names, or an error if there is none of a name.
func findFailures(names []string) ([]failure, error) {
	table := failures()
	var out []failure
	for _, n := range names {
		f, ok := table[strings.TrimSpace(n)]
		if !ok {
			return nil, fmt.Errorf("no failure is named %q; see --list-failures", n)
		}
		out = append(out, f)
	}
	return out, nil
}
