package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*world) error{"restart": playRestart, "limits": playLimits, "port": playPort, "full": playFull, "storm": playStorm}

// The sizes of the small deployment krl-colombo.
var (
	hostsEach     = []int{3, 2, 2}
	remindersEach = []int{5, 5, 4}
	statementEach = []int{2, 1, 1}
	clientsEach   = []int{11, 9, 13}
)

// usersEach is the number of users of a client address, usersSpread the time over which they start.
const (
	usersEach   = 27
	usersSpread = 8 * time.Second
)

// startAll starts the deployment.
func (w *world) startAll(routes []route) error {
	w.roll(routes)
	if err := w.startBackends("reminder-svc", remindersEach, 0, 22*time.Millisecond, 4000); err != nil {
		return err
	}
	if err := w.startBackends("statement-svc", statementEach, 1, 5*time.Millisecond, 4000); err != nil {
		return err
	}
	if err := w.startHosts(hostsEach); err != nil {
		return err
	}
	return w.startClients(clientsEach)
}

// playRestart restarts all balancers in turn, as planned work, while one datagram in a hundred is lost on each way.
func playRestart(w *world) error {
	feed := netip.MustParseAddrPort("127.198.0.1:443")
	if err := w.startAll([]route{newRoute("feed", "reminder-svc", feed)}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	w.loss = occasionalLoss
	stop := make(chan struct{})
	o := userOptions{requests: 2, pause: 10 * time.Second, budget: time.Second, spread: usersSpread}
	for _, c := range w.clients {
		for range usersEach {
			go c.user(stop, func() netip.AddrPort { return feed }, o)
		}
	}
	time.Sleep(12 * time.Second)
	for range 5 {
		for _, h := range w.hosts {
			if w.trouble {
				w.logf("SIGTERM to %s", h.name)
				h.signal(syscall.SIGTERM)
			}
			time.Sleep(rollGap)
		}
	}
	time.Sleep(11 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	return nil
}

const (
	// occasionalLoss is the share of datagrams that are lost on each way.
	occasionalLoss = 0.01
	// rollGap is the time between two restarts.
	rollGap = 2 * time.Second
)

// replaceBackend starts a backend in the place of another one, which drains and leaves.
func (w *world) replaceBackend() {
	w.mu.Lock()
	var live []*backend
	for _, b := range w.backends {
		if !b.draining && !b.isEnded() {
			live = append(live, b)
		}
	}
	n := len(w.backends)
	w.mu.Unlock()
	old := live[rand.IntN(len(live))]
	if _, err := w.startBackend(old.service, old.zone, ip(150, byte(n>>8), byte(n)), old.work, old.body); err != nil {
		w.logf("not started: %v", err)
		return
	}
	time.Sleep(300 * time.Millisecond)
	old.drain()
	time.AfterFunc(time.Duration(3500+rand.IntN(9000))*time.Millisecond, old.end)
}

// playLimits changes the configuration: a route moves to another service, another one is dropped, and flows may be
// discarded after a shorter idle time.
func playLimits(w *world) error {
	feed := netip.MustParseAddrPort("127.198.0.1:443")
	moved := netip.MustParseAddrPort("127.198.0.2:443")
	dropped := netip.MustParseAddrPort("127.198.0.3:443")
	first := []route{
		newRoute("feed", "reminder-svc", feed), newRoute("moved", "reminder-svc", moved), newRoute("dropped", "reminder-svc", dropped),
	}
	if err := w.startAll(first); err != nil {
		return err
	}
	try := func(at netip.AddrPort) (string, bool) {
		c := w.clients[rand.IntN(len(w.clients))]
		f := c.newFlow(at)
		defer f.release()
		if !f.connect() {
			return f.why, false
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		w.sent(id)
		status := f.exchange(id, time.Second)
		w.answered(id, f, status)
		f.close()
		return w.flows.service(f.src), status == 200
	}
	time.Sleep(4 * time.Second)
	for _, at := range []netip.AddrPort{feed, moved, dropped} {
		how, ok := try(at)
		w.logf("before the change, %v: %s, served %t", at, how, ok)
		if !ok {
			return fmt.Errorf("%v isn't served before the change: %s", at, how)
		}
	}
	if w.trouble {
		w.idleTimeoutMs = 900
	}
	w.roll([]route{first[0], newRoute("moved", "statement-svc", moved)})
	time.Sleep(configApply)
	for range 40 {
		how, ok := try(moved)
		w.logf("%v after the change: %s, served %t", moved, how, ok)
		if ok && how != "statement-svc" {
			w.violation("CONFIG", "a request to the route that moved was run by %s", how)
		}
		how, ok = try(dropped)
		w.logf("%v after the change: %s, served %t", dropped, how, ok)
		if ok {
			w.violation("CONFIG", "a request to the route that was dropped was run by %s", how)
		}
		if how, ok = try(feed); !ok {
			w.logf("%v after the change: %s", feed, how)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// configApply is the time after the store's acknowledgement from which a version is in force everywhere.
const configApply = 3 * time.Second

// playPort lets a client open its flows from one port while its backend drains.
func playPort(w *world) error {
	feed := netip.MustParseAddrPort("127.198.0.1:443")
	if err := w.startAll([]route{newRoute("feed", "reminder-svc", feed)}); err != nil {
		return err
	}
	stop := make(chan struct{})
	for _, c := range w.clients {
		for i := range usersWithPort {
			go c.fixedPort(stop, feed, uint16(20000+i))
		}
	}
	time.Sleep(8 * time.Second)
	for range 4 {
		if w.trouble {
			w.replaceBackend()
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	time.Sleep(2 * time.Second)
	return nil
}

// fixedPort is a user that opens its next flow from the same port after the backend has closed the one before in order.
// After a failure it takes a new port.
func (c *clientHost) fixedPort(stop <-chan struct{}, dst netip.AddrPort, port uint16) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		f := c.flowFrom(port, dst)
		if !f.connect() {
			c.w.count("flows not opened: " + f.why)
			port += usersWithPort
			continue
		}
		c.w.count("flows opened")
		inOrder := true
		for f.open && !f.peerClosed {
			id := fmt.Sprintf("%016x", rand.Uint64())
			c.w.sent(id)
			status := f.exchange(id, time.Second)
			c.w.answered(id, f, status)
			if status == 0 {
				inOrder = false
				break
			}
			if !f.pause(time.Duration(300+rand.IntN(700)) * time.Millisecond) {
				break
			}
		}
		if !f.peerClosed || !inOrder {
			port += usersWithPort
			continue
		}
		c.w.logf("client %v: its flow was closed by the backend", f.src)
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN})
		time.Sleep(50 * time.Millisecond)
	}
}

// usersWithPort is the number of users of a client address that have a port of their own.
const usersWithPort = 3

// playFull lets many users come at once, so that some backends hold as many flows as they can.
func playFull(w *world) error {
	feed := netip.MustParseAddrPort("127.198.0.1:443")
	w.maxConns = 40
	if err := w.startAll([]route{newRoute("feed", "reminder-svc", feed)}); err != nil {
		return err
	}
	stop := make(chan struct{})
	o := userOptions{requests: 4, pause: 8 * time.Second, budget: time.Second, spread: usersSpread}
	users := func(n int, until <-chan struct{}) {
		for _, c := range w.clients {
			for range n {
				go c.user(until, func() netip.AddrPort { return feed }, o)
			}
		}
	}
	users(usualUsers, stop)
	time.Sleep(14 * time.Second)
	o.spread = time.Second
	for range 4 {
		end := make(chan struct{})
		if w.trouble {
			w.logf("many users come at once")
			users(burstUsers, end)
		}
		time.Sleep(burstFor)
		close(end)
		time.Sleep(15 * time.Second)
	}
	close(stop)
	time.Sleep(time.Second)
	return nil
}

const (
	// usualUsers is the number of users of a client address, burstUsers how many come in addition for burstFor.
	usualUsers = 10
	burstUsers = 7
	burstFor   = 3 * time.Second
)

// playStorm adds routes in quick succession while the balancers are restarted in turn, all of it planned work.
func playStorm(w *world) error {
	feed := netip.MustParseAddrPort("127.198.0.1:443")
	routes := []route{newRoute("feed", "reminder-svc", feed)}
	if err := w.startAll(routes); err != nil {
		return err
	}
	stop := make(chan struct{})
	o := userOptions{requests: 6, pause: 900 * time.Millisecond, budget: time.Second, spread: usersSpread}
	for _, c := range w.clients {
		for range 2 {
			go c.user(stop, func() netip.AddrPort { return feed }, o)
		}
	}
	time.Sleep(7 * time.Second)
	for i := range stormRounds {
		done := make(chan struct{})
		go w.restartInTurn(done)
		for k := range stormChanges {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 198, byte(1 + i), byte(1 + k)}), 443)
			routes = append(routes, newRoute(fmt.Sprintf("added-%d-%d", i, k), "reminder-svc", at))
			w.roll(routes)
			for range 3 {
				for _, c := range w.clients {
					go c.short(at)
				}
			}
			time.Sleep(stormGap)
		}
		close(done)
		time.Sleep(time.Second)
	}
	close(stop)
	time.Sleep(time.Second)
	return nil
}

const (
	// stormChanges is the number of versions in each of stormRounds rounds, stormGap the pause between two of them.
	stormRounds  = 7
	stormChanges = 36
	stormGap     = 330 * time.Millisecond
	// stormRollGap is the time between two restarts.
	stormRollGap = 1300 * time.Millisecond
)

// restartInTurn restarts the balancers in turn, each once, until done is closed.
func (w *world) restartInTurn(done <-chan struct{}) {
	if !w.trouble {
		return
	}
	for _, h := range w.hosts {
		w.logf("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		select {
		case <-done:
			return
		case <-time.After(stormRollGap):
		}
	}
}

// short is a user that opens a flow to a route that was just added, and sends a few requests.
func (c *clientHost) short(at netip.AddrPort) {
	time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	for range 3 {
		f := c.newFlow(at)
		if !f.connect() {
			c.w.count("flows not opened: " + f.why)
			f.release()
			continue
		}
		c.w.count("flows opened")
		for range 3 {
			id := fmt.Sprintf("%016x", rand.Uint64())
			c.w.sent(id)
			status := f.exchange(id, time.Second)
			c.w.answered(id, f, status)
			if status == 0 || !f.pause(time.Duration(300+rand.IntN(600))*time.Millisecond) {
				break
			}
		}
		f.close()
		f.release()
		return
	}
}
