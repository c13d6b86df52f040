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

// raceBundle is a bundle of one service, whose slots tell who wrote it.
const raceBundle = `{
  // Operator %[1]d, round %[2]d.
  "Services": [{
    "Name": "feed", "VNI": 7, "Protocol": "CoAP", "Addresses": ["192.0.2.%[1]d:5683"],
    "Upstreams": [{"Name": "u", "Address": "192.0.2.200:6081", "Zone": "a", "Slots": %[2]d, "Connections": 10}],
  }],
}`

// rollOf is what one operator's attempt at a new version came to.
type rollOf struct {
	operator string
	version  string
	accepted bool
	said     string
}

// Four operators prepare, approve and roll at the same time, each with the commands, while
// the platform loses answers of writes. Each must learn whether theirs is in force: if two
// believe so, one of them waits for a change that nobody has.
func TestOperatorsRaceAsProcesses(t *testing.T) {
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
	rolls := make([][]rollOf, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { rolls[i] = operate(t, run, dir, server.URL, i+1, rounds) })
	}
	wg.Wait()
	judge(t, rolls)
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
		t.Errorf("the last version that was accepted is %d, in force is: %s", last, head)
	}
}

var (
	preparedVersion = regexp.MustCompile(`Prepared version (\d+)`)
	toldVersion     = regexp.MustCompile(`version (\d+) by (operator-\d+), approved by`)
	acceptedVersion = regexp.MustCompile(`Version (\d+) is accepted`)
)

// operate takes bundles of one operator through the commands, one after the other.
func operate(t *testing.T, run func(...string) (string, error), dir, platform string, n, rounds int) []rollOf {
	name := fmt.Sprintf("operator-%d", n)
	file := func(what string) string { return filepath.Join(dir, name+"-"+what) }
	if out, err := run("key", "new", name+"-approver", file("key")); err != nil {
		t.Errorf("%v\n%s", err, out)
		return nil
	}
	var done []rollOf
	for round := range rounds {
		if err := os.WriteFile(file("bundle"), fmt.Appendf(nil, raceBundle, n, round+1), 0o600); err != nil {
			t.Error(err)
			return nil
		}
		out, err := run("bundle", "prepare", "--platform", platform, "--by", name, "--out", file("prepared"), file("bundle"))
		if err != nil {
			t.Errorf("%v\n%s", err, out)
			return nil
		}
		r := rollOf{operator: name, version: preparedVersion.FindStringSubmatch(out)[1]}
		if out, err := run("bundle", "approve", "--key", file("key"), "--out", file("approved"), file("prepared")); err != nil {
			t.Errorf("%v\n%s", err, out)
			return nil
		}
		r.said, err = run("bundle", "roll", "--platform", platform, file("approved"))
		r.accepted = err == nil
		done = append(done, r)
	}
	return done
}

// judge checks that each version has one winner, and that all others were told so.
func judge(t *testing.T, rolls [][]rollOf) {
	winners := make(map[string]string)
	for _, list := range rolls {
		for _, r := range list {
			if !r.accepted {
				continue
			}
			if m := acceptedVersion.FindStringSubmatch(r.said); m == nil || m[1] != r.version {
				t.Errorf("%s rolled version %s and was told: %s", r.operator, r.version, r.said)
			}
			if other := winners[r.version]; other != "" {
				t.Errorf("version %s was accepted from %s and from %s", r.version, other, r.operator)
			}
			winners[r.version] = r.operator
		}
	}
	if len(winners) == 0 {
		t.Error("nobody won")
	}
	for _, list := range rolls {
		for _, r := range list {
			if r.accepted {
				continue
			}
			m := toldVersion.FindStringSubmatch(r.said)
			if m == nil || winners[m[1]] != m[2] || winners[r.version] == "" {
				t.Errorf("%s lost version %s to %q and was told: %s", r.operator, r.version, winners[r.version], r.said)
			}
		}
	}
}
