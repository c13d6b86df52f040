// Command fescueshed-cookie is the balancer for flows that carry a cookie, and nothing
// else: what each host runs. The same balancer is a command of fescueshed, the tool of
// operators; there its start costs twice the processor time, which on a host with a tenth of
// a core is 50 ms during which callers wait.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/cookiedaemon"
	"github.com/fescueshed/fescueshed/platform"
)

func main() {
	c := cookiedaemon.Command{Connect: platform.New}
	k := kong.Parse(&c,
		kong.Name("fescueshed-cookie"),
		kong.Description("Runs a balancer for flows that carry a cookie, until SIGTERM."),
		kong.UsageOnError(),
		kong.BindTo(context.Background(), (*context.Context)(nil)))
	err := k.Run()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
