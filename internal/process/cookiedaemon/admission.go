package cookiedaemon

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// admissionTimeout bounds the fetch of the state of admission control. A daemon that starts can place flows without
// it, and callers wait meanwhile.
const admissionTimeout = 100 * time.Millisecond

// fetchAdmission fetches from a member what it knows of the loads of all zones, before this daemon can place flows.
// Without it, this daemon admits everyone until its first sum, also in a shortage.
func (m *members) fetchAdmission(from netip.AddrPort) {
	if m.classes == nil {
		return
	}
	sent := time.Now()
	sealed, _, err := peer.CallRPC[[]byte](
		m.ctx, from, peer.RPC{Method: peer.MethodAdmission},
		transfer.Limits{FirstByteTimeout: admissionTimeout, StallTimeout: admissionTimeout}, &m.pulls,
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
