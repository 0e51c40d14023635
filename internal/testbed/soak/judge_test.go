package soak

import (
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Each rule finds what breaks it, and nothing else.
func TestJudgeRequest(t *testing.T) {
	disturbed := &disturbances{
		proxies:  map[string][]interval{"killed": {{start, start.Add(time.Second)}}},
		backends: []interval{{start.Add(time.Hour), start.Add(time.Hour + time.Second)}},
	}
	served := request{status: 200, complete: true, matches: true, answered: true, completedRuns: 1}
	change := func(alter func(*request)) *request {
		r := served
		r.sentAt, r.endedAt = start, start.Add(100*time.Millisecond)
		alter(&r)
		return &r
	}
	for name, test := range map[string]struct {
		request *request
		want    string
	}{
		"served":           {change(func(*request) {}), ""},
		"of another":       {change(func(r *request) { r.matches = false }), "another request's"},
		"never run":        {change(func(r *request) { r.completedRuns = 0 }), "never executed"},
		"twice":            {change(func(r *request) { r.nonIdempotent = true; r.abortedRuns = 1 }), "2 times"},
		"twice is fine":    {change(func(r *request) { r.completedRuns = 2 }), ""},
		"refused and run":  {change(func(r *request) { r.nonIdempotent = true; r.status = 503 }), "promises"},
		"refused":          {change(func(r *request) { r.nonIdempotent = true; r.status = 503; r.completedRuns = 0 }), ""},
		"denied":           {change(func(r *request) { r.status = 404; r.completedRuns = 0 }), "got 404"},
		"redirected":       {change(func(r *request) { r.status = 307; r.completedRuns = 0 }), "got 307"},
		"lost":             {change(func(r *request) { *r = request{completedRuns: 1} }), "without a response"},
		"never passed on":  {change(func(r *request) { *r = request{} }), ""},
		"cut off":          {change(func(r *request) { *r = request{answered: true, abortedRuns: 1} }), "cut off"},
		"client left":      {change(func(r *request) { *r = request{left: true, abortedRuns: 1} }), ""},
		"out of time":      {change(func(r *request) { *r = request{outOfTime: true, abortedRuns: 1} }), ""},
		"proxy was killed": {change(func(r *request) { r.complete = false; r.proxy = "killed" }), ""},
		"backend was gone": {change(func(r *request) {
			r.complete = false
			r.sentAt, r.endedAt = start.Add(time.Hour), start.Add(time.Hour)
		}), ""},
		"another was killed": {change(func(r *request) { r.complete = false; r.proxy = "other" }), "cut off"},
	} {
		got := judgeRequest(test.request, disturbed)
		if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

func TestJudgeProbe(t *testing.T) {
	present := routeState{version: 7, service: "flags", ackedAt: start, presentAt: start}
	updated := routeState{version: 9, service: "flags", ackedAt: start, presentAt: start.Add(-time.Minute)}
	removed := routeState{version: 8, ackedAt: start}
	uncertain := present
	uncertain.uncertain = true
	long := start.Add(10 * time.Second)
	for name, test := range map[string]struct {
		probe probe
		want  string
	}{
		"in force":            {probe{want: present, sentAt: long, status: 200, service: "flags"}, ""},
		"denied":              {probe{want: present, sentAt: long, status: 404, calmSince: long}, "404 for version 7"},
		"denied, just acked":  {probe{want: present, sentAt: start.Add(denyBound), status: 404}, ""},
		"denied, updated":     {probe{want: updated, sentAt: start, status: 404}, "404 for version 9"},
		"unavailable":         {probe{want: present, sentAt: long, status: 503}, ""},
		"older":               {probe{want: present, sentAt: long, status: 200, service: "filings"}, "served by filings"},
		"older, disturbed":    {probe{want: present, sentAt: long, status: 200, service: "filings", calmSince: long}, ""},
		"removed":             {probe{want: removed, sentAt: long, status: 404}, ""},
		"removed, served":     {probe{want: removed, sentAt: long, status: 200}, "removed it"},
		"uncertain":           {probe{want: uncertain, sentAt: long, status: 404}, ""},
		"changed meanwhile":   {probe{want: present, sentAt: long, status: 404, heldAnother: true}, ""},
		"never acknowledged":  {probe{want: routeState{service: "flags"}, sentAt: long, status: 404}, ""},
		"removed, just acked": {probe{want: removed, sentAt: start.Add(calmBound), status: 200}, ""},
	} {
		got := judgeProbe(&test.probe)
		if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}
