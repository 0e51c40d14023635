package replication

import (
	"strings"
	"testing"
	"time"
)

const validHeartbeat = `{"service":"s","address":"10.0.0.9:8080","zone":"a1","version":"v1",` +
	`"capacity":3,"phase":"ready","warmLeft":"0ms","callCount":4}`

// A heartbeat is published if it changes the state of the backend, and otherwise not.
func TestUpdateFromHeartbeat(t *testing.T) {
	now := time.Unix(100, 0)
	heartbeat, err := ParseHeartbeat([]byte(validHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	_, previous, changed := UpdateFromHeartbeat("i1", heartbeat, nil, "n1", now)
	if !changed {
		t.Fatal("a new incarnation was not published")
	}
	for name, test := range map[string]struct {
		change func(*Heartbeat)
		want   bool
	}{
		"nothing":  {func(*Heartbeat) {}, false},
		"draining": {func(h *Heartbeat) { h.Phase = PhaseDraining }, true},
		"warming":  {func(h *Heartbeat) { h.WarmUpLeft = "3s" }, true},
		"address":  {func(h *Heartbeat) { h.Address = "10.0.0.9:8081" }, true},
	} {
		next := *heartbeat
		next.CallCount++
		test.change(&next)
		if _, _, changed := UpdateFromHeartbeat("i1", &next, previous, "n1", now.Add(time.Second)); changed != test.want {
			t.Errorf("%s: changed %v, want %v", name, changed, test.want)
		}
	}
	if _, _, changed := UpdateFromHeartbeat("i1", heartbeat, previous, "n2", now); !changed {
		t.Error("a change of the owner was not published")
	}
}

func TestParseHeartbeatRejects(t *testing.T) {
	for _, test := range []struct{ old, new string }{
		{`"ready"`, `"fine"`},
		{`10.0.0.9:8080`, `nowhere`},
		{`10.0.0.9:8080`, `10.0.0.9:0`},
		{`"capacity":3`, `"capacity":0`},
		{`"capacity":3`, `"capacity":1e99`},
		{`"callCount":4`, `"callCount":-1`},
		{`"callCount":4`, `"callCount":"four"`},
		{`"0ms"`, `"soon"`},
		{`"service":"s"`, `"service":""`},
		{`}`, ``},
		{`"zone":"a1"`, `"zone":["a1"]`},
	} {
		text := strings.Replace(validHeartbeat, test.old, test.new, 1)
		if heartbeat, err := ParseHeartbeat([]byte(text)); err == nil {
			t.Errorf("%s was parsed as %+v", text, heartbeat)
		}
	}
}
