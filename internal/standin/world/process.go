package world

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Build builds the balancer from this module. It returns the path of the binary and a function that removes the
// binary.
func Build(ctx context.Context) (string, func(), error) {
	dir, err := os.MkdirTemp("", "fescueshed-world-")
	if err != nil {
		return "", nil, eris.Wrap(err, "world")
	}
	clean := func() { _ = os.RemoveAll(dir) }
	binary := filepath.Join(dir, "fescueshed-cookie")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/fescueshed/fescueshed/cmd/fescueshed-cookie")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		clean()
		return "", nil, eris.Wrap(err, "world: build")
	}
	return binary, clean, nil
}

// startTimeout bounds the start of all processes of a world together. startPollInterval is the time between two
// checks of whether they are ready.
const (
	startTimeout      = 20 * time.Second
	startPollInterval = 100 * time.Millisecond
)

// StartProcesses starts a balancer on each host and waits until the router has all of them in rotation.
// It writes settings and logs to dir. The clean-up function ends the processes.
func (w *World) StartProcesses(ctx context.Context, binary, dir string) ([]*Process, func(), error) {
	w.logs = dir
	var procs []*Process
	stop := func() {
		for _, p := range procs {
			p.Stop()
		}
	}
	for _, h := range w.Hosts {
		p, err := newProcess(binary, dir, h.Name, w.Settings(h))
		if err != nil {
			stop()
			return nil, nil, err
		}
		procs = append(procs, p)
	}
	for deadline := time.Now().Add(startTimeout); w.Router.InRotation() < len(procs); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			stop()
			return nil, nil, eris.Errorf("world: only %d of %d balancers became ready", w.Router.InRotation(), len(procs))
		}
		time.Sleep(startPollInterval)
	}
	return procs, stop, nil
}

// Process is one balancer process. It is started again whenever it ends, until Stop. It is safe for
// concurrent use.
type Process struct {
	binary, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	paused  bool
	done    chan struct{}
}

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 300 * time.Millisecond

func newProcess(binary, dir, name, settings string) (*Process, error) {
	p := &Process{
		binary: binary, settings: filepath.Join(dir, name+".hujson"), log: filepath.Join(dir, name+".log"),
		done: make(chan struct{}),
	}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, name)
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "world: log")
	}
	cmd := exec.CommandContext(context.Background(), p.binary, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := p.startUnlessStopped(cmd); err != nil {
		_ = log.Close()
		return eris.Wrap(err, "world: start")
	}
	go func() {
		_ = cmd.Wait() // The process's log tells how it ended.
		_ = log.Close()
		p.restartUnlessStopped()
	}()
	return nil
}

// errStopped is returned by a start after Stop was called.
var errStopped = eris.New("world: the process was stopped")

// startUnlessStopped starts cmd, so that a concurrent Stop either prevents the start or kills cmd.
func (p *Process) startUnlessStopped(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStopped
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// restartUnlessStopped starts the process again after restartDelay. If Stop was called, or the start fails, it closes
// p.done instead.
func (p *Process) restartUnlessStopped() {
	time.Sleep(restartDelay)
	if p.start() != nil {
		close(p.done)
	}
}

// Signal sends a signal to the process by its process id. It does nothing after Stop was called.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
		_ = p.cmd.Process.Signal(s) // The process may have ended in the meantime.
	}
}

// Pause suspends the process for a time, as on a host that freezes. It does nothing if the process is suspended
// already.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	wasPaused := p.paused
	p.paused = true
	p.mu.Unlock()
	if wasPaused {
		return
	}
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.Signal(syscall.SIGCONT)
		p.mu.Lock()
		p.paused = false
		p.mu.Unlock()
	})
}

// Stop kills the process, doesn't start it again, and waits for its end.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopped = true
	for _, s := range [...]syscall.Signal{syscall.SIGCONT, syscall.SIGKILL} {
		_ = p.cmd.Process.Signal(s) // The process may have ended in the meantime.
	}
	p.mu.Unlock()
	<-p.done
}
