// Command fescueshed-cookie runs the balancer that forwards flows by the cookie in their packets.
// It is the program that each host runs, and contains nothing else. The operators' tool fescueshed
// has the same balancer as a command, but there its start takes twice the CPU time: on a host with a
// tenth of a core this amounts to 50 ms during which callers wait.
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
