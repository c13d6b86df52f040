package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/jsonrpc"
)

// standIn is a running stand-in process and the RPC connection to it.
type standIn struct {
	name  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	rpc   *jsonrpc.Client
}

// startStandIn starts this program again with the command that runs one stand-in, and waits until it answers.
// Its log goes to a file in logDir.
func startStandIn(ctx context.Context, kind, name, logDir string, cfg any) (*standIn, error) {
	b, err := json.Marshal(cfg)
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	cmd := exec.CommandContext(context.WithoutCancel(ctx), self, "stand-in", kind, string(b))
	if cmd.Stderr, err = os.Create(filepath.Join(logDir, name+".log")); err != nil {
		return nil, eris.Wrap(err, name)
	}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	s := &standIn{name: name, cmd: cmd, stdin: stdin, rpc: jsonrpc.NewClient(ctx, stdout, stdin)}
	return s, s.call(ctx, methodReady, nil, nil)
}

const callTimeout = 15 * time.Second

// call calls a method of the stand-in, for at most callTimeout. params and result may be nil.
func (s *standIn) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if params == nil {
		params = jsonrpc.Empty{}
	}
	if result == nil {
		result = &jsonrpc.Empty{}
	}
	return eris.Wrap(s.rpc.Call(ctx, method, params, result), s.name)
}

// stop ends the stand-in by closing its standard input and waits for its exit.
func (s *standIn) stop() {
	_ = s.stdin.Close()
	waitOrKill(s.cmd)
}

const stopTimeout = 5 * time.Second

// waitOrKill waits for the process to exit and kills it after stopTimeout.
func waitOrKill(cmd *exec.Cmd) {
	t := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer t.Stop()
	_ = cmd.Wait()
}

// balancer is one of the balancer processes under test.
type balancer struct {
	host
	binary, settings string
	logFile          string
	cmd              *exec.Cmd
	exited           chan struct{}
	exitErr          error
}

// start starts the daemon. It appends to the log of an earlier run.
func (b *balancer) start() error {
	log, err := os.OpenFile(b.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return eris.Wrap(err, b.name)
	}
	defer func() { _ = log.Close() }()
	b.cmd = exec.CommandContext(context.Background(), b.binary, "balancer", "--settings", b.settings)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		return eris.Wrap(err, b.name)
	}
	exited := make(chan struct{})
	b.exited = exited
	cmd := b.cmd
	go func() {
		b.exitErr = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (b *balancer) signal(sig syscall.Signal) {
	_ = b.cmd.Process.Signal(sig)
}

// wait waits for the daemon to exit and returns its error. If that takes longer than limit, it kills the daemon
// and returns an error.
func (b *balancer) wait(limit time.Duration) error {
	select {
	case <-b.exited:
		return b.exitErr
	case <-time.After(limit):
		_ = b.cmd.Process.Kill()
		<-b.exited
		return fmt.Errorf("%s did not exit within %v", b.name, limit)
	}
}

// buildBalancer builds the daemon from this module into dir and returns the program's path.
func buildBalancer(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "fescueshed")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/fescueshed/fescueshed/cmd/fescueshed")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the balancer failed: %w\n%s", err, out)
	}
	return binary, nil
}
