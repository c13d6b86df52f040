package main

import (
	"os/exec"
	"strings"
	"testing"
)

// All hosts lose power and come back together. Each package that the program links adds to
// its start, on a host with a tenth of a core tenfold, and callers wait for it: with the other
// carriage, the tools of operators and what they need, 20 ms more. Somebody adds an import.
func TestLinksNothingOfTheOtherCarriage(t *testing.T) {
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
			t.Errorf("the daemon links %s", unwanted)
		}
	}
}
