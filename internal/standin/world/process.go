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

// Build returns the balancer's program, built from this module, and a function that
// removes it.
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

// startWait bounds the start of all processes of a world.
const (
	startWait = 20 * time.Second
	startPoll = 100 * time.Millisecond
)

// StartProcesses starts a balancer on each host and waits until all are in rotation.
// Settings and logs go to dir. The clean-up function ends them.
func (w *World) StartProcesses(ctx context.Context, binary, dir string) ([]*Process, func(), error) {
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
	for deadline := time.Now().Add(startWait); w.Router.InRotation() < len(procs); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			stop()
			return nil, nil, eris.Errorf("world: %d of %d balancers are ready", w.Router.InRotation(), len(procs))
		}
		time.Sleep(startPoll)
	}
	return procs, stop, nil
}

// Process is one balancer, which is started again whenever it ends. It is safe for
// concurrent use.
type Process struct {
	binary, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	held    bool
	done    chan struct{}
}

// restartPause is how long a process that ended stays away.
const restartPause = 300 * time.Millisecond

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
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrap(err, "world: start")
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended stands in its log.
		_ = log.Close()
		p.ended()
	}()
	return nil
}

func (p *Process) ended() {
	time.Sleep(restartPause)
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped || p.start() != nil {
		close(p.done)
	}
}

// Signal sends a signal to the process by its id.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
		_ = p.cmd.Process.Signal(s) // It may have ended just now.
	}
}

// Pause stops the process for a time, as a host that freezes.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	held := p.held
	p.held = true
	p.mu.Unlock()
	if held {
		return
	}
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.Signal(syscall.SIGCONT)
		p.mu.Lock()
		p.held = false
		p.mu.Unlock()
	})
}

// Stop ends the process for good and waits for it.
func (p *Process) Stop() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	<-p.done
}
