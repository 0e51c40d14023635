package httpagent

import (
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

func TestLoadReports(t *testing.T) {
	for text, want := range map[string]int{"queue=2, util=0.6": 2, "": 0, "queue=NaN": 0, "queue=-1,util=0.5": 0,
		"queue=1e99": 0,
		"util=Inf":   0, `{"`: 0, "queue=2,odd": 0} {
		if got := transaction.ParseLoadReport(text); len(got) != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

func TestBackendLists(t *testing.T) {
	startedAt := time.UnixMilli(100_000)
	const text = `{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9",
		"zone":"a","machineType":"m2","cell":3,"lifecycle":"terminating","weight":1.5,"startedAtMs":99000,"build":41},
		{"instanceId":"s-2","hostPort":"127.0.0.1:8","lifecycle":"in_service","startedAtMs":0}]}`
	list, err := parseBackendList([]byte(text), startedAt)
	if err != nil {
		t.Fatal(err)
	}
	want := api.Backend{ID: backendID("s-1"), Build: 41, Cell: 3, MachineType: "m2", Zone: "a",
		State: api.StateDraining, Started: -time.Second, Weight: 1.5}
	if list.update.Kind != api.UpdateSnapshot || list.update.Version != 41 || list.update.Backends[0] != want ||
		list.update.Backends[1].Started != api.UnknownStart || list.addresses[want.ID] != "127.0.0.1:9" {
		t.Errorf("got %+v", list)
	}
	for _, bad := range []string{``, `{}`, `{"generation":4}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"terminated","weight":-1}]}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"odd"}]}`,
		`{"generation":4,"instances":[{"instanceId":"s","lifecycle":"in_service","hostPort":"x"}]}`} {
		if _, err := parseBackendList([]byte(bad), startedAt); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
	clients := newBackendClients(time.Second, time.Minute, 1, 32<<20)
	clients.update(list)
	kept := clients.get(backendID("s-2"))
	list.addresses[want.ID] = "127.0.0.1:7"
	clients.update(list)
	if clients.get(want.ID).address != "127.0.0.1:7" || clients.get(backendID("s-2")) != kept {
		t.Error("a changed address kept its client, or an unchanged one got a new client")
	}
	for _, change := range []func(*api.Backend){func(x *api.Backend) { x.Build++ }, func(x *api.Backend) { x.Started++ }} {
		before := clients.get(want.ID)
		change(&list.update.Backends[0])
		if clients.update(list); clients.get(want.ID) == before {
			t.Error("a changed build or start time at the same address kept its client")
		}
	}
	delete(list.addresses, want.ID)
	if clients.update(list); clients.get(want.ID) != nil || clients.get(backendID("s-2")) != kept {
		t.Error("a backend missing from a snapshot was kept")
	}
}

func TestPlatformLines(t *testing.T) {
	const rollingBack = `{"type":"ROLLOUT",` +
		`"object":{"image":42,"ring":1,"progress":"rolling_back","ceiling":0.28,"lag_ms":310}}`
	for line, want := range map[string]api.Event{
		rollingBack: api.RolloutUpdate{
			Build: 42, Stage: 1, Phase: api.PhaseRollingBack, Cap: 0.28, Age: 310 * time.Millisecond},
		`{"type":"DISPUTE","object":{"host":"s-1","type":"lookup","lag_ms":1200}}`: api.Complaint{
			Backend: backendID("s-1"), Workload: "lookup", Age: 1200 * time.Millisecond},
		`{}`: nil,
	} {
		if got, err := parseStreamLine([]byte(line)); err != nil || got != want {
			t.Errorf("%s: %+v, %v", line, got, err)
		}
	}
	for _, bad := range []string{`{`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":0,"progress":"new","ceiling":1,"lag_ms":0}}`,
		`{"type":"ROLLOUT"}`, `{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","lag_ms":310}}`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","ceiling":28,"lag_ms":310}}`,
		`{"type":"ROLLOUT","object":{"image":42,"ring":1,"progress":"trial","ceiling":0.28,"lag_ms":-1}}`,
		`{"type":"DISPUTE","object":{"host":"s-1","lag_ms":1200}}`, `{"type":"ROLLOUTS","object":{}}`} {
		if got, err := parseStreamLine([]byte(bad)); err == nil {
			t.Errorf("%s was accepted as %+v", bad, got)
		}
	}
}
