// Command standin runs the cases of the review: it starts the balancers as processes, and stand-ins for clients,
// routers, backends and the platform's store, all on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note writes a line with the seconds since the start of the run.
func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", at.Sub(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(context.Context, *world, bool) (broken bool, err error){
	"recover": runRecover,
	"drain":   runDrain,
	"flow":    runFlow,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BALANCER RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit code.
func run(name, binary, recordFile string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = f.Close() }()
	rec := &record{file: f, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption: %t", name, trouble)
	w, err := newWorld(ctx, binary, rec)
	if w != nil {
		defer w.close()
		defer w.saveLogs()
	}
	if err == nil {
		err = w.startHosts(ctx)
	}
	broken := false
	if err == nil {
		rec.note("%d balancers are ready", len(w.hosts))
		broken, err = cases[name](ctx, w, trouble)
	}
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.note("the rule was broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
