package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/version/registry"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// An operator mistypes a zone, evacuates one twice, ends an evacuation that doesn't exist, and runs the
// command while the store refuses calls. Each time the command must report the true state. An unknown
// zone is never written: the operator would switch off the intended zone while it still has its flows.
func TestZoneCommandsAsProcesses(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fescueshed")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	store := metadata.NewStore()
	store.Register(&registry.Registration{
		ID: 7, Service: "feed", Address: netip.MustParseAddrPort("192.0.2.7:80"), Zone: "east", Slots: 1,
	})
	server := httptest.NewServer(store)
	defer server.Close()
	run := func(verb, zone string) (string, error) {
		out, err := exec.Command(binary, "zone", verb, "--store", server.URL, zone).CombinedOutput()
		return string(out), err
	}
	for _, step := range []struct {
		verb, zone, output string
		fails, evacuated   bool
	}{
		{verb: "evacuate", zone: "eats", output: `ZONE: "eats" has no upstream; zones with upstreams: east`, fails: true},
		{verb: "take-back", zone: "east", output: "wasn't evacuated"},
		{verb: "evacuate", zone: "east", output: "Zone east is evacuated.", evacuated: true},
		{verb: "evacuate", zone: "east", output: "evacuated already", evacuated: true},
		{verb: "take-back", zone: "east", output: "Zone east is no longer evacuated."},
	} {
		out, err := run(step.verb, step.zone)
		if (err != nil) != step.fails || !strings.Contains(out, step.output) {
			t.Errorf("%s %s: %v, %q, want %q", step.verb, step.zone, err, out, step.output)
		}
		if there := store.Content(wire.KindEvacuations, "east") != ""; there != step.evacuated {
			t.Errorf("%s %s: evacuation entry in the store: %t, want %t", step.verb, step.zone, there, step.evacuated)
		}
	}
	if store.Content(wire.KindEvacuations, "eats") != "" {
		t.Error("the evacuation of an unknown zone was written")
	}
	store.SetFaults(metadata.Faults{Status: http.StatusServiceUnavailable})
	time.AfterFunc(500*time.Millisecond, func() { store.SetFaults(metadata.Faults{}) })
	if out, err := run("evacuate", "east"); err != nil || store.Content(wire.KindEvacuations, "east") == "" {
		t.Errorf("evacuate while the store refuses calls: %v, %q", err, out)
	}
}
