package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against an import that makes the start slow. When all hosts restart together after a power
// failure, callers wait for the start. Each linked package adds to it, and ten times as much on a host
// with a tenth of a core: the Geneve data path, the operators' tools and their dependencies add 20 ms.
func TestLinksNoGenevePathOrOperatorTools(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, unwanted := range []string{
		"github.com/fescueshed/fescueshed/internal/connection/caller",
		"github.com/fescueshed/fescueshed/internal/process/capacity",
		"github.com/fescueshed/fescueshed/internal/process/daemon",
		"github.com/fescueshed/fescueshed/internal/process/flowtrace",
		"github.com/fescueshed/fescueshed/internal/standin",
		"github.com/gopacket/gopacket",
		"github.com/plgd-dev/go-coap",
	} {
		if strings.Contains(string(out), unwanted) {
			t.Errorf("fescueshed-cookie links package %s", unwanted)
		}
	}
}
