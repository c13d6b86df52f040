package caller

import "github.com/fescueshed/fescueshed/internal/request/ip"

// opensTCP reports whether the packet is a caller's SYN.
func (w *packetWork) opensTCP() bool {
	return w.p.IP.Protocol == ip.ProtocolTCP && w.p.IP.TCPFlags&(ip.TCPSyn|ip.TCPAck) == ip.TCPSyn
}

// trackTCP updates the record of a TCP flow from a segment. It reports whether the
// segment ended the flow (RFC 9293, section 3.6): by RST, or by the second FIN.
func (e *Engine) trackTCP(w *packetWork, r *Record) bool {
	if w.p.IP.Protocol != ip.ProtocolTCP || r.State == StateEnded {
		return false
	}
	if !w.answer && len(w.p.IP.Payload) > 0 {
		r.Flags |= RecordForwarded
	}
	if w.p.IP.TCPFlags&ip.TCPFin != 0 {
		if w.answer {
			r.Flags |= RecordFinUpstream
		} else {
			r.Flags |= RecordFinCaller
		}
	}
	bothFins := RecordFinCaller | RecordFinUpstream
	if w.p.IP.TCPFlags&ip.TCPRst == 0 && r.Flags&bothFins != bothFins {
		return false
	}
	if r.State != StateCommitted {
		return false
	}
	r.State = StateEnded
	return true
}

// retryTCP places a flow a second time if the upstream refused its SYN with an RST.
// That is safe because no payload byte was forwarded and the upstream never accepted
// the connection: the caller's repeated SYN is sent to the other upstream, and the RST
// is not forwarded.
func (e *Engine) retryTCP(w *packetWork, r *Record) bool {
	const noRetry = RecordForwarded | RecordAnswered | RecordRetried
	if w.p.IP.Protocol != ip.ProtocolTCP || w.p.IP.TCPFlags&ip.TCPRst == 0 || r.Flags&noRetry != 0 {
		return false
	}
	u := e.chooseUpstream(w, r.Upstream)
	if u == nil {
		return false
	}
	e.uncount(r)
	r.Upstream = u.ID
	e.count(r)
	r.Flags |= RecordRetried
	r.ReplicaTag, r.CheckedView, r.ReplicatedView = 0, 0, 0
	return true
}

// reset answers a segment that can't be forwarded with an RST, unless the segment is an
// RST itself.
func (e *Engine) reset(w *packetWork) Cause {
	if w.p.IP.TCPFlags&ip.TCPRst != 0 {
		return CauseNoFlow
	}
	inner, err := ip.BuildReset(&w.p.IP)
	if err == nil {
		e.sendToCaller(w, inner)
	}
	return CauseNoFlow
}
