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

// failure is something that goes wrong, or is changed as planned, while callers
// work.
type failure struct {
	what string
	run  func(ctx context.Context, t *trial) error
}

// fabricLag is how long the fabric goes on sending to a balancer that is gone
// or leaving.
const fabricLag = time.Second

func failures() map[string]failure {
	return map[string]failure{
		"balancer-kill":           {"a balancer dies without notice", killOne},
		"two-kills":               {"two balancers of different zones die at once", killTwo},
		"balancer-restart-all":    {"every balancer is replaced, one after the other, gracefully", restartAll},
		"balancer-join":           {"a new balancer joins", join},
		"balancer-freeze":         {"a balancer is paused for four seconds and goes on", freeze},
		"kill-during-handover":    {"a balancer is killed while it hands its records over", killLeaving},
		"zone-cut":                {"a zone is cut off from the others for six seconds and healed", zoneCut},
		"balancer-boot-in-outage": {"a new balancer joins while the platform is down", bootInOutage},
		"upstream-drain":          {"a bundle is rolled that drains two upstreams", drain},
		"platform-down":           {"the platform's service is down from then on", platformDown},
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
		fmt.Printf("%-22s %s\n", n, table[n].what)
	}
	fmt.Println("\nwith --carriage cookie:")
	for _, n := range slices.Sorted(maps.Keys(cookieFailures)) {
		fmt.Printf("%-22s %s\n", n, cookieFailures[n].what)
	}
}

const settleTime = 3 * time.Second

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

// kill ends balancers without notice. The fabric learns of it later.
func (t *trial) kill(ctx context.Context, numbers ...int) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	for _, n := range numbers {
		t.say("%s is killed", t.balancers[n].name)
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

// restartAll replaces each balancer: it leaves, the fabric stops sending to it,
// it ends, and a new process takes its place.
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
		t.say("%s is replaced; it left within %.1fs", b.name, left.Seconds())
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
	t.say("%s joined", b.name)
	return t.setRouted(ctx, b, true)
}

const freezeTime = 4 * time.Second

func freeze(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	b := t.balancers[0]
	t.say("%s is paused", b.name)
	b.signal(syscall.SIGSTOP)
	err := pause(ctx, freezeTime)
	b.signal(syscall.SIGCONT)
	t.say("%s goes on", b.name)
	return err
}

func platformDown(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	t.say("the platform is down")
	return t.platform.call(ctx, methodFaults, struct{ Down bool }{true}, nil)
}

// killLeaving kills a balancer shortly after it was told to leave.
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
	t.say("%s is killed while it leaves", b.name)
	b.signal(syscall.SIGKILL)
	if err := pause(ctx, fabricLag); err != nil {
		return err
	}
	return t.setRouted(ctx, b, false)
}

const cutTime = 6 * time.Second

// zoneCut blocks all that goes between the first zone's balancers and the hosts
// of the other zones.
func zoneCut(ctx context.Context, t *trial) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	if err := t.cut(ctx, true); err != nil {
		return err
	}
	t.say("%s is cut off", t.deploy.zones[0])
	err := pause(ctx, cutTime)
	if healErr := t.cut(context.WithoutCancel(ctx), false); err == nil {
		err = healErr
	}
	t.say("%s is healed", t.deploy.zones[0])
	return err
}

// cut sets what each balancer is cut off from. A caller's flow stays on the side
// of its upstream, as the fabric of a cut network does.
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

// addresses returns where balancers and upstreams are.
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

// block tells a balancer which networks not to speak with.
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

// bootInOutage starts a balancer that can learn of members and bundle from other
// balancers only.
func bootInOutage(ctx context.Context, t *trial) error {
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
	t.say("%s joined without the platform", b.name)
	return t.setRouted(ctx, b, true)
}

// drain rolls a second bundle through the operators' commands.
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
		return eris.Wrap(err, "bundle")
	}
	return t.rollContent(ctx, src)
}
