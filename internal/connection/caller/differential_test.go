package caller_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// naive is one place with all knowledge: it notes which upstream got the first
// packet of each flow, and every run of each request.
type naive struct {
	upstream map[flowID]string
	runs     map[string]int
	refused  map[string]bool
	// gone are flows whose holders all died: they may be placed again.
	gone map[flowID]bool
	// split are flows that were new while the network was cut: both sides may
	// have placed them.
	split map[flowID]bool
}

type flowID struct {
	vni  bundle.VNI
	flow uint16
}

// model drives the engines and the naive version with the same events.
type model struct {
	t      *rapid.T
	c      *cluster
	naive  naive
	nextID uint16
	isCut  bool
	loss   func(from, to *node) bool
}

func newModel(t *rapid.T, nodes int) *model {
	m := &model{t: t, c: newCluster(nodes), naive: naive{
		upstream: make(map[flowID]string), runs: make(map[string]int),
		refused: make(map[string]bool), gone: make(map[flowID]bool), split: make(map[flowID]bool),
	}}
	m.c.unlikeLoads()
	m.loss = func(_, _ *node) bool { return rapid.IntRange(0, 19).Draw(t, "lost") == 0 }
	m.c.drop = m.loss
	return m
}

func (m *model) draw() request {
	m.nextID++
	return request{
		vni:   rapid.SampledFrom([]bundle.VNI{vniOrders, vniArchive}).Draw(m.t, "service"),
		flow:  rapid.Uint16Range(4000, 4011).Draw(m.t, "flow"),
		code:  rapid.SampledFrom([]codes.Code{codes.GET, codes.POST}).Draw(m.t, "method"),
		id:    m.nextID,
		token: byte(m.nextID),
	}
}

func (m *model) node() *node {
	var up []*node
	for _, n := range m.c.nodes {
		if n.up && !n.paused {
			up = append(up, n)
		}
	}
	return up[rapid.IntRange(0, len(up)-1).Draw(m.t, "node")]
}

// request sends a request in at any node, perhaps more than once, and its
// answer back through any other.
func (m *model) request() {
	r := m.draw()
	f := flowID{r.vni, r.flow}
	if _, known := m.naive.upstream[f]; !known && m.isCut {
		m.naive.split[f] = true
	}
	for range rapid.IntRange(1, 3).Draw(m.t, "copies") {
		got := len(m.c.callerGot)
		m.t.Logf("request %+v", r)
		for _, u := range m.c.call(m.node(), r) {
			m.ran(r, u)
			if rapid.IntRange(0, 4).Draw(m.t, "answered") > 0 {
				m.c.answer(m.node(), u, r)
			}
		}
		m.replies(r, got)
	}
	m.c.now = m.c.now.Add(200 * time.Millisecond)
}

// ran compares where a request got to with what the naive version knows.
func (m *model) ran(r request, upstream string) {
	f := flowID{r.vni, r.flow}
	want, known := m.naive.upstream[f]
	if known && want != upstream && !m.naive.gone[f] && !m.naive.split[f] {
		m.t.Fatalf("flow %v went to %s, its upstream is %s", f, upstream, want)
	}
	m.naive.upstream[f] = upstream
	delete(m.naive.gone, f)
	service := map[bundle.VNI]string{vniOrders: "orders-", vniArchive: "archive-"}[r.vni]
	if !strings.HasPrefix(upstream, service) {
		m.t.Fatalf("a packet of VNI %d reached %s", r.vni, upstream)
	}
	// An upstream drops a message that it had before, so only another one runs it
	// a second time.
	key := fmt.Sprintf("%d/%s", r.id, upstream)
	if r.code == codes.POST && m.naive.runs[key] == 0 {
		m.naive.runs[key] = 1
		id := fmt.Sprint(r.id)
		if m.naive.runs[id]++; m.naive.runs[id] > 1 {
			m.t.Fatalf("POST %d ran twice, the second time at %s", r.id, upstream)
		}
	}
	if m.naive.refused[fmt.Sprint(r.id)] {
		m.t.Fatalf("request %d ran after it was refused", r.id)
	}
}

// replies checks what the caller got. A refusal is final, so the caller repeats
// nothing after it.
func (m *model) replies(r request, from int) {
	for _, a := range m.c.callerGot[from:] {
		if a.Token[0] != r.token {
			m.t.Fatalf("request %d got the answer to token %d", r.id, a.Token[0])
		}
		if a.Code == codes.ServiceUnavailable && m.naive.runs[fmt.Sprint(r.id)] > 0 {
			m.t.Fatalf("request %d was refused as not run, and ran", r.id)
		}
	}
}

// kill ends a host without notice. The naive version marks the flows whose
// holders are all gone.
func (m *model) kill() {
	up := 0
	for _, n := range m.c.nodes {
		if n.up {
			up++
		}
	}
	if up <= 3 {
		return
	}
	n := m.node()
	m.c.kill(n)
	m.t.Logf("%s dies", n.member.Name)
	for f := range m.naive.upstream {
		if len(m.c.holders(request{vni: f.vni, flow: f.flow})) == 0 {
			m.naive.gone[f] = true
		}
	}
	m.c.settle(true)
}

func (m *model) restart() {
	for _, n := range m.c.nodes {
		if !n.up {
			n.member.Boot++
			m.c.boot(n)
			m.c.settle(true)
			m.t.Logf("%s restarts", n.member.Name)
			return
		}
	}
}

// replace stops a host gracefully and starts it anew.
func (m *model) replace() {
	n := m.node()
	m.t.Logf("%s is replaced", n.member.Name)
	n.member.State = peer.StateLeaving
	m.c.settle(true)
	drop := m.c.drop
	m.c.drop = nil
	m.c.sweep()
	m.c.drop = drop
	n.up = false
	n.member.State = peer.StateAlive
	n.member.Boot++
	m.c.boot(n)
	m.c.settle(true)
}

func (m *model) sweep() { m.c.sweep() }

// cutOrHeal cuts zone a off, or heals the cut. What was told before the cut has
// arrived everywhere.
func (m *model) cutOrHeal() {
	if m.isCut {
		m.isCut = false
		m.c.heal()
		return
	}
	m.c.drop = nil
	m.c.sweep()
	m.c.drop = m.loss
	m.isCut = true
	m.c.cut()
}

// forget lets so much time pass that nothing counts as recent any more.
func (m *model) forget() {
	for range 60 {
		m.c.now = m.c.now.Add(900 * time.Millisecond)
		for _, n := range m.c.nodes {
			n.engine.DetectPause(m.c.now)
		}
	}
	drop := m.c.drop
	m.c.drop = nil
	m.c.sweep()
	m.c.drop = drop
	m.c.lost = nil
	m.c.settle(false)
}

var _ = Describe("Engines, against one place with all knowledge,", func() {
	for name, events := range map[string]func(m *model) []func(){
		"break no flow by planned change": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.replace, m.sweep, m.forget}
		},
		"run nothing twice and mix nothing up when hosts die": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.kill, m.restart, m.sweep, m.forget}
		},
		"keep to one upstream and one run on both sides of a cut": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.sweep, m.cutOrHeal}
		},
		"hold under planned change and death together": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.kill, m.restart, m.replace, m.sweep, m.forget}
		},
	} {
		It(name, func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				m := newModel(t, 6)
				list := events(m)
				for range rapid.IntRange(5, 60).Draw(t, "events") {
					list[rapid.IntRange(0, len(list)-1).Draw(t, "event")]()
				}
			})
		})
	}
})
