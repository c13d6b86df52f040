// Package jsonrpc connects a trial to the stand-in processes that it started.
// They communicate by JSON-RPC 2.0 over the standard input and output of the processes.
package jsonrpc

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// Method handles the calls of one RPC method.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Typed returns a Method that decodes the parameters and calls f with them.
func Typed[P, R any](f func(ctx context.Context, p P) (R, error)) Method {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if len(params) > 0 {
			if err := json.Unmarshal(params, &p); err != nil {
				return nil, eris.Wrap(err, "parameters")
			}
		}
		return f(ctx, p)
	}
}

// Empty is the type of the parameters of a method without parameters, and of the result of one without a result.
type Empty struct{}

// pipe joins a reader and a writer to one connection.
type pipe struct {
	io.Reader
	io.WriteCloser
}

func connect(ctx context.Context, r io.Reader, w io.WriteCloser, h jsonrpc2.Handler) *jsonrpc2.Conn {
	s := jsonrpc2.NewBufferedStream(pipe{r, w}, jsonrpc2.VSCodeObjectCodec{})
	return jsonrpc2.NewConn(ctx, s, h)
}

// Serve handles calls that it reads from r, concurrently, and writes the answers to w, until r ends.
func Serve(ctx context.Context, r io.Reader, w io.WriteCloser, methods map[string]Method) {
	h := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		m, ok := methods[req.Method]
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
		}
		var params json.RawMessage
		if req.Params != nil {
			params = *req.Params
		}
		return m(ctx, params)
	}
	c := connect(ctx, r, w, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(h)))
	<-c.DisconnectNotify()
}

// Client calls methods of a stand-in process.
type Client struct {
	conn *jsonrpc2.Conn
}

// NewClient returns a client that writes to w and reads from r.
func NewClient(ctx context.Context, r io.Reader, w io.WriteCloser) *Client {
	h := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, eris.New("no calls are taken here")
	})
	return &Client{conn: connect(ctx, r, w, h)}
}

// Call calls a method, waits for the answer, and decodes it into result.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return eris.Wrap(c.conn.Call(ctx, method, params, result), method)
}
