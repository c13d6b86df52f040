package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// startProcesses starts a balancer on each host of a new world and returns them with a function that reads the log of one.
func startProcesses(t *testing.T, hosts int) (w *world.World, procs []*world.Process, log func(host int) string) {
	t.Helper()
	binary, clean, err := world.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clean)
	w, closeWorld, err := world.New(t.Context(), world.Options{Seed: 1, Hosts: hosts, Upstreams: 3, Callers: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeWorld)
	dir := t.TempDir()
	procs, stop, err := w.StartProcesses(t.Context(), binary, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return w, procs, func(host int) string {
		b, err := os.ReadFile(filepath.Join(dir, w.Hosts[host].Name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
}

const (
	// hupPeriod is the time between two SIGHUP, maxWait how long the test waits for what follows from them.
	hupPeriod = 10 * time.Millisecond
	maxWait   = 30 * time.Second
)

// hupUntil sends SIGHUP to a process until done reports true.
func hupUntil(t *testing.T, p *world.Process, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); !done(); {
		if time.Now().After(deadline) {
			t.Fatal("nothing happens")
		}
		p.Signal(syscall.SIGHUP)
		time.Sleep(hupPeriod)
	}
}

// Guards against a planned stop that is cut short because the settings change meanwhile.
func TestSIGHUPDoesNotEndLeavingProcess(t *testing.T) {
	_, procs, log := startProcesses(t, 2)
	procs[0].Signal(syscall.SIGTERM)
	const started = "Daemon started"
	hupUntil(t, procs[0], func() bool { return strings.Contains(log(0), `"Ended"`) || strings.Count(log(0), started) > 1 })
	if !strings.Contains(log(0), `"Ended"`) {
		t.Errorf("the process ended before it had left:\n%s", log(0))
	}
}

// Guards against a start that fails because the settings change in its first moments.
func TestSIGHUPDoesNotEndStartingProcess(t *testing.T) {
	w, procs, log := startProcesses(t, 1)
	w.Hosts[0].StoreProxy.SetFault(world.LinkReset) // It isn't ready until the fault ends.
	procs[0].Signal(syscall.SIGKILL)
	const started = "Daemon started"
	for deadline := time.Now().Add(maxWait); strings.Count(log(0), started) < 2; time.Sleep(hupPeriod) {
		if time.Now().After(deadline) {
			t.Fatal("the process isn't started again")
		}
	}
	const signals = 60
	sent := 0
	hupUntil(t, procs[0], func() bool {
		sent++
		return sent > signals || strings.Count(log(0), started) > 2
	})
	w.Hosts[0].StoreProxy.SetFault(world.LinkOK)
	hupUntil(t, procs[0], func() bool { return strings.Count(log(0), `"Ready"`) > 1 })
	if n := strings.Count(log(0), started); n > 2 {
		t.Errorf("the process started %d times, want 2:\n%s", n, log(0))
	}
}
