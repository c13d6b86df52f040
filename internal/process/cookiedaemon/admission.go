package cookiedaemon

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// admissionWait bounds how long a start waits for the state of admission control. A daemon can place flows without it,
// and callers wait meanwhile.
const admissionWait = 100 * time.Millisecond

// fetchAdmission fetches from a member what it knows of the loads of all zones, before this daemon can place flows.
// Without it, this daemon admits everyone until its first sum, also in a shortage. A state that arrives late is still
// used.
func (m *members) fetchAdmission(from netip.AddrPort) {
	if !m.daemon.admission {
		return
	}
	done := make(chan struct{})
	m.wg.Go(func() {
		defer close(done)
		m.receiveAdmission(from)
	})
	select {
	case <-done:
	case <-time.After(admissionWait):
	}
}

// receiveAdmission requests the state of admission control and takes it over.
func (m *members) receiveAdmission(from netip.AddrPort) {
	sent := time.Now()
	sealed, _, err := peer.CallRPC[[]byte](
		m.ctx, from, peer.RPC{Method: peer.MethodAdmission},
		transfer.Limits{FirstByteTimeout: pullTimeout, StallTimeout: transfer.DefaultStallTimeout}, &m.pulls,
	)
	if err != nil {
		klog.V(1).InfoS("State of admission control not fetched", "From", from, "Error", err)
		return
	}
	st, err := m.admission.Decode(sealed)
	if err != nil {
		klog.V(1).InfoS("State of admission control can't be used", "From", from, "Error", err)
		return
	}
	m.admissionStates.Add(1)
	d := m.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.RestoreAdmission(st, sent)
}

// answerAdmission answers another daemon's request for the state of admission control.
func (m *members) answerAdmission() (any, error) {
	m.daemon.mu.Lock()
	st := m.daemon.engine.AdmissionState(time.Now())
	m.daemon.mu.Unlock()
	sealed, err := m.admission.Encode(st)
	return sealed, eris.Wrap(err, "admission: encode")
}
