package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// ServeRPC serves JSON-RPC 2.0 to other daemons over TCP until the returned function is called.
// That function waits until all connections are closed.
func ServeRPC(ctx context.Context, at netip.AddrPort, h jsonrpc2.Handler) (func(), error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, eris.Wrapf(err, "rpc: listen on %s", at)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // The listener was closed.
			}
			wg.Go(func() { serveRPC(ctx, c, h) })
		}
	})
	return func() {
		cancel()
		_ = l.Close()
		wg.Wait()
	}, nil
}

func serveRPC(ctx context.Context, c net.Conn, h jsonrpc2.Handler) {
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{}), h)
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// CallRPC makes one call to another daemon and decodes its result into a T. The call is aborted if
// the answer doesn't begin within l.FirstByteTimeout, stalls for l.StallTimeout or takes longer
// than l.MaxDuration. counts records the transfer.
func CallRPC[T any](
	ctx context.Context, to netip.AddrPort, call RPC, l transfer.Limits, counts *transfer.Counts,
) (T, *transfer.Transfer, error) {
	ctx, t := counts.Begin(ctx, l)
	out, err := callRPC[T](ctx, to, call, t)
	return out, t, eris.Wrap(t.End(err), "rpc: call another daemon")
}

// RPC is a call: a method and its parameters.
type RPC struct {
	Method string
	Params any
}

func callRPC[T any](ctx context.Context, to netip.AddrPort, call RPC, t *transfer.Transfer) (T, error) {
	var out T
	var nd net.Dialer
	c, err := nd.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return out, err
	}
	stream := jsonrpc2.NewBufferedStream(watchedConn{Conn: c, in: t.Reader(c)}, jsonrpc2.VSCodeObjectCodec{})
	conn := jsonrpc2.NewConn(ctx, stream, noHandler{})
	defer func() { _ = conn.Close() }()
	return out, conn.Call(ctx, call.Method, call.Params, &out)
}

// watchedConn is a connection whose received bytes pass through a transfer.
type watchedConn struct {
	net.Conn
	in io.Reader
}

// Read implements io.Reader.
func (c watchedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// noHandler ignores requests on a connection that only makes calls.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
