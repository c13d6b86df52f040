package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

// startBalancers starts the daemons that take part from the beginning of the trial.
func (t *trial) startBalancers(ctx context.Context) error {
	for i := range t.opts.Balancers {
		if _, err := t.addBalancer(ctx, i); err != nil {
			return err
		}
	}
	t.logf("%d balancers in %d zones", t.opts.Balancers, len(t.deploy.zones))
	return nil
}

// addBalancer starts a daemon on a new host and adds the host to the platform's list of hosts.
func (t *trial) addBalancer(ctx context.Context, i int) (*balancer, error) {
	b, err := t.startBalancer(i)
	if err != nil {
		return nil, err
	}
	return b, t.publishHosts(ctx)
}

// startBalancer starts the daemon with index i on a new host. The platform's list of hosts doesn't
// contain it yet.
func (t *trial) startBalancer(i int) (*balancer, error) {
	zone := i % len(t.deploy.zones)
	b := &balancer{
		host: host{
			name:    fmt.Sprintf("balancer-%d", i+1),
			zone:    t.deploy.zones[zone],
			data:    address(netBalancer, zone+1, i+1, dataPort),
			control: address(netBalancer, zone+1, i+1, controlPort),
			admin:   address(netBalancer, zone+1, i+1, adminPort),
		},
		binary: t.binary,
	}
	b.settings = filepath.Join(t.dir, b.name+".hujson")
	b.logFile = filepath.Join(t.dir, b.name+".log")
	if err := os.WriteFile(b.settings, t.settings(&b.host), fileMode); err != nil {
		return nil, eris.Wrap(err, b.name)
	}
	t.mu.Lock()
	t.balancers = append(t.balancers, b)
	t.mu.Unlock()
	return b, b.start()
}

// settings returns the settings file of the daemon on a host.
func (t *trial) settings(h *host) []byte {
	s := settings.Defaults()
	s.Name, s.Zone = h.name, h.zone
	s.DataAddress, s.ControlAddress, s.AdminAddress = h.data, h.control, h.admin
	s.Platform = "http://" + platformAddress().String()
	s.Fabrics = []netip.AddrPort{fabricAddress()}
	s.Operators = []bundle.Operator{{Name: t.key.Name, Key: t.publicKey()}}
	s.Secret = t.secret
	for i := range minBalancers {
		s.Seeds = append(s.Seeds, address(netBalancer, i%len(t.deploy.zones)+1, i+1, controlPort))
	}
	s.Debug = true
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // Settings can always be encoded.
	}
	return append([]byte("// Settings of "+h.name+", written by try.\n"), b...)
}

func (t *trial) publicKey() []byte {
	b, err := base64.StdEncoding.DecodeString(t.key.Public())
	if err != nil {
		panic(err) // Public returns base64.
	}
	return b
}

// publishHosts sets the platform's list of hosts to those of all daemons.
func (t *trial) publishHosts(ctx context.Context) error {
	t.mu.Lock()
	hosts := make([]platform.Host, 0, len(t.balancers))
	for _, b := range t.balancers {
		hosts = append(hosts, platform.Host{Name: b.name, Control: b.control})
	}
	t.mu.Unlock()
	return t.platform.call(ctx, methodHosts, hosts, nil)
}

// awaitReady waits until all daemons report that they are ready.
func (t *trial) awaitReady(ctx context.Context) error {
	for _, b := range t.balancers {
		if err := awaitReady(ctx, b); err != nil {
			return err
		}
	}
	t.logf("all balancers are ready")
	return nil
}

// awaitReady polls the daemon's readiness endpoint until it answers 200, for at most readyTimeout.
func awaitReady(ctx context.Context, b *balancer) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.admin.String()+"/readyz", http.NoBody)
		if err != nil {
			return eris.Wrap(err, b.name)
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready within %v", b.name, readyTimeout)
		case <-time.After(readyPoll):
		}
	}
}
