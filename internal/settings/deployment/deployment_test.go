package deployment

import (
	"reflect"
	"testing"
	"time"
)

// Known fields are translated, and unknown fields are ignored.
func TestParse(t *testing.T) {
	got, err := Parse([]byte(`{"classes":[{"name":"a","semantics":"guarded","keyTtl":1500,"worth":5}],"tick":5,` +
		`"familyInfo":{"mostShares":[0.1,1],"forwardOnly":true,"new":3},"registryMode":"subscribe","strange":[{}]}`))
	want := map[string]any{"workload.a.effect": "receipted", "workload.a.memory": 1500 * time.Millisecond,
		"workload.a.payoff": 5.0, "tick": 5 * time.Millisecond, "trial.caps": []float64{0.1, 1}, "trial.oneway": true,
		"discovery": "asked", "workloads": []string{"a"}, "customers": []string(nil)}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("unexpected result: error %v, parameters %v", err, got)
	}
}
