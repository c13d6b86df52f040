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

// reference is a model with complete knowledge: it records which upstream got the first
// packet of each flow, and every run of each request.
type reference struct {
	upstream map[flowID]string
	runs     map[string]int
	refused  map[string]bool
	// lost are flows of which all replicas were lost: they may be placed again.
	lost map[flowID]bool
	// split are flows that were new during a network partition: both sides may have
	// placed them.
	split map[flowID]bool
}

type flowID struct {
	vni  bundle.VNI
	flow uint16
}

// model drives the engines and the reference with the same events.
type model struct {
	t           *rapid.T
	c           *cluster
	reference   reference
	nextID      uint16
	partitioned bool
	loss        func(from, to *node) bool
}

func newModel(t *rapid.T, nodes int) *model {
	m := &model{t: t, c: newCluster(nodes), reference: reference{
		upstream: make(map[flowID]string), runs: make(map[string]int),
		refused: make(map[string]bool), lost: make(map[flowID]bool), split: make(map[flowID]bool),
	}}
	m.c.skewLoads()
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

// request sends a request to any node, perhaps more than once, and its answer through
// any node.
func (m *model) request() {
	r := m.draw()
	f := flowID{r.vni, r.flow}
	if _, known := m.reference.upstream[f]; !known && m.partitioned {
		m.reference.split[f] = true
	}
	for range rapid.IntRange(1, 3).Draw(m.t, "copies") {
		got := len(m.c.callerGot)
		m.t.Logf("request %+v", r)
		for _, u := range m.c.call(m.node(), r) {
			m.checkRun(r, u)
			if rapid.IntRange(0, 4).Draw(m.t, "answered") > 0 {
				m.c.answer(m.node(), u, r)
			}
		}
		m.checkReplies(r, got)
	}
	m.c.now = m.c.now.Add(200 * time.Millisecond)
}

// checkRun compares the upstream that got a request with the records of the reference.
func (m *model) checkRun(r request, upstream string) {
	f := flowID{r.vni, r.flow}
	want, known := m.reference.upstream[f]
	if known && want != upstream && !m.reference.lost[f] && !m.reference.split[f] {
		m.t.Fatalf("flow %v reached %s, its upstream is %s", f, upstream, want)
	}
	m.reference.upstream[f] = upstream
	delete(m.reference.lost, f)
	service := map[bundle.VNI]string{vniOrders: "orders-", vniArchive: "archive-"}[r.vni]
	if !strings.HasPrefix(upstream, service) {
		m.t.Fatalf("a packet of VNI %d reached %s", r.vni, upstream)
	}
	// An upstream drops a message that it has received before, so only another upstream
	// can run it a second time.
	key := fmt.Sprintf("%d/%s", r.id, upstream)
	if r.code == codes.POST && m.reference.runs[key] == 0 {
		m.reference.runs[key] = 1
		id := fmt.Sprint(r.id)
		if m.reference.runs[id]++; m.reference.runs[id] > 1 {
			m.t.Fatalf("POST %d ran twice, the second time at %s", r.id, upstream)
		}
	}
	if m.reference.refused[fmt.Sprint(r.id)] {
		m.t.Fatalf("request %d ran after it was refused", r.id)
	}
}

// checkReplies checks the answers that the caller got. A refusal is final: the caller
// doesn't repeat the request after it.
func (m *model) checkReplies(r request, from int) {
	for _, a := range m.c.callerGot[from:] {
		if a.Token[0] != r.token {
			m.t.Fatalf("request %d got the answer to token %d", r.id, a.Token[0])
		}
		if a.Code != codes.ServiceUnavailable {
			continue
		}
		if m.reference.runs[fmt.Sprint(r.id)] > 0 {
			m.t.Fatalf("request %d was refused as not run, but ran", r.id)
		}
		m.reference.refused[fmt.Sprint(r.id)] = true
	}
}

// kill stops a host without a handover. The reference marks the flows of which no
// replica is left.
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
	m.t.Logf("%s is killed", n.member.Name)
	for f := range m.reference.upstream {
		if len(m.c.replicas(request{vni: f.vni, flow: f.flow})) == 0 {
			m.reference.lost[f] = true
		}
	}
	m.c.syncViews(true)
}

func (m *model) restart() {
	for _, n := range m.c.nodes {
		if !n.up {
			n.member.Boot++
			m.c.boot(n)
			m.c.syncViews(true)
			m.t.Logf("%s restarts", n.member.Name)
			return
		}
	}
}

// replace stops a host with a handover and starts it again.
func (m *model) replace() {
	n := m.node()
	m.t.Logf("%s is replaced", n.member.Name)
	n.member.State = peer.StateLeaving
	m.c.syncViews(true)
	drop := m.c.drop
	m.c.drop = nil
	m.c.sweep()
	m.c.drop = drop
	n.up = false
	n.member.State = peer.StateAlive
	n.member.Boot++
	m.c.boot(n)
	m.c.syncViews(true)
}

func (m *model) sweep() { m.c.sweep() }

// partitionOrHeal separates zone a from the others, or ends the partition. All records
// sent before the partition have arrived.
func (m *model) partitionOrHeal() {
	if m.partitioned {
		m.partitioned = false
		m.c.heal()
		return
	}
	m.c.drop = nil
	m.c.sweep()
	m.c.drop = m.loss
	m.partitioned = true
	m.c.partition()
}

// expireRecentChanges lets enough time pass that no change of the members counts as
// recent any more.
func (m *model) expireRecentChanges() {
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
	m.c.syncViews(false)
}

var _ = Describe("Engines, compared with a reference with complete knowledge,", func() {
	for name, events := range map[string]func(m *model) []func(){
		"don't break a flow when hosts are replaced": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.replace, m.sweep, m.expireRecentChanges}
		},
		"run no request twice and confuse no services when hosts are killed": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.kill, m.restart, m.sweep, m.expireRecentChanges}
		},
		"keep a flow at one upstream and run a request once on both sides of a network partition": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.request, m.sweep, m.partitionOrHeal}
		},
		"keep these properties when hosts are both replaced and killed": func(m *model) []func() {
			return []func(){m.request, m.request, m.request, m.kill, m.restart, m.replace, m.sweep, m.expireRecentChanges}
		},
	} {
		It(name, func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				m := newModel(t, 6)
				actions := events(m)
				for range rapid.IntRange(5, 60).Draw(t, "events") {
					actions[rapid.IntRange(0, len(actions)-1).Draw(t, "event")]()
				}
			})
		})
	}
})
