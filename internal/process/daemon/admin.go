package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const readHeaderTimeout = 5 * time.Second

// startAdmin serves status, health and metrics over HTTP.
func (d *Daemon) startAdmin(ctx context.Context) (func(), error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", d.cfg.AdminAddress.String())
	if err != nil {
		return nil, eris.Wrapf(err, "admin: listen on %s", d.cfg.AdminAddress)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET "+status.Path, status.Handler(d.Status))
	set := d.metricSet()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		status.WriteEvacuationMetrics(w, d.Status().Evacuated)
		metrics.WriteProcessMetrics(w)
	})
	if d.cfg.Debug {
		mux.Handle("PUT /debug/blocked", &d.blocked)
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(l) }()
	return func() { _ = s.Close() }, nil
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-d.ready:
		_, _ = w.Write([]byte("ready\n"))
	default:
		http.Error(w, "no bundle is in force yet", http.StatusServiceUnavailable)
	}
}

// Status returns the daemon's current state.
func (d *Daemon) Status() status.Status {
	s := status.Status{
		Name:         d.cfg.Name,
		Zone:         d.cfg.Zone,
		Flows:        d.engine.Flows.Len(),
		OpenRequests: d.engine.Requests.Open(),
	}
	if b := d.bundles.newest(); b != nil {
		s.Version, s.Prepared, s.Approved = b.Version, b.PreparedBy, b.ApprovedBy
	}
	for _, m := range d.engine.View().Members {
		s.Members = append(s.Members, status.MemberStatus{Name: m.Name, Zone: m.Zone, State: m.State.String()})
	}
	if t := d.engine.Routing(); t != nil {
		s.Upstreams = d.upstreamStatus(t)
		s.Evacuated = d.evacuations.status(s.Upstreams)
	}
	for c := 1; c < caller.NumCauses; c++ {
		if n := d.engine.Counters.Drops[c].Load(); n > 0 {
			s.Drops = append(s.Drops, status.DropStatus{Cause: caller.Cause(c).String(), Packets: n})
		}
	}
	return s
}

func (d *Daemon) upstreamStatus(t *bundle.Routing) []status.UpstreamStatus {
	upstreams := t.Upstreams()
	out := make([]status.UpstreamStatus, 0, len(upstreams))
	for _, u := range upstreams {
		l := d.engine.Loads.Load(u.ID)
		out = append(out, status.UpstreamStatus{
			Service: u.Service.Name, Name: u.Name, Zone: u.Zone, Drain: u.Drain, Slots: u.Slots,
			Flows: l.Flows.Load(), Requests: l.Requests.Load(),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// metricSet returns the daemon's metrics, named by the conventions of Prometheus.
func (d *Daemon) metricSet() *metrics.Set {
	s := metrics.NewSet()
	count := func(name string, load func() uint64) {
		s.NewGauge(name, func() float64 { return float64(load()) })
	}
	c := &d.engine.Counters
	for i := 1; i < caller.NumCauses; i++ {
		count(fmt.Sprintf("fescueshed_packets_dropped_total{cause=%q}", caller.Cause(i)), c.Drops[i].Load)
	}
	count("fescueshed_packets_received_total", d.fabric.Counters.Received.Load)
	count("fescueshed_packets_sent_total", d.fabric.Counters.Sent.Load)
	count("fescueshed_packets_stale_total", d.fabric.Counters.Stale.Load)
	count("fescueshed_packets_send_errors_total", d.fabric.Counters.SendErrors.Load)
	count("fescueshed_packets_forwarded_to_home_total", c.Forwarded.Load)
	count("fescueshed_packets_asked_total", c.Queried.Load)
	count("fescueshed_flows_placed_total", c.Placed.Load)
	count("fescueshed_flows_learned_total", c.Learned.Load)
	count("fescueshed_flows_adopted_total", c.Adopted.Load)
	count("fescueshed_flows_ended_total", c.Ended.Load)
	count("fescueshed_record_conflicts_total", c.Conflicts.Load)
	count("fescueshed_pauses_total", c.Pauses.Load)
	count("fescueshed_control_received_bytes_total", d.control.receivedBytes.Load)
	count("fescueshed_control_sent_bytes_total", d.control.sentBytes.Load)
	count("fescueshed_control_dropped_total", d.control.dropped.Load)
	count("fescueshed_control_ports_renewed_total", d.control.ports.Renewed.Load)
	count("fescueshed_bundles_refused_total", d.bundles.refused.Load)
	count("fescueshed_bundle_fetches_failed_total", d.bundles.fetches.Failed.Load)
	count("fescueshed_bundle_fetches_wasted_bytes_total", d.bundles.fetches.Wasted.Load)
	count("fescueshed_platform_errors_total", d.bundles.platformErrors.Load)
	s.NewGauge("fescueshed_flow_records", func() float64 { return float64(d.engine.Flows.Len()) })
	s.NewGauge("fescueshed_requests_open", func() float64 { return float64(d.engine.Requests.Open()) })
	s.NewGauge("fescueshed_members", func() float64 { return float64(len(d.engine.View().Members)) })
	s.NewGauge("fescueshed_bundle_version", d.versionGauge)
	s.NewGauge("fescueshed_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	return s
}

func (d *Daemon) versionGauge() float64 {
	if b := d.bundles.newest(); b != nil {
		return float64(b.Version)
	}
	return 0
}

// View returns the daemon's current view of the members.
func (d *Daemon) View() *peer.View { return d.engine.View() }
