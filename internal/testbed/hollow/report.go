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
	fmt.Fprintf(&out, "size members=%d relays=%d agents=%d appliances=%d routes=%d tenants=%d\n", o.Members, o.Relays, o.Agents, o.Appliances, o.Routes, o.Tenants)
	fmt.Fprintf(&out, "load items=%d calls=%d took=%s first_call=%s last_call=%s slowest_call=%s\n", r.Loaded.Items, r.Loaded.Calls,
		milli(r.Loaded.Took), milli(r.Loaded.First), milli(r.Loaded.Last), milli(r.Loaded.Slowest))
	fmt.Fprintf(&out, "load member_cpu_s=%.2f member_rss_kb=%d to %d peak=%d\n", seconds(r.LoadedUse)-seconds(r.Idle),
		memory(r.Idle), memory(r.LoadedUse), peak(r.LoadedUse))
	if agents := float64(o.Agents); agents > 0 && r.Start > 0 {
		fmt.Fprintf(&out, "start took=%s member_cpu_s=%.2f peak_kb=%d agent_items=%.0f agent_unpacked_b=%d agent_received_b=%.0f\n", milli(r.Start),
			seconds(r.StartedUse)-seconds(r.LoadedUse), peak(r.StartedUse), float64(r.WholeItems)/agents, r.WholeBytes, float64(r.Whole.Received)/agents)
	}
	r.writePart(&out, "calm", r.Calm, 0)
	r.writePart(&out, "change", r.Changing, len(r.Spreads))
	for i, s := range r.Spreads {
		fmt.Fprintf(&out, "spread n=%d acknowledged=%s half=%s of_99=%s all=%s\n", i+1, milli(s.Acknowledged), milli(s.Half), milli(s.Most), milli(s.All))
	}
	fmt.Fprintf(&out, "state member_disk_b=%d agent_vector=%d hollow_heap_kb=%d", r.Disk, r.Vector, r.HollowMemory/kilobyte)
	return out.String()
}

// writePart tells what each role used between two readings: a second, or for each change where there are some.
func (r *Result) writePart(out *strings.Builder, name string, part [2]Reading, changes int) {
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
	core := after.Core.Minus(before.Core)
	fmt.Fprintf(out, "%s took_s=%.2f\n", name, took)
	fmt.Fprintf(out, "%s role=member cpu_ms_per_%s=%.2f busiest=%.2f core_calls=%.2f core_sent_b=%.0f rss_kb=%d peak_kb=%d\n", name, unit,
		1000*(seconds(after.Members)-seconds(before.Members))/per, 1000*busiest(before.Members, after.Members)/per,
		each(core.Calls, r.Options.Members), each(core.Sent+core.Received, r.Options.Members), memory(after.Members), peak(after.Members))
	agents := after.Agents.Minus(before.Agents)
	served := agents.Plus(after.Appliances.Minus(before.Appliances)).Plus(after.RealAgents.Minus(before.RealAgents))
	fmt.Fprintf(out, "%s role=member served_calls=%.2f served_sent_b=%.0f served_received_b=%.0f\n", name, each(served.Calls, r.Options.Members),
		each(served.Received, r.Options.Members), each(served.Sent, r.Options.Members))
	fmt.Fprintf(out, "%s role=hollow_process cpu_ms_per_%s=%.2f rss_kb=%d\n", name, unit, 1000*(after.Hollow.CPU-before.Hollow.CPU).Seconds()/per, after.Hollow.Memory/kilobyte)
	fmt.Fprintf(out, "%s role=agent pulls=%.3f sent_b=%.1f received_b=%.1f items=%.3f failures=%d\n", name, each(after.Pulls-before.Pulls, r.Options.Agents),
		each(agents.Sent, r.Options.Agents), each(agents.Received, r.Options.Agents), each(after.Items-before.Items, r.Options.Agents), after.Failures-before.Failures)
	appliances := after.Appliances.Minus(before.Appliances)
	fmt.Fprintf(out, "%s role=appliance pulses=%.3f sent_b=%.1f received_b=%.1f missed=%d\n", name, each(after.Pulses-before.Pulses, r.Options.Appliances),
		each(appliances.Sent, r.Options.Appliances), each(appliances.Received, r.Options.Appliances), after.Missed-before.Missed)
	if len(after.Relays) > 0 {
		relays := after.RealAgents.Minus(before.RealAgents)
		fmt.Fprintf(out, "%s role=relay cpu_ms_per_%s=%.2f sent_b=%.1f received_b=%.1f rss_kb=%d peak_kb=%d\n", name, unit,
			1000*(seconds(after.Relays)-seconds(before.Relays))/per, each(relays.Sent, r.Options.Relays), each(relays.Received, r.Options.Relays),
			memory(after.Relays), peak(after.Relays))
	}
}

func milli(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// seconds is the mean processor time of some processes.
func seconds(usages []Usage) float64 {
	sum := 0.0
	for _, u := range usages {
		sum += u.CPU.Seconds()
	}
	return sum / float64(max(1, len(usages)))
}

// busiest is the processor time of the process that used the most between two readings.
func busiest(before, after []Usage) (most float64) {
	for i := range after {
		if i < len(before) {
			most = max(most, (after[i].CPU - before[i].CPU).Seconds())
		}
	}
	return most
}

// memory is the mean of what processes hold, in kilobytes.
func memory(usages []Usage) int64 {
	sum := int64(0)
	for _, u := range usages {
		sum += u.Memory
	}
	return sum / int64(max(1, len(usages))) / kilobyte
}

// peak is the most that one of the processes held, in kilobytes.
func peak(usages []Usage) (most int64) {
	for _, u := range usages {
		most = max(most, u.Peak)
	}
	return most / kilobyte
}
