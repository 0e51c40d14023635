package hollow

import (
	"fmt"
	"strings"
	"time"
)

// kilobyte is the unit of memory in reports.
const kilobyte = 1 << 10

// String is the result for people and for tables: one line for each part, of names and values.
func (r *Result) String() string {
	var out strings.Builder
	o := r.Options
	fmt.Fprintf(&out, "size members=%d relays=%d agents=%d appliances=%d routes=%d tenants=%d\n", o.Controllers, o.RealProxies, o.Proxies, o.Backends, o.Routes, o.Tenants)
	fmt.Fprintf(&out, "load items=%d calls=%d took=%s first_call=%s last_call=%s slowest_call=%s\n", r.Load.Items, r.Load.Calls,
		formatDuration(r.Load.Duration), formatDuration(r.Load.FirstCall), formatDuration(r.Load.LastCall), formatDuration(r.Load.SlowestCall))
	fmt.Fprintf(&out, "load member_cpu_s=%.2f member_rss_kb=%d to %d peak=%d\n", meanCPUSeconds(r.LoadedUsage)-meanCPUSeconds(r.IdleUsage),
		meanMemoryKB(r.IdleUsage), meanMemoryKB(r.LoadedUsage), peakMemoryKB(r.LoadedUsage))
	if agents := float64(o.Proxies); agents > 0 && r.StartDuration > 0 {
		fmt.Fprintf(&out, "start took=%s member_cpu_s=%.2f peak_kb=%d agent_items=%.0f agent_unpacked_b=%d agent_received_b=%.0f\n", formatDuration(r.StartDuration),
			meanCPUSeconds(r.StartedUsage)-meanCPUSeconds(r.LoadedUsage), peakMemoryKB(r.StartedUsage), float64(r.InitialItems)/agents, r.InitialBytes, float64(r.InitialTraffic.Received)/agents)
	}
	r.writePhase(&out, "calm", r.Steady, 0)
	r.writePhase(&out, "change", r.Changing, len(r.Propagations))
	for i, s := range r.Propagations {
		fmt.Fprintf(&out, "spread n=%d acknowledged=%s half=%s of_99=%s all=%s\n", i+1, formatDuration(s.Acknowledged), formatDuration(s.Half), formatDuration(s.P99), formatDuration(s.All))
	}
	fmt.Fprintf(&out, "state member_disk_b=%d agent_vector=%d hollow_heap_kb=%d", r.DiskBytes, r.VersionVectorEntries, r.HollowBytes/kilobyte)
	return out.String()
}

// writePhase tells what each role used between two readings: a second, or for each change where there are some.
func (r *Result) writePhase(out *strings.Builder, name string, part [2]Sample, changes int) {
	before, after := part[0], part[1]
	if before.At.IsZero() || after.At.IsZero() {
		return
	}
	took := after.At.Sub(before.At).Seconds()
	per, unit := took, "s"
	if changes > 0 {
		per, unit = float64(changes), "change"
	}
	each := func(total int64, of int) float64 { return float64(total) / float64(max(1, of)) / per }
	core := after.ControllerTraffic.Sub(before.ControllerTraffic)
	fmt.Fprintf(out, "%s took_s=%.2f\n", name, took)
	fmt.Fprintf(out, "%s role=member cpu_ms_per_%s=%.2f busiest=%.2f core_calls=%.2f core_sent_b=%.0f rss_kb=%d peak_kb=%d\n", name, unit,
		1000*(meanCPUSeconds(after.Controllers)-meanCPUSeconds(before.Controllers))/per, 1000*maxCPUSeconds(before.Controllers, after.Controllers)/per,
		each(core.Calls, r.Options.Controllers), each(core.Sent+core.Received, r.Options.Controllers), meanMemoryKB(after.Controllers), peakMemoryKB(after.Controllers))
	agents := after.ProxyTraffic.Sub(before.ProxyTraffic)
	served := agents.Add(after.BackendTraffic.Sub(before.BackendTraffic)).Add(after.RealProxyTraffic.Sub(before.RealProxyTraffic))
	fmt.Fprintf(out, "%s role=member served_calls=%.2f served_sent_b=%.0f served_received_b=%.0f\n", name, each(served.Calls, r.Options.Controllers),
		each(served.Received, r.Options.Controllers), each(served.Sent, r.Options.Controllers))
	fmt.Fprintf(out, "%s role=hollow_process cpu_ms_per_%s=%.2f rss_kb=%d\n", name, unit, 1000*(after.Hollow.CPU-before.Hollow.CPU).Seconds()/per, after.Hollow.Memory/kilobyte)
	fmt.Fprintf(out, "%s role=agent pulls=%.3f sent_b=%.1f received_b=%.1f items=%.3f failures=%d\n", name, each(after.Pulls-before.Pulls, r.Options.Proxies),
		each(agents.Sent, r.Options.Proxies), each(agents.Received, r.Options.Proxies), each(after.Items-before.Items, r.Options.Proxies), after.FailedPulls-before.FailedPulls)
	appliances := after.BackendTraffic.Sub(before.BackendTraffic)
	fmt.Fprintf(out, "%s role=appliance pulses=%.3f sent_b=%.1f received_b=%.1f missed=%d\n", name, each(after.Heartbeats-before.Heartbeats, r.Options.Backends),
		each(appliances.Sent, r.Options.Backends), each(appliances.Received, r.Options.Backends), after.FailedHeartbeats-before.FailedHeartbeats)
	if len(after.RealProxies) > 0 {
		relays := after.RealProxyTraffic.Sub(before.RealProxyTraffic)
		fmt.Fprintf(out, "%s role=relay cpu_ms_per_%s=%.2f sent_b=%.1f received_b=%.1f rss_kb=%d peak_kb=%d\n", name, unit,
			1000*(meanCPUSeconds(after.RealProxies)-meanCPUSeconds(before.RealProxies))/per, each(relays.Sent, r.Options.RealProxies), each(relays.Received, r.Options.RealProxies),
			meanMemoryKB(after.RealProxies), peakMemoryKB(after.RealProxies))
	}
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// meanCPUSeconds is the mean processor time of some processes.
func meanCPUSeconds(usages []Usage) float64 {
	sum := 0.0
	for _, u := range usages {
		sum += u.CPU.Seconds()
	}
	return sum / float64(max(1, len(usages)))
}

// maxCPUSeconds is the processor time of the process that used the most between two readings.
func maxCPUSeconds(before, after []Usage) (most float64) {
	for i := range after {
		if i < len(before) {
			most = max(most, (after[i].CPU - before[i].CPU).Seconds())
		}
	}
	return most
}

// meanMemoryKB is the mean of what processes hold, in kilobytes.
func meanMemoryKB(usages []Usage) int64 {
	sum := int64(0)
	for _, u := range usages {
		sum += u.Memory
	}
	return sum / int64(max(1, len(usages))) / kilobyte
}

// peakMemoryKB is the most that one of the processes held, in kilobytes.
func peakMemoryKB(usages []Usage) (most int64) {
	for _, u := range usages {
		most = max(most, u.Peak)
	}
	return most / kilobyte
}
