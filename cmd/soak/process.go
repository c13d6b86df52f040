package main

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

// build returns the balancer's program and a function that removes it.
func (c *commands) build(ctx context.Context) (string, func(), error) {
	if c.Binary != "" {
		return c.Binary, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "fescueshed-soak-")
	if err != nil {
		return "", nil, eris.Wrap(err, "soak")
	}
	clean := func() { _ = os.RemoveAll(dir) }
	binary := filepath.Join(dir, "fescueshed")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/fescueshed/fescueshed/cmd/fescueshed")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		clean()
		return "", nil, eris.Wrap(err, "soak: build")
	}
	return binary, clean, nil
}

// process is one balancer, which is started again whenever it ends. It is safe for
// concurrent use.
type process struct {
	binary, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	held    bool
	done    chan struct{}
}

// restartPause is how long a process that ended stays away.
const restartPause = 300 * time.Millisecond

func newProcess(binary, dir, name, settings string) (*process, error) {
	p := &process{
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

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "soak: log")
	}
	cmd := exec.CommandContext(context.Background(), p.binary, "cookie", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrap(err, "soak: start")
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

func (p *process) ended() {
	time.Sleep(restartPause)
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped || p.start() != nil {
		close(p.done)
	}
}

// signal sends a signal to the process by its id, unless it is held.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
		_ = p.cmd.Process.Signal(s) // It may have ended just now.
	}
}

// pause stops the process for a time, as a host that freezes.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	held := p.held
	p.held = true
	p.mu.Unlock()
	if held {
		return
	}
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.signal(syscall.SIGCONT)
		p.mu.Lock()
		p.held = false
		p.mu.Unlock()
	})
}

// stop ends the process for good and waits for it.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	<-p.done
}
