package hollow

import (
	"fmt"
	"strings"
	"time"
)

// kilobyte is the unit of memory in reports.
const kilobyte = 1 << 10

// String returns the report as lines of key=value pairs. The keys are stable, because measurements of different
// versions are compared by them. The roles member, relay, agent and appliance are controllers, real proxies, hollow
// proxies and backends.
func (r *Result) String() string {
	var out strings.Builder
	r.writeSize(&out)
	r.writeLoad(&out)
	r.writeStart(&out)
	r.writePhase(&out, "calm", r.Steady, 0)
	r.writePhase(&out, "change", r.Changing, len(r.Propagations))
	for i, p := range r.Propagations {
		fmt.Fprintf(&out, "spread n=%d acknowledged=%s half=%s of_99=%s all=%s\n", i+1,
			formatDuration(p.Acknowledged), formatDuration(p.Half), formatDuration(p.P99), formatDuration(p.All))
	}
	fmt.Fprintf(&out, "state member_disk_b=%d agent_vector=%d hollow_heap_kb=%d",
		r.DiskBytes, r.VersionVectorEntries, r.HollowBytes/kilobyte)
	return out.String()
}

func (r *Result) writeSize(out *strings.Builder) {
	o := r.Options
	fmt.Fprintf(out, "size members=%d relays=%d agents=%d appliances=%d routes=%d tenants=%d\n",
		o.Controllers, o.RealProxies, o.Proxies, o.Backends, o.Routes, o.Tenants)
}

func (r *Result) writeLoad(out *strings.Builder) {
	load := r.Load
	fmt.Fprintf(out, "load items=%d calls=%d took=%s first_call=%s last_call=%s slowest_call=%s\n", load.Items, load.Calls,
		formatDuration(load.Duration), formatDuration(load.FirstCall), formatDuration(load.LastCall),
		formatDuration(load.SlowestCall))
	fmt.Fprintf(out, "load member_cpu_s=%.2f member_rss_kb=%d to %d peak=%d\n",
		meanCPUSeconds(r.LoadedUsage)-meanCPUSeconds(r.IdleUsage),
		meanMemoryKB(r.IdleUsage), meanMemoryKB(r.LoadedUsage), peakMemoryKB(r.LoadedUsage))
}

// writeStart writes the resource use of the start of the proxies, if there are any.
func (r *Result) writeStart(out *strings.Builder) {
	if r.Options.Proxies == 0 || r.StartDuration == 0 {
		return
	}
	proxies := float64(r.Options.Proxies)
	fmt.Fprintf(out, "start took=%s member_cpu_s=%.2f peak_kb=%d", formatDuration(r.StartDuration),
		meanCPUSeconds(r.StartedUsage)-meanCPUSeconds(r.LoadedUsage), peakMemoryKB(r.StartedUsage))
	fmt.Fprintf(out, " agent_items=%.0f agent_unpacked_b=%d agent_received_b=%.0f\n",
		float64(r.InitialItems)/proxies, r.InitialBytes, float64(r.InitialTraffic.Received)/proxies)
}

// phase is a part of a run between two samples.
type phase struct {
	name    string
	options Options
	before  Sample
	after   Sample
	divisor float64 // number of seconds or changes
	unit    string  // unit of the divisor
}

// writePhase writes the resource use of each role between two samples, per change if changes is positive and per second
// otherwise.
func (r *Result) writePhase(out *strings.Builder, name string, samples [2]Sample, changes int) {
	before, after := samples[0], samples[1]
	if before.At.IsZero() || after.At.IsZero() {
		return
	}
	seconds := after.At.Sub(before.At).Seconds()
	fmt.Fprintf(out, "%s took_s=%.2f\n", name, seconds)
	p := phase{name: name, options: r.Options, before: before, after: after, divisor: seconds, unit: "s"}
	if changes > 0 {
		p.divisor = float64(changes)
		p.unit = "change"
	}
	p.writeControllers(out)
	p.writeHollowProcess(out)
	p.writeProxies(out)
	p.writeBackends(out)
	if len(after.RealProxies) > 0 {
		p.writeRealProxies(out)
	}
}

// perNode returns a total per node and unit.
func (p *phase) perNode(total int64, nodes int) float64 {
	return float64(total) / float64(max(1, nodes)) / p.divisor
}

// cpuMillis converts seconds of processor time to milliseconds per unit.
func (p *phase) cpuMillis(seconds float64) float64 { return 1000 * seconds / p.divisor }

func (p *phase) writeControllers(out *strings.Builder) {
	count := p.options.Controllers
	mean := meanCPUSeconds(p.after.Controllers) - meanCPUSeconds(p.before.Controllers)
	busiest := maxCPUSeconds(p.before.Controllers, p.after.Controllers)
	internal := p.after.ControllerTraffic.Sub(p.before.ControllerTraffic)
	fmt.Fprintf(out, "%s role=member cpu_ms_per_%s=%.2f busiest=%.2f",
		p.name, p.unit, p.cpuMillis(mean), p.cpuMillis(busiest))
	fmt.Fprintf(out, " core_calls=%.2f core_sent_b=%.0f rss_kb=%d peak_kb=%d\n",
		p.perNode(internal.Calls, count), p.perNode(internal.Sent+internal.Received, count),
		meanMemoryKB(p.after.Controllers), peakMemoryKB(p.after.Controllers))
	// The traffic is counted by the callers: the bytes that they sent are those that the controllers received, and vice
	// versa.
	served := p.proxyTraffic().Add(p.backendTraffic()).Add(p.realProxyTraffic())
	fmt.Fprintf(out, "%s role=member served_calls=%.2f served_sent_b=%.0f served_received_b=%.0f\n",
		p.name, p.perNode(served.Calls, count), p.perNode(served.Received, count), p.perNode(served.Sent, count))
}

func (p *phase) writeHollowProcess(out *strings.Builder) {
	cpu := (p.after.Hollow.CPU - p.before.Hollow.CPU).Seconds()
	fmt.Fprintf(out, "%s role=hollow_process cpu_ms_per_%s=%.2f rss_kb=%d\n",
		p.name, p.unit, p.cpuMillis(cpu), p.after.Hollow.Memory/kilobyte)
}

func (p *phase) writeProxies(out *strings.Builder) {
	count := p.options.Proxies
	traffic := p.proxyTraffic()
	fmt.Fprintf(out, "%s role=agent pulls=%.3f sent_b=%.1f received_b=%.1f items=%.3f failures=%d\n", p.name,
		p.perNode(p.after.Pulls-p.before.Pulls, count), p.perNode(traffic.Sent, count), p.perNode(traffic.Received, count),
		p.perNode(p.after.Items-p.before.Items, count), p.after.FailedPulls-p.before.FailedPulls)
}

func (p *phase) writeBackends(out *strings.Builder) {
	count := p.options.Backends
	traffic := p.backendTraffic()
	fmt.Fprintf(out, "%s role=appliance pulses=%.3f sent_b=%.1f received_b=%.1f missed=%d\n", p.name,
		p.perNode(p.after.Heartbeats-p.before.Heartbeats, count),
		p.perNode(traffic.Sent, count), p.perNode(traffic.Received, count),
		p.after.FailedHeartbeats-p.before.FailedHeartbeats)
}

func (p *phase) writeRealProxies(out *strings.Builder) {
	count := p.options.RealProxies
	mean := meanCPUSeconds(p.after.RealProxies) - meanCPUSeconds(p.before.RealProxies)
	traffic := p.realProxyTraffic()
	fmt.Fprintf(out, "%s role=relay cpu_ms_per_%s=%.2f sent_b=%.1f received_b=%.1f rss_kb=%d peak_kb=%d\n", p.name, p.unit,
		p.cpuMillis(mean), p.perNode(traffic.Sent, count), p.perNode(traffic.Received, count),
		meanMemoryKB(p.after.RealProxies), peakMemoryKB(p.after.RealProxies))
}

func (p *phase) proxyTraffic() Traffic { return p.after.ProxyTraffic.Sub(p.before.ProxyTraffic) }

func (p *phase) backendTraffic() Traffic { return p.after.BackendTraffic.Sub(p.before.BackendTraffic) }

func (p *phase) realProxyTraffic() Traffic {
	return p.after.RealProxyTraffic.Sub(p.before.RealProxyTraffic)
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
