package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine of the system with its process.
type host struct {
	w        *world
	name     string
	zone     string
	ip       netip.Addr
	settings string

	mu        sync.Mutex
	cmd       *exec.Cmd
	off       bool
	misses    int
	rotation  bool
	startedAt time.Time
}

// restartDelay is the pause before a process that ended is started again.
const restartDelay = 300 * time.Millisecond

func (h *host) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(h.ip, port) }

// writeSettings fills in the settings template of the repository.
func (h *host) writeSettings(first bool) error {
	src, err := os.ReadFile("deploy/settings.hujson")
	if err != nil {
		return err
	}
	j := func(v any) string { b, _ := json.Marshal(v); return string(b) }
	var seeds []string
	for _, o := range h.w.seeds() {
		seeds = append(seeds, o.at(h.w.ports.control).String())
	}
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "colombo"
	}
	text := strings.NewReplacer(
		"{{nodeName|json}}", j(h.name), "{{zone|json}}", j(h.zone), "{{zones|json}}", j(zones),
		"{{listen.datagramAddr|json}}", j(h.at(h.w.ports.data).String()),
		"{{listen.readinessAddr|json}}", j(h.at(h.w.ports.ready).String()),
		"{{listen.control|json}}", j(h.at(h.w.ports.control).String()),
		"{{ip}}:9100", h.at(h.w.ports.metrics).String(), "{{platform.address}}", h.w.storeAddr.String(),
		"{{seeds|json}}", j(seeds), "{{bootstrap|json}}", j(first),
		"{{contracts|json}}", j([]string{"base", "drain", "config", "cost", "recover", "flows", "platform"}),
		"{{limits.cpuShare}}", "0.088", "{{bounds.flowLifetimeS}}", "60", "{{bounds.graceS}}", "6",
	).Replace(string(src))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the settings template has placeholders that this script doesn't know")
	}
	h.settings = filepath.Join(h.w.dir, h.name+".hujson")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.w.binary, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.startedAt = cmd, time.Now()
	go func() {
		cmd.Wait()
		log.Close()
		time.Sleep(restartDelay)
		h.mu.Lock()
		off := h.w.isClosed()
		h.mu.Unlock()
		if !off {
			h.start()
		}
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		h.cmd.Process.Signal(s)
	}
}

// router forwards clients' packets to the hosts in rotation.
type router struct {
	w  *world
	mu sync.Mutex
}

func (r *router) watch(h *host) {
	c := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		if r.w.isClosed() {
			return
		}
		ok := false
		if resp, err := c.Get("http://" + h.at(r.w.ports.ready).String() + "/v1/readyz"); err == nil {
			resp.Body.Close()
			ok = resp.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		was := h.rotation
		if ok {
			h.misses, h.rotation = 0, true
		} else if h.misses++; h.misses >= 2 {
			h.rotation = false
		}
		if was != h.rotation {
			r.w.logf("%s in rotation: %t", h.name, h.rotation)
		}
		r.mu.Unlock()
	}
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.w.hosts {
		if h.rotation {
			n++
		}
	}
	return n
}

// pick returns the address of the host that gets a packet of a flow.
func (r *router) pick(zone string, src, dst netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, others []*host
	for _, h := range r.w.hosts {
		switch {
		case h.zone == zone:
			all = append(all, h)
			if h.rotation {
				in = append(in, h)
			}
		case h.rotation:
			others = append(others, h)
		}
	}
	list := in
	switch {
	case len(in) == 0:
		list = others
	case 2*len(in) < len(all):
		list = all
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	x := fnv.New64a()
	b, _ := src.MarshalBinary()
	x.Write(b)
	b, _ = dst.MarshalBinary()
	x.Write(b)
	h := x.Sum64()
	h ^= h >> 32
	h *= 0x9E3779B97F4A7C15
	h ^= h >> 29
	return list[h%uint64(len(list))].at(r.w.ports.data), true
}
