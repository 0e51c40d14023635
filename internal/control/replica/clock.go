package replica

import "time"

// keepTime notes how late it is, and where the clock was set back brings what waits for a moment forward by as much: else a
// round that lost a message, or a value without an end, would wait for the time that was set back.
func (m *Replica) keepTime(now time.Time) {
	back := m.latest.Sub(now)
	m.latest = now
	if back <= 0 {
		return
	}
	for _, t := range m.tasks {
		t.until, t.deadline, t.again = earlier(t.until, back), earlier(t.deadline, back), earlier(t.again, back)
	}
	for key, at := range m.open {
		m.open[key] = earlier(at, back)
	}
	for _, x := range m.members {
		x.heard, x.asked, x.since = earlier(x.heard, back), earlier(x.asked, back), earlier(x.since, back)
	}
	for _, c := range m.candidates {
		c.at = earlier(c.at, back)
	}
	m.begun, m.calledBack = earlier(m.begun, back), earlier(m.calledBack, back)
	m.standing.adopted = earlier(m.standing.adopted, back)
}

// earlier is a moment brought forward; the zero one stays.
func earlier(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}
