package config

import (
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

const tenantKey = KeyPrefix + KindTenants + "/t"

// tenantChange is a change of one item.
func tenantChange(version uint64, body string) registerValues {
	return registerValues{tenantKey: {Version: version, Body: body}}
}

// commitTenant commits a change of one item to the registers.
func commitTenant(registers registerValues, version uint64, body string) error {
	changes := tenantChange(version, body)
	for key, value := range Commit(changes)(registers) {
		registers[key] = value
	}
	return Outcome(registers, changes)
}

func isIndeterminate(err error) bool {
	_, ok := errors.Into[*IndeterminateError](err)
	return ok
}

// The history of a register holds the last maxConfirmedVersions versions before the current one. A change with an older
// version has an indeterminate outcome.
func TestCommitAfterHistoryIsTruncated(t *testing.T) {
	registers := registerValues{}
	const last = maxConfirmedVersions + 2
	for i := range uint64(last) {
		if err := commitTenant(registers, 2*i+2, `{}`); err != nil {
			t.Fatal(err)
		}
	}
	before := registers[tenantKey]
	const oldestKnown = uint64(2*last - 2*maxConfirmedVersions)
	for version := uint64(1); version <= 2*last; version++ {
		err := commitTenant(registers, version, `{}`)
		indeterminate := isIndeterminate(err)
		if indeterminate != (version < oldestKnown) || err != nil && !indeterminate {
			t.Errorf("version %d: %v", version, err)
		}
		registers[tenantKey] = before
	}
	err := commitTenant(registers, 2*last-2, `{"homeRegions":["a"]}`)
	if _, conflict := errors.Into[*ConflictError](err); !conflict {
		t.Error("a different content of a version in the history is not a conflict")
	}
}

// An item that was written by a build without histories has an unknown status for every version below the current one.
func TestCommitWithoutHistory(t *testing.T) {
	registers := registerValues{tenantKey: quorum.Value{Version: 7, Body: `{ "homeRegions": [] }`}}
	if err := commitTenant(registers, 7, `{"homeRegions":[]}`); err != nil {
		t.Errorf("the same content apart from white space: %v", err)
	}
	if !isIndeterminate(commitTenant(registers, 6, `{}`)) {
		t.Error("a missing history is treated as a complete one")
	}
	if err := commitTenant(registers, 9, `{}`); err != nil {
		t.Error(err)
	}
	if err := commitTenant(registers, 8, `{}`); err != nil {
		t.Errorf("between the version in the history and the current one: %v", err)
	}
	if !isIndeterminate(commitTenant(registers, 6, `{}`)) {
		t.Error("a version before the first one in the history is not indeterminate")
	}
}
