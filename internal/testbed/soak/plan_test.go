package soak

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// One seed is one plan, other seeds are others; plans are valid, their troubles overlap, and they can be kept.
func TestPlanOfASeed(t *testing.T) {
	overlapping := 0
	for seed := range uint64(50) {
		plan := Draw(seed, 90*time.Second, 12, 12)
		if err := plan.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(plan, Draw(seed, 90*time.Second, 12, 12)) {
			t.Fatalf("seed %d has two plans", seed)
		}
		if reflect.DeepEqual(plan.Troubles, Draw(seed+1, 90*time.Second, 12, 12).Troubles) {
			t.Fatalf("seeds %d and %d have the same plan", seed, seed+1)
		}
		for i := 1; i < len(plan.Troubles); i++ {
			if plan.Troubles[i-1].At+plan.Troubles[i-1].For > plan.Troubles[i].At {
				overlapping++
			}
		}
		path := filepath.Join(t.TempDir(), "plan")
		if err := plan.Keep(path); err != nil {
			t.Fatal(err)
		}
		if kept, err := ReadPlan(path); err != nil || !reflect.DeepEqual(kept, plan) {
			t.Fatalf("kept %v, %v", kept, err)
		}
	}
	if overlapping < 50*5 {
		t.Errorf("%d overlapping troubles in 50 plans", overlapping)
	}
}

// What is wrong with a plan is named.
func TestWrongPlans(t *testing.T) {
	valid := Plan{For: time.Minute, Proxies: 6, Backends: 6}
	for want, change := range map[string]func(*Plan){
		"--for":         func(p *Plan) { p.For = 0 },
		"--proxies":     func(p *Plan) { p.Proxies = maxProxies + 1 },
		"--backends":    func(p *Plan) { p.Backends = 1 },
		"unknown kind":  func(p *Plan) { p.Troubles = []Trouble{{Kind: "flood"}} },
		"has no target": func(p *Plan) { p.Troubles = []Trouble{{Kind: BigOrder, Target: AllNodes}} },
		"can't concern": func(p *Plan) { p.Troubles = []Trouble{{Kind: Wipe, Target: AllControllers}} },
		"negative":      func(p *Plan) { p.Troubles = []Trouble{{Kind: Reload, Target: AllNodes, At: -1}} },
		"a disk is lost": func(p *Plan) {
			p.Troubles = []Trouble{{Kind: Wipe, Target: OneController}, {Kind: Wipe, Target: OneController, At: time.Second}}
		},
	} {
		plan := valid
		change(&plan)
		if err := plan.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := ReadPlan(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a plan that is not there was read")
	}
}

// A target names as many nodes as it says, each once.
func TestTargets(t *testing.T) {
	plan := Plan{Proxies: 7}
	for target, want := range map[Target][2]int{
		OneProxy: {1, 0}, SomeProxies: {2, 0}, AllProxies: {7, 0}, OneController: {0, 1}, TwoControllers: {0, 2},
		AllControllers: {0, 6}, AllNodes: {7, 6},
	} {
		proxies, controllers := plan.nodes(target, 5)
		names := map[string]bool{}
		for _, name := range append(proxies, controllers...) {
			names[name] = true
		}
		if len(proxies) != want[0] || len(controllers) != want[1] || len(names) != want[0]+want[1] {
			t.Errorf("%s: %v, %v", target, proxies, controllers)
		}
	}
}
