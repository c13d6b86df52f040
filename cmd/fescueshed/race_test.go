package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	standin "github.com/fescueshed/fescueshed/internal/standin/platform"
)

// bundleTemplate is a bundle of one service. The operator's number is in the service's address, the
// round is the number of slots.
const bundleTemplate = `{
  // Operator %[1]d, round %[2]d.
  "Services": [{
    "Name": "feed", "VNI": 7, "Protocol": "CoAP", "Addresses": ["192.0.2.%[1]d:5683"],
    "Upstreams": [{"Name": "u", "Address": "192.0.2.200:6081", "Zone": "a", "Slots": %[2]d, "Connections": 10}],
  }],
}`

// rollResult is the result of one operator's attempt to roll a new version.
type rollResult struct {
	operator string
	version  string
	accepted bool
	output   string
}

// Four operators run the commands to prepare, approve and roll bundles concurrently, while the platform
// loses answers to writes. Each must learn whether their bundle is in force: if two were told so, one of
// them would wait for a change that no balancer has.
func TestOperatorsRollConcurrently(t *testing.T) {
	const operators, rounds = 4, 4
	dir := t.TempDir()
	binary := filepath.Join(dir, "fescueshed")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	service := standin.New()
	service.SetFaults(standin.Faults{LoseAnswers: 3})
	server := httptest.NewServer(service)
	defer server.Close()
	run := func(args ...string) (string, error) {
		out, err := exec.CommandContext(context.Background(), binary, args...).CombinedOutput()
		return string(out), err
	}
	rolls := make([][]rollResult, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { rolls[i] = rollBundles(t, run, dir, server.URL, i+1, rounds) })
	}
	wg.Wait()
	checkWinners(t, rolls)
	head, err := run("bundle", "status", "--platform", server.URL)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, list := range rolls {
		for _, r := range list {
			if v, err := strconv.Atoi(r.version); err == nil && r.accepted {
				last = max(last, v)
			}
		}
	}
	if !strings.HasPrefix(head, fmt.Sprintf("Version %d,", last)) {
		t.Errorf("last accepted version is %d, but bundle status prints: %s", last, head)
	}
}

var (
	preparedVersion = regexp.MustCompile(`Prepared version (\d+)`)
	winningVersion  = regexp.MustCompile(`version (\d+) by (operator-\d+), approved by`)
	acceptedVersion = regexp.MustCompile(`Version (\d+) is accepted`)
)

// rollBundles prepares, approves and rolls one bundle of an operator per round, one after the other.
func rollBundles(t *testing.T, run func(...string) (string, error), dir, platform string, n, rounds int) []rollResult {
	name := fmt.Sprintf("operator-%d", n)
	file := func(suffix string) string { return filepath.Join(dir, name+"-"+suffix) }
	if out, err := run("key", "new", name+"-approver", file("key")); err != nil {
		t.Errorf("%v\n%s", err, out)
		return nil
	}
	var done []rollResult
	for round := range rounds {
		if err := os.WriteFile(file("bundle"), fmt.Appendf(nil, bundleTemplate, n, round+1), 0o600); err != nil {
			t.Error(err)
			return nil
		}
		out, err := run("bundle", "prepare", "--platform", platform, "--by", name, "--out", file("prepared"), file("bundle"))
		if err != nil {
			t.Errorf("%v\n%s", err, out)
			return nil
		}
		r := rollResult{operator: name, version: preparedVersion.FindStringSubmatch(out)[1]}
		if out, err := run("bundle", "approve", "--key", file("key"), "--out", file("approved"), file("prepared")); err != nil {
			t.Errorf("%v\n%s", err, out)
			return nil
		}
		r.output, err = run("bundle", "roll", "--platform", platform, file("approved"))
		r.accepted = err == nil
		done = append(done, r)
	}
	return done
}

// checkWinners checks that each version was accepted from exactly one operator, and that the commands of
// all others named that operator.
func checkWinners(t *testing.T, rolls [][]rollResult) {
	winners := make(map[string]string)
	for _, list := range rolls {
		for _, r := range list {
			if !r.accepted {
				continue
			}
			if m := acceptedVersion.FindStringSubmatch(r.output); m == nil || m[1] != r.version {
				t.Errorf("%s rolled version %s, but the command printed: %s", r.operator, r.version, r.output)
			}
			if other := winners[r.version]; other != "" {
				t.Errorf("version %s was accepted from %s and from %s", r.version, other, r.operator)
			}
			winners[r.version] = r.operator
		}
	}
	if len(winners) == 0 {
		t.Error("no version was accepted from any operator")
	}
	for _, list := range rolls {
		for _, r := range list {
			if r.accepted {
				continue
			}
			m := winningVersion.FindStringSubmatch(r.output)
			if m == nil || winners[m[1]] != m[2] || winners[r.version] == "" {
				t.Errorf("%s lost version %s to %q, but the command printed: %s", r.operator, r.version, winners[r.version], r.output)
			}
		}
	}
}
