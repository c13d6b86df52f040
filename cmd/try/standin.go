package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/caller"
	"github.com/fescueshed/fescueshed/internal/standin/fabric"
	"github.com/fescueshed/fescueshed/internal/standin/jsonrpc"
	"github.com/fescueshed/fescueshed/internal/standin/ledger"
	"github.com/fescueshed/fescueshed/internal/standin/platform"
	"github.com/fescueshed/fescueshed/internal/standin/upstream"
	platformclient "github.com/fescueshed/fescueshed/internal/version/platform"
)

// RPC methods of the stand-in processes.
const (
	methodBalancers = "Balancers.Set"
	methodHosts     = "Hosts.Set"
	methodFaults    = "Faults.Set"
	methodLedger    = "Ledger.Get"
	methodFinish    = "Ledger.Finish"
	methodCounts    = "Counts.Get"
	methodReady     = "Ready"
)

// standInCommand runs one stand-in until its standard input is closed, so that no stand-in outlives the trial.
type standInCommand struct {
	Kind   string `arg:"" enum:"platform,fabric,upstream,caller" help:"Kind of the stand-in."`
	Config string `arg:"" help:"Its configuration as JSON."`
}

// Run starts the stand-in and serves its RPC methods on standard input and output.
func (c *standInCommand) Run(ctx context.Context) error {
	start := map[string]func([]byte) (map[string]jsonrpc.Method, func(), error){
		"platform": startPlatform,
		"fabric":   startFabric,
		"upstream": startUpstream,
		"caller":   startCaller,
	}[c.Kind]
	methods, stop, err := start([]byte(c.Config))
	if err != nil {
		return err
	}
	defer stop()
	methods[methodReady] = jsonrpc.Typed(func(context.Context, jsonrpc.Empty) (jsonrpc.Empty, error) {
		return jsonrpc.Empty{}, nil
	})
	jsonrpc.Serve(ctx, os.Stdin, os.Stdout, methods)
	return nil
}

func decodeConfig[T any](src []byte) (T, error) {
	var cfg T
	return cfg, eris.Wrap(json.Unmarshal(src, &cfg), "configuration")
}

// setMethod returns an RPC method that calls f with the parameters and returns nothing.
func setMethod[P any](f func(P)) jsonrpc.Method {
	return jsonrpc.Typed(func(_ context.Context, p P) (jsonrpc.Empty, error) {
		f(p)
		return jsonrpc.Empty{}, nil
	})
}

// getMethod returns an RPC method without parameters that returns the result of f.
func getMethod[R any](f func() R) jsonrpc.Method {
	return jsonrpc.Typed(func(context.Context, jsonrpc.Empty) (R, error) { return f(), nil })
}

type platformConfig struct {
	Address netip.AddrPort
}

const readHeaderTimeout = 5 * time.Second

func startPlatform(src []byte) (map[string]jsonrpc.Method, func(), error) {
	cfg, err := decodeConfig[platformConfig](src)
	if err != nil {
		return nil, nil, err
	}
	s := platform.New()
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", cfg.Address.String())
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in platform")
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = srv.Serve(l) }()
	return map[string]jsonrpc.Method{
		methodHosts:  setMethod(func(h []platformclient.Host) { s.SetHosts(h) }),
		methodFaults: setMethod(s.SetFaults),
		methodCounts: getMethod(s.Counts),
	}, func() { _ = srv.Close() }, nil
}

func startFabric(src []byte) (map[string]jsonrpc.Method, func(), error) {
	cfg, err := decodeConfig[fabric.Config](src)
	if err != nil {
		return nil, nil, err
	}
	f, stop, err := fabric.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	return map[string]jsonrpc.Method{methodBalancers: setMethod(f.Spray.Set)}, stop, nil
}

func startUpstream(src []byte) (map[string]jsonrpc.Method, func(), error) {
	cfg, err := decodeConfig[upstream.Config](src)
	if err != nil {
		return nil, nil, err
	}
	u, stop, err := upstream.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	return map[string]jsonrpc.Method{
		methodBalancers: setMethod(u.Spray.Set),
		methodLedger:    getMethod(u.Ledger),
	}, stop, nil
}

func startCaller(src []byte) (map[string]jsonrpc.Method, func(), error) {
	cfg, err := decodeConfig[caller.Config](src)
	if err != nil {
		return nil, nil, err
	}
	g, stop := caller.New(cfg)
	return map[string]jsonrpc.Method{
		methodLedger: getMethod(g.Ledger),
		methodFinish: getMethod(func() ledger.Caller { return g.Finish() }),
	}, stop, nil
}
