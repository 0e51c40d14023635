package soak

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A seed always yields the same plan, and consecutive seeds yield different ones. The plans are valid, contain
// overlapping troubles and can be saved and read again.
func TestPlanOfASeed(t *testing.T) {
	overlapping := 0
	for seed := range uint64(50) {
		plan := GeneratePlan(seed, 90*time.Second, 12, 12)
		if err := plan.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(plan, GeneratePlan(seed, 90*time.Second, 12, 12)) {
			t.Fatalf("seed %d yields two different plans", seed)
		}
		if reflect.DeepEqual(plan.Troubles, GeneratePlan(seed+1, 90*time.Second, 12, 12).Troubles) {
			t.Fatalf("seeds %d and %d have the same plan", seed, seed+1)
		}
		for i := 1; i < len(plan.Troubles); i++ {
			if plan.Troubles[i-1].At+plan.Troubles[i-1].Duration > plan.Troubles[i].At {
				overlapping++
			}
		}
		path := filepath.Join(t.TempDir(), "plan")
		if err := plan.Save(path); err != nil {
			t.Fatal(err)
		}
		if saved, err := ReadPlan(path); err != nil || !reflect.DeepEqual(saved, plan) {
			t.Fatalf("saved plan: %v, %v", saved, err)
		}
	}
	if overlapping < 50*5 {
		t.Errorf("%d overlapping troubles in 50 plans", overlapping)
	}
}

// The error of an invalid plan names the invalid value.
func TestWrongPlans(t *testing.T) {
	valid := Plan{Duration: time.Minute, Proxies: 6, Backends: 6}
	for want, change := range map[string]func(*Plan){
		"--for":         func(p *Plan) { p.Duration = 0 },
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
		t.Error("no error for a plan that does not exist")
	}
}

// Each target selects the expected number of nodes, without duplicates.
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
