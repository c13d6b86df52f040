package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// methodBundle returns the signed bundle that the daemon has in force.
const methodBundle = "Bundle.Get"

// errNoBundle is the JSON-RPC code of a daemon without a bundle, in the range
// that the specification leaves to servers.
const errNoBundle = -32001

// startRPC serves JSON-RPC 2.0 to other daemons over TCP.
func (d *Daemon) startRPC(ctx context.Context) (func(), error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", d.cfg.ControlAddress.String())
	if err != nil {
		return nil, eris.Wrapf(err, "rpc: listen on %s", d.cfg.ControlAddress)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { d.serveRPC(ctx, c) })
		}
	})
	return func() {
		cancel()
		_ = l.Close()
		wg.Wait()
	}, nil
}

func (d *Daemon) serveRPC(ctx context.Context, c net.Conn) {
	h := jsonrpc2.HandlerWithError(d.handleRPC)
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{}), h)
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

func (d *Daemon) handleRPC(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodBundle {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	s := d.bundles.newest()
	if s == nil {
		return nil, &jsonrpc2.Error{Code: errNoBundle, Message: "no bundle is in force here"}
	}
	return s, nil
}

// fetchBundle asks another daemon for its bundle. What comes is trusted only by
// its signature.
func fetchBundle(ctx context.Context, from netip.AddrPort) (*bundle.Signed, error) {
	var nd net.Dialer
	c, err := nd.DialContext(ctx, "tcp", from.String())
	if err != nil {
		return nil, eris.Wrap(err, "rpc")
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{}), noHandler{})
	defer func() { _ = conn.Close() }()
	var raw json.RawMessage
	if err := conn.Call(ctx, methodBundle, nil, &raw); err != nil {
		return nil, eris.Wrap(err, "rpc")
	}
	return bundle.DecodeSigned(raw)
}

// noHandler ignores requests on a connection that only calls.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
