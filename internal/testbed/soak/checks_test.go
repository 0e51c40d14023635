package soak

import (
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Each check reports the requests that violate it, and no others.
func TestCheckRequest(t *testing.T) {
	disturbed := &disturbances{
		proxies:  map[string][]interval{"killed": {{start, start.Add(time.Second)}}},
		backends: []interval{{start.Add(time.Hour), start.Add(time.Hour + time.Second)}},
	}
	served := request{status: 200, complete: true, matches: true, responseStarted: true, completedRuns: 1}
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
		"served":            {change(func(*request) {}), ""},
		"mismatched":        {change(func(r *request) { r.matches = false }), "another request's"},
		"never executed":    {change(func(r *request) { r.completedRuns = 0 }), "never executed"},
		"executed twice":    {change(func(r *request) { r.nonIdempotent = true; r.abortedRuns = 1 }), "2 times"},
		"idempotent, twice": {change(func(r *request) { r.completedRuns = 2 }), ""},
		"refused, executed": {change(func(r *request) { r.nonIdempotent = true; r.status = 503 }), "promises"},
		"refused":           {change(func(r *request) { r.nonIdempotent = true; r.status = 503; r.completedRuns = 0 }), ""},
		"not found":         {change(func(r *request) { r.status = 404; r.completedRuns = 0 }), "got 404"},
		"redirected":        {change(func(r *request) { r.status = 307; r.completedRuns = 0 }), "got 307"},
		"lost":              {change(func(r *request) { *r = request{completedRuns: 1} }), "without a response"},
		"lost, dropped":     {change(func(r *request) { *r = request{drops: 1} }), "silent backend"},
		"dropped, backend killed": {change(func(r *request) {
			*r = request{drops: 1, sentAt: start.Add(time.Hour), endedAt: start.Add(time.Hour)}
		}), "silent backend"},
		"dropped, proxy killed": {change(func(r *request) {
			*r = request{drops: 1, proxy: "killed", sentAt: start, endedAt: start}
		}), ""},
		"dropped, answered": {change(func(r *request) { r.status = 504; r.completedRuns = 0; r.drops = 1 }), ""},
		"never forwarded":   {change(func(r *request) { *r = request{} }), ""},
		"incomplete":        {change(func(r *request) { *r = request{responseStarted: true, abortedRuns: 1} }), "cut off"},
		"client aborted":    {change(func(r *request) { *r = request{aborted: true, abortedRuns: 1} }), ""},
		"timed out":         {change(func(r *request) { *r = request{timedOut: true, abortedRuns: 1} }), ""},
		"proxy killed":      {change(func(r *request) { r.complete = false; r.proxy = "killed" }), ""},
		"backend killed": {change(func(r *request) {
			r.complete = false
			r.sentAt, r.endedAt = start.Add(time.Hour), start.Add(time.Hour)
		}), ""},
		"other proxy killed": {change(func(r *request) { r.complete = false; r.proxy = "other" }), "cut off"},
	} {
		got := checkRequest(test.request, disturbed)
		if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// Each check reports the probes that violate it, and no others.
func TestCheckProbe(t *testing.T) {
	present := routeState{version: 7, service: "flags", ackedAt: start, presentAt: start}
	updated := routeState{version: 9, service: "flags", ackedAt: start, presentAt: start.Add(-time.Minute)}
	removed := routeState{version: 8, ackedAt: start}
	uncertain := present
	uncertain.uncertain = true
	late := start.Add(10 * time.Second)
	for name, test := range map[string]struct {
		probe probe
		want  string
	}{
		"in force":        {probe{want: present, sentAt: late, status: 200, service: "flags"}, ""},
		"not found":       {probe{want: present, sentAt: late, status: 404, undisturbedSince: late}, "404 for version 7"},
		"404, just acked": {probe{want: present, sentAt: start.Add(notFoundBound), status: 404}, ""},
		"404, updated":    {probe{want: updated, sentAt: start, status: 404}, "404 for version 9"},
		"unavailable":     {probe{want: present, sentAt: late, status: 503}, ""},
		"outdated":        {probe{want: present, sentAt: late, status: 200, service: "filings"}, "served by filings"},
		"disturbed":       {probe{want: present, sentAt: late, status: 200, service: "filings", undisturbedSince: late}, ""},
		"removed":         {probe{want: removed, sentAt: late, status: 404}, ""},
		"removed, served": {probe{want: removed, sentAt: late, status: 200}, "removed it"},
		"uncertain":       {probe{want: uncertain, sentAt: late, status: 404}, ""},
		"state changed":   {probe{want: present, sentAt: late, status: 404, stateChanged: true}, ""},
		"unacknowledged":  {probe{want: routeState{service: "flags"}, sentAt: late, status: 404}, ""},
		"just removed":    {probe{want: removed, sentAt: start.Add(propagationBound), status: 200}, ""},
	} {
		got := checkProbe(&test.probe)
		if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}
