package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/experiment"
	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

type experimentCommand struct {
	Pattern []string `arg:"" optional:"" help:"Built-in patterns, or files (*.hujson); all built-in ones but wide if none is given."`
	// Admission overrides Pattern.Admission unless it is pattern.
	Admission string   `help:"Admission control: on, off, or as each pattern says." enum:"on,off,pattern" default:"pattern"`
	Policy    []string `help:"Policies to compare; all if none is given." placeholder:"NAME"`
	Seeds     int      `help:"Number of seeds to simulate." default:"8"`
	Seed      uint64   `help:"The first seed." default:"1"`
	Jobs      int      `help:"Simulations run in parallel; the number of cores if zero."`
	JSON      bool     `help:"Print JSON."`
	Page      string   `help:"File to write an HTML page with plots to." type:"path"`
	Quiet     bool     `help:"Don't show progress."`
	List      bool     `help:"List the names of patterns and policies, and exit."`
}

// widePattern is simulated only if it is named on the command line: it takes half a minute.
const widePattern = "wide"

// Run simulates the patterns under each policy and prints a comparison of the policies.
func (c *experimentCommand) Run(ctx context.Context) error {
	if c.List {
		return c.list()
	}
	patterns, err := c.patterns()
	if err != nil {
		return err
	}
	policies, err := c.policies()
	if err != nil {
		return err
	}
	o := experiment.Options{Patterns: patterns, Policies: policies, Seeds: c.Seeds, FirstSeed: c.Seed, Workers: c.Jobs}
	if !c.Quiet {
		o.Progress = showProgress
	}
	r, err := experiment.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := c.writePage(r); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return r.Print(os.Stdout)
}

// showProgress overwrites one line of standard error with the number of finished simulations.
func showProgress(done, all int) {
	fmt.Fprintf(os.Stderr, "\r%d of %d simulations", done, all)
	if done == all {
		fmt.Fprintln(os.Stderr)
	}
}

func (c *experimentCommand) list() error {
	names, err := emulator.PatternNames()
	if err != nil {
		return err
	}
	fmt.Println("Patterns:", strings.Join(names, ", "))
	fmt.Println("Policies:", strings.Join(policyNames(), ", "))
	return nil
}

func policyNames() []string {
	policies := emulator.Policies()
	out := make([]string, 0, len(policies))
	for _, p := range policies {
		out = append(out, p.Name)
	}
	return out
}

func (c *experimentCommand) patterns() ([]*emulator.Pattern, error) {
	names := c.Pattern
	if len(names) == 0 {
		all, err := emulator.PatternNames()
		if err != nil {
			return nil, err
		}
		names = slices.DeleteFunc(all, func(n string) bool { return n == widePattern })
	}
	out := make([]*emulator.Pattern, 0, len(names))
	for _, n := range names {
		p, err := readPattern(n)
		if err != nil {
			return nil, err
		}
		if c.Admission == "on" || c.Admission == "off" {
			p.Admission = c.Admission == "on"
		}
		out = append(out, p)
	}
	return out, nil
}

// readPattern reads the pattern file if name ends in .hujson, otherwise the built-in pattern of that name.
func readPattern(name string) (*emulator.Pattern, error) {
	if !strings.HasSuffix(name, ".hujson") {
		return emulator.BuiltIn(name)
	}
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read pattern file")
	}
	return emulator.DecodePattern(name, src)
}

func (c *experimentCommand) policies() ([]emulator.NamedPolicy, error) {
	all := emulator.Policies()
	if len(c.Policy) == 0 {
		return all, nil
	}
	var out []emulator.NamedPolicy
	for _, name := range c.Policy {
		i := slices.IndexFunc(all, func(p emulator.NamedPolicy) bool { return p.Name == name })
		if i < 0 {
			return nil, eris.Errorf("--policy is %q, want one of %s", name, strings.Join(policyNames(), ", "))
		}
		out = append(out, all[i])
	}
	return out, nil
}

func (c *experimentCommand) writePage(r *experiment.Report) error {
	if c.Page == "" {
		return nil
	}
	f, err := os.Create(c.Page)
	if err != nil {
		return eris.Wrap(err, "create page file")
	}
	if err := r.WritePage(f); err != nil {
		_ = f.Close() // Report the first error.
		return err
	}
	return eris.Wrap(f.Close(), "close page file")
}
