package config

import (
	"testing"

	"sagelever/internal/control/quorum"
)

// Of an item's versions so many are remembered; of those before nothing is known, and orders that bring one have no clear
// answer; nor have those on an item that a program without histories wrote.
func TestCommitAfterHistoryIsTruncated(t *testing.T) {
	key := Key(KindTenants, "t")
	held := map[string]quorum.Value{}
	call := func(version uint64, body string) map[string]quorum.Value {
		return map[string]quorum.Value{key: {Version: version, Body: body}}
	}
	order := func(version uint64, body string) error {
		sent := call(version, body)
		for k, v := range Commit(sent)(held) {
			held[k] = v
		}
		return Outcome(held, sent)
	}
	const last = maxConfirmedVersions + 2
	for i := range uint64(last) {
		if err := order(2*i+2, `{}`); err != nil {
			t.Fatal(err)
		}
	}
	before := held[key]
	for version := uint64(1); version <= 2*last; version++ {
		err := order(version, `{}`)
		_, unclear := err.(*IndeterminateError)
		oldest := uint64(2*last - 2*maxConfirmedVersions)
		if unclear != (version < oldest) || err != nil && !unclear {
			t.Errorf("version %d: %v", version, err)
		}
		held[key] = before
	}
	if _, conflict := order(2*last-2, `{"homeRegions":["a"]}`).(*ConflictError); !conflict {
		t.Error("another content of a version that is remembered is no conflict")
	}
	held = call(7, `{ "homeRegions": [] }`)
	if err := order(7, `{"homeRegions":[]}`); err != nil {
		t.Errorf("the same but for white space: %v", err)
	}
	if _, unclear := order(6, `{}`).(*IndeterminateError); !unclear {
		t.Error("an item without a history is known to have had none")
	}
	if err := order(9, `{}`); err != nil {
		t.Error(err)
	}
	if err := order(8, `{}`); err != nil {
		t.Errorf("between what was remembered and what stands: %v", err)
	}
	if _, unclear := order(6, `{}`).(*IndeterminateError); !unclear {
		t.Error("what came before the first history is known")
	}
}
