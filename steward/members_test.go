package steward

import (
	"fmt"
	"strings"
	"testing"

	"sagelever/internal/control/replica"
	"sagelever/vault"
)

// acts tells whether a member acts in an epoch.
func (h *house) acts(i int) bool {
	s := h.live[i].Steward
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Acting()
}

// A successor that has joined beside the member that it will replace is no member: two of the three confirm a version, and the
// other one and the successor, which never heard of it, confirm and serve nothing alone. (Before the sets of members they
// served the version before as the newest, and confirmed another.)
func TestSuccessorBesideItsMember(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "settings.change", call("00000005", "five.example"))
	h.start(3, false)
	until(t, "the successor holds what the members hold", func() bool {
		s := h.live[0].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.CandidateReady("n3")
	})
	h.kill(1)
	h.kill(3)
	h.must(0, "settings.change", call("00000008", "eight.example"))
	h.kill(0)
	h.kill(2)
	h.start(1, false)
	h.start(3, false)
	for i := 1; i <= 3; i += 2 {
		for _, c := range [][2]string{{"settings.read", ""}, {"settings.change", call("0000000a", "ten.example")}} {
			status, text := 0, ""
			until(t, "it answers", func() bool { status, text = h.call(i, c[0], c[1]); return status != 0 })
			if status != 503 {
				t.Errorf("member %d, %s: %d %s", i, c[0], status, text)
			}
		}
	}
	h.start(0, false)
	if text := h.must(1, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("what two confirmed is gone: %s", text)
	}
}

// A member that ends while its successor is ready is exchanged for it; what was acknowledged stays, the old member learns that
// it is none any more, and takes no order.
func TestReplaced(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(2, "settings.change", call("00000005", "five.example"))
	h.start(3, false)
	until(t, "the successor is ready", func() bool {
		s := h.live[2].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.CandidateReady("n3")
	})
	h.kill(2)
	until(t, "the successor acts", func() bool { return h.acts(3) && h.acts(0) && h.acts(1) })
	h.must(3, "settings.change", call("00000008", "eight.example"))
	h.start(2, false)
	until(t, "the old member knows that it is replaced", func() bool {
		s := h.live[2].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.Epoch() == 2
	})
	status, text := 0, ""
	until(t, "it answers", func() bool {
		status, text = h.call(2, "settings.change", call("0000000a", "ten.example"))
		return status != 0
	})
	if status != 503 {
		t.Errorf("a member that was replaced takes an order: %d %s", status, text)
	}
	if h.acts(2) {
		t.Error("a member that was replaced acts")
	}
	if r, err := h.live[2].answer(t.Context(), replica.PreparePath, &replica.Ask{Epoch: 1, Keys: []string{"k"}}); err == nil && r.OK {
		t.Error("a member that was replaced promises")
	}
	h.kill(0) // one loss right after
	if text := h.must(1, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("after the replacement and a loss: %s", text)
	}
}

// Disks of the version before, which knew no sets of members, are taken up by a core that is started whole: what two of three
// had confirmed stands, whichever member is asked.
func TestDisksOfTheVersionBefore(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	for i := range members {
		disk, err := vault.Open(h.disk(i))
		if err != nil {
			t.Fatal(err)
		}
		held := map[string]string{bornKey: "first start", floorKey: `{"b":{"n":1700000000000,"w":"n0"}}`}
		if i != 1 { // one of three lacks it
			for _, kind := range []string{"routes/r", "services/s"} {
				held[entryKey+"item/"+kind] = fmt.Sprintf(`{"k":"item/%s","p":{"n":1700000000005,"w":"n2"},"a":{"n":1700000000005,"w":"n2"},"x":{"v":7,"b":%q},"c":true}`,
					kind, bodyOf[kind])
			}
		}
		if err := disk.Put(held); err != nil {
			t.Fatal(err)
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range members {
		h.start(i, false)
	}
	for i := range members {
		if text := h.must(i, "settings.read", ""); !strings.Contains(text, "seven.example") {
			t.Errorf("member %d: %s", i, text)
		}
	}
	h.must(1, "settings.change", call("00000008", "eight.example"))
	if text := h.must(2, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("a change after it: %s", text)
	}
}

var bodyOf = map[string]string{
	"routes/r":   `{"host":"seven.example","pathStart":"/x/","kind":"harmless","giveUp":"5000ms","service":"s"}`,
	"services/s": `{"checkPath":"/h","warmUp":"3s","warmingRateS":2.9}`,
}
