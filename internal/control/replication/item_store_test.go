package replication

import (
	"testing"

	"pgregory.net/rapid"
)

// Stores converge whatever the order and number of times in which items arrive, and a backend that has left never
// changes its phase again.
func TestItemsConvergeInAnyOrder(t *testing.T) {
	backend := Backend{Service: "s", Address: "10.0.0.9:8080", Zone: "a1", Capacity: 3, Phase: PhaseReady}
	items := []Item{
		backend.ItemWithPhase("i1", PhaseReady, BackendVersion(4, false)),
		backend.ItemWithPhase("i1", PhaseTimedOut, BackendVersion(4, true)),
		backend.ItemWithPhase("i1", PhaseReady, BackendVersion(5, false)),
		backend.ItemWithPhase("i1", PhaseDraining, BackendVersion(6, false)),
		backend.ItemWithPhase("i1", PhaseLeft, LeftVersion),
		backend.ItemWithPhase("i1", PhaseReady, BackendVersion(7, false)),
		(&Lease{Node: "n", Role: "edge"}).Item(3),
		(&Lease{Node: "n", Role: "edge", Ended: true}).Item(4),
	}
	rapid.Check(t, func(t *rapid.T) {
		publisher, puller := NewItemStore("f@1", "f.1"), NewItemStore("g@1", "g.1")
		repeated := rapid.SliceOf(rapid.SampledFrom(items)).Draw(t, "some")
		all := rapid.Permutation(items).Draw(t, "all")
		for _, item := range append(repeated, all...) {
			publisher.Publish(item)
		}
		pulled := uint64(0)
		for range 3 { // after the first pull by local sequence number, the puller lacks nothing
			for _, item := range publisher.Since(pulled, nil) {
				puller.Publish(item)
			}
			pulled = publisher.LocalSequence()
		}
		for _, store := range []*ItemStore{publisher, puller} {
			item, _ := store.Get(BackendKeyPrefix + "i1")
			if backend, ok := ReadBackend(item); !ok || backend.Phase != PhaseLeft {
				t.Fatalf("%s has %s", store.LegacySource, item.Body)
			}
		}
		if count := len(publisher.Since(pulled, nil)); count != 0 {
			t.Fatalf("%d items would be sent again", count)
		}
	})
}
