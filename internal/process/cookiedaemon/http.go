package cookiedaemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// readHeaderTimeout bounds the time in which a client must send the headers of a request.
const readHeaderTimeout = 5 * time.Second

func (d *Daemon) startReadiness(ctx context.Context) (func(), error) {
	return serveHTTP(ctx, d.cfg.Load().ReadinessAddress, d.platform.Readiness(d.checkReady))
}

func (d *Daemon) startMetrics(ctx context.Context) (func(), error) {
	// The set is created by the first request for it: its fifty names take a small host some
	// milliseconds, while callers wait for it to start.
	set := sync.OnceValue(d.metricSet)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set().WritePrometheus(w)
		d.writeHistograms(w)
		d.writeRequests(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.Handle("GET "+status.Path, status.Handler(d.Status))
	return serveHTTP(ctx, d.cfg.Load().MetricsAddress, mux)
}

func serveHTTP(ctx context.Context, at netip.AddrPort, h http.Handler) (func(), error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, eris.Wrapf(err, "http: listen on %s", at)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(l) }() // Serve returns http.ErrServerClosed after Close.
	return func() { _ = s.Close() }, nil
}

// metricSet returns the metrics, named by Prometheus conventions.
func (d *Daemon) metricSet() *metrics.Set {
	s := metrics.NewSet()
	count := func(name string, load func() uint64) {
		s.NewGauge(name, func() float64 { return float64(load()) })
	}
	for cause := cookie.CauseNone; cause < cookie.NumCauses; cause++ {
		d.countCause(count, "forwarded", cause, func(k *cookie.Counters) uint64 { return k.Forwarded[cause] })
		d.countCause(count, "reset", cause, func(k *cookie.Counters) uint64 { return k.Reset[cause] })
		d.countCause(count, "dropped", cause, func(k *cookie.Counters) uint64 { return k.Dropped[cause] })
	}
	count("fescueshed_packets_received_total", d.data.received.Load)
	count("fescueshed_packets_sent_total", d.data.sent.Load)
	count("fescueshed_packets_send_errors_total", d.data.failed.Load)
	count("fescueshed_store_calls_total", d.platform.Store.Counts.Calls.Load)
	count("fescueshed_store_calls_refused_total", d.platform.Store.Counts.Refused.Load)
	count("fescueshed_store_calls_silent_total", d.platform.Store.Counts.Unanswered.Load)
	count("fescueshed_upstream_restarts_total", func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.engine.Counters.Restarts
	})
	d.countInquiries(count)
	count("fescueshed_store_objects_unusable_total", d.unusable.Load)
	count("fescueshed_probes_total", d.probes.sent.Load)
	count("fescueshed_control_received_bytes_total", d.members.receivedBytes.Load)
	count("fescueshed_control_sent_bytes_total", d.members.sentBytes.Load)
	count("fescueshed_control_dropped_total", d.members.dropped.Load)
	count("fescueshed_catalogs_fetched_total", d.members.pulls.Begun.Load)
	count("fescueshed_admission_states_received_total", d.members.admissionStates.Load)
	countTransfers(count, "fescueshed_catalogs", &d.members.pulls)
	countTransfers(count, "fescueshed_store_answers", &d.platform.Store.Counts.Answers)
	count("fescueshed_log_lines_left_out_total", d.logs.leftOut.Load)
	s.NewGauge("fescueshed_flows", func() float64 { return float64(d.flows()) })
	s.NewGauge("fescueshed_flows_unrouted", func() float64 { return float64(d.unroutedFlows()) })
	s.NewGauge("fescueshed_members", func() float64 { return float64(d.Members()) })
	s.NewGauge("fescueshed_bundle_findings", func() float64 { return float64(d.bundleFindings.Load()) })
	s.NewGauge("fescueshed_bundle_version", func() float64 { return float64(d.inForce.Version()) })
	for k := range numKinds {
		s.NewGauge(fmt.Sprintf("fescueshed_store_kind_age_seconds{kind=%q}", k), func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return time.Since(d.state.confirmed[k]).Seconds()
		})
	}
	s.NewGauge("fescueshed_store_epoch", func() float64 { return float64(d.storeEpoch()) })
	for k := range numKinds {
		count(fmt.Sprintf("fescueshed_store_answers_outdated_total{kind=%q}", k), d.outdatedAnswers[k].Load)
		count(fmt.Sprintf("fescueshed_store_answers_unreadable_total{kind=%q}", k), d.unreadableAnswers[k].Load)
		s.NewGauge(fmt.Sprintf("fescueshed_store_revision{kind=%q}", k), func() float64 {
			return float64(d.positionOf(k).Revision())
		})
	}
	s.NewGauge("fescueshed_store_age_seconds", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return time.Since(d.state.confirmedAll()).Seconds()
	})
	return s
}

func (d *Daemon) unroutedFlows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.UnroutedFlows()
}

// countInquiries adds the counters of ambiguous flows.
func (d *Daemon) countInquiries(count func(string, func() uint64)) {
	count("fescueshed_flows_ambiguous_total", func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.engine.Counters.Ambiguous
	})
	count("fescueshed_packets_held_total", func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.engine.Counters.Held
	})
	count("fescueshed_inquiries_answered_total", d.members.placements.found.Load)
}

// countTransfers adds the counters of transfers. Wasted bytes were received and discarded, since
// the rest of the transfer didn't arrive in time.
func countTransfers(count func(string, func() uint64), name string, t *transfer.Counts) {
	count(name+"_failed_total", t.Failed.Load)
	count(name+"_bytes_total", t.Bytes.Load)
	count(name+"_wasted_bytes_total", t.Wasted.Load)
}

// writeRequests writes the evacuated zones, the state of admission control, and the numbers of
// requests by service and outcome. Their labels are known only when they occur.
func (d *Daemon) writeRequests(w io.Writer) {
	s := d.Status()
	status.WriteEvacuationMetrics(w, s.Evacuated)
	status.WriteAdmissionMetrics(w, s.Admission)
	for _, r := range s.Requests {
		for outcome, n := range map[string]uint64{
			"InTime": r.InTime, "Late": r.Late, "Failed": r.Failed, "Refused": r.Refused, "Unknown": r.Unknown,
		} {
			fmt.Fprintf(w, "fescueshed_requests_total{service=%q,outcome=%q} %d\n", r.Service, outcome, n)
		}
	}
}

// histogram is the part of metrics.Histogram that is needed to write its values.
type histogram interface {
	VisitNonZeroBuckets(f func(vmrange string, count uint64))
}

// writeHistograms writes the histograms in the library's own format. They are fields of the things
// that they measure, not members of a metrics.Set.
func (d *Daemon) writeHistograms(w io.Writer) {
	for name, h := range map[string]histogram{
		"fescueshed_answer_seconds":     &d.answerSeconds,
		"fescueshed_probe_seconds":      &d.probeSeconds,
		"fescueshed_store_call_seconds": &d.platform.Store.Counts.Latency,
	} {
		total := uint64(0)
		h.VisitNonZeroBuckets(func(vmrange string, count uint64) {
			total += count
			fmt.Fprintf(w, "%s_bucket{vmrange=%q} %d\n", name, vmrange, count)
		})
		fmt.Fprintf(w, "%s_count %d\n", name, total)
	}
}

func (d *Daemon) countCause(
	count func(string, func() uint64), action string, cause cookie.Cause, of func(*cookie.Counters) uint64,
) {
	name := fmt.Sprintf("fescueshed_packets_%s_total{cause=%q}", action, cause)
	count(name, func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return of(&d.engine.Counters)
	})
}
