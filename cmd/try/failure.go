package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// failure is a failure or a planned change that a trial injects while callers send requests.
type failure struct {
	description string
	run         func(ctx context.Context, t *trial) error
}

// fabricLag is how long the fabric keeps sending to a balancer after it died or began to leave.
const fabricLag = time.Second

func failures() map[string]failure {
	return map[string]failure{
		"balancer-kill":           {"a balancer is killed without notice", killOne},
		"two-kills":               {"two balancers of different zones are killed at the same time", killTwo},
		"balancer-restart-all":    {"every balancer is restarted gracefully, one after the other", restartAll},
		"balancer-join":           {"a new balancer joins", join},
		"balancer-freeze":         {"a balancer is paused for four seconds and resumed", freeze},
		"kill-during-handover":    {"a balancer is killed while it hands its flow records over", killLeaving},
		"zone-cut":                {"a zone is cut off from the others for six seconds", zoneCut},
		"balancer-boot-in-outage": {"a new balancer joins while the platform is down", joinInOutage},
		"upstream-drain":          {"a bundle that drains two upstreams is rolled", drain},
		"platform-down":           {"the platform's service goes down and stays down", platformDown},
	}
}

func listFailures() {
	table := failures()
	names := make([]string, 0, len(table))
	for n := range table {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Printf("%-22s %s\n", n, table[n].description)
	}
	fmt.Println("\nwith --carriage cookie:")
	for _, n := range slices.Sorted(maps.Keys(cookieFailures)) {
		fmt.Printf("%-22s %s\n", n, cookieFailures[n].description)
	}
}

// settleTime is how long callers work before a failure is injected.
const settleTime = 3 * time.Second

// pause waits for d. It returns the error of ctx if that ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func killOne(ctx context.Context, t *trial) error {
	return t.kill(ctx, 1)
}

func killTwo(ctx context.Context, t *trial) error {
	return t.kill(ctx, 1, 2)
}

// kill kills the balancers with the given indexes. The fabric stops sending to them fabricLag later.
func (t *trial) kill(ctx context.Context, numbers ...int) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	for _, n := range numbers {
		t.logf("%s is killed", t.balancers[n].name)
		t.balancers[n].signal(syscall.SIGKILL)
	}
	if err := pause(ctx, fabricLag); err != nil {
		return err
	}
	for _, n := range numbers {
		if err := t.setRouted(ctx, t.balancers[n], false); err != nil {
			return err
		}
	}
	return nil
}

// restartAll restarts all balancers, one after the other. Each begins to leave, the fabric stops sending to
// it, it ends, and a new process starts in its place.
func restartAll(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	for _, b := range t.balancers {
		began := time.Now()
		b.signal(syscall.SIGTERM)
		if err := pause(ctx, fabricLag); err != nil {
			return err
		}
		if err := t.setRouted(ctx, b, false); err != nil {
			return err
		}
		if err := b.wait(leaveLimit); err != nil {
			return eris.Wrap(err, "graceful shutdown")
		}
		left := time.Since(began)
		if err := b.start(); err != nil {
			return err
		}
		if err := awaitReady(ctx, b); err != nil {
			return err
		}
		if err := t.setRouted(ctx, b, true); err != nil {
			return err
		}
		t.logf("%s is replaced; it left within %.1fs", b.name, left.Seconds())
	}
	return nil
}

func join(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	b, err := t.addBalancer(ctx, len(t.balancers))
	if err != nil {
		return err
	}
	if err := awaitReady(ctx, b); err != nil {
		return err
	}
	t.logf("%s joined", b.name)
	return t.setRouted(ctx, b, true)
}

const freezeTime = 4 * time.Second

func freeze(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	b := t.balancers[0]
	t.logf("%s is paused", b.name)
	b.signal(syscall.SIGSTOP)
	err := pause(ctx, freezeTime)
	b.signal(syscall.SIGCONT)
	t.logf("%s is resumed", b.name)
	return err
}

func platformDown(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	t.logf("the platform is down")
	return t.platform.call(ctx, methodFaults, struct{ Down bool }{true}, nil)
}

// killLeaving kills a balancer shortly after SIGTERM, while it leaves gracefully.
func killLeaving(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	const leaving = 60 * time.Millisecond
	b := t.balancers[1]
	b.signal(syscall.SIGTERM)
	if err := pause(ctx, leaving); err != nil {
		return err
	}
	t.logf("%s is killed while it leaves", b.name)
	b.signal(syscall.SIGKILL)
	if err := pause(ctx, fabricLag); err != nil {
		return err
	}
	return t.setRouted(ctx, b, false)
}

const cutTime = 6 * time.Second

// zoneCut blocks all traffic between the first zone's balancers and the hosts of the other zones.
func zoneCut(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	if err := t.cut(ctx, true); err != nil {
		return err
	}
	t.logf("%s is cut off", t.deploy.zones[0])
	err := pause(ctx, cutTime)
	if healErr := t.cut(context.WithoutCancel(ctx), false); err == nil {
		err = healErr
	}
	t.logf("%s is connected again", t.deploy.zones[0])
	return err
}

// cut blocks traffic between the first zone and the others at each balancer if on is set, otherwise it lifts
// the block. A caller's flow stays on the side of its upstream, as with the fabric of a partitioned network.
func (t *trial) cut(ctx context.Context, on bool) error {
	first := t.deploy.zones[0]
	for _, b := range t.balancers {
		var blocked []netip.Prefix
		for _, a := range t.addresses() {
			if on && (a.zone == first) != (b.zone == first) {
				blocked = append(blocked, netip.PrefixFrom(a.addr, a.addr.BitLen()))
			}
		}
		if err := b.block(ctx, blocked); err != nil {
			return err
		}
	}
	return nil
}

type zonedAddress struct {
	zone bundle.Zone
	addr netip.Addr
}

// addresses returns the address and the zone of each balancer and upstream.
func (t *trial) addresses() []zonedAddress {
	var out []zonedAddress
	for _, b := range t.balancers {
		out = append(out, zonedAddress{zone: b.zone, addr: b.data.Addr()})
	}
	for _, s := range t.deploy.bundle().Services {
		for _, u := range s.Upstreams {
			out = append(out, zonedAddress{zone: u.Zone, addr: u.Address.Addr()})
		}
	}
	return out
}

// block sets the networks that a balancer exchanges no packets with, over its debug endpoint.
func (b *balancer) block(ctx context.Context, networks []netip.Prefix) error {
	body, err := json.Marshal(networks)
	if err != nil {
		return eris.Wrap(err, b.name)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.admin.String()+"/debug/blocked", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, b.name)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, b.name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", b.name, resp.Status)
	}
	return nil
}

// joinInOutage starts a balancer while the platform is down, so that it can obtain the members and the bundle
// from other balancers only.
func joinInOutage(ctx context.Context, t *trial) error {
	if err := platformDown(ctx, t); err != nil {
		return err
	}
	b, err := t.startBalancer(len(t.balancers))
	if err != nil {
		return err
	}
	if err := awaitReady(ctx, b); err != nil {
		return err
	}
	t.logf("%s joined without the platform", b.name)
	return t.setRouted(ctx, b, true)
}

// drain rolls a second bundle with the operators' commands. In it, the first upstream of each service drains.
func drain(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	b := t.deploy.bundle()
	for i := range b.Services {
		b.Services[i].Upstreams[0].Drain = true
	}
	src, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "bundle: encode")
	}
	return t.rollContent(ctx, src)
}
