package rules

import (
	"reflect"

	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/common/types/traits"

	"sagelever/match"
)

// singleValueMap presents a table to CEL as a map of the names with exactly one value. It omits names with several
// values, because a backend might read a different one. Look-ups do not copy the table; iteration does.
type singleValueMap struct {
	table  match.Table
	copied traits.Mapper // created on first use
}

// lookup returns the value of a name, and false unless the name has exactly one value.
func (m *singleValueMap) lookup(name string) (string, bool) {
	if values := m.table.Values(name); len(values) == 1 {
		return values[0], true
	}
	return "", false
}

// materialize returns a copy of the table as a CEL map.
func (m *singleValueMap) materialize() traits.Mapper {
	if m.copied == nil {
		all := m.table.All()
		single := make(map[string]string, len(all))
		for name, values := range all {
			if len(values) == 1 {
				single[name] = values[0]
			}
		}
		m.copied = types.NewStringStringMap(types.DefaultTypeAdapter, single)
	}
	return m.copied
}

// Find implements traits.Mapper.
func (m *singleValueMap) Find(key ref.Val) (ref.Val, bool) {
	name, ok := key.(types.String)
	if !ok {
		return types.MaybeNoSuchOverloadErr(key), false
	}
	value, ok := m.lookup(string(name))
	if !ok {
		return nil, false
	}
	return types.String(value), true
}

// Get implements traits.Indexer.
func (m *singleValueMap) Get(key ref.Val) ref.Val {
	if value, ok := m.Find(key); ok || value != nil {
		return value
	}
	return types.NewErr("no such key: %v", key.Value())
}

// Contains implements traits.Container.
func (m *singleValueMap) Contains(key ref.Val) ref.Val {
	_, ok := m.Find(key)
	return types.Bool(ok)
}

// ConvertToNative implements ref.Val.
func (m *singleValueMap) ConvertToNative(t reflect.Type) (any, error) {
	return m.materialize().ConvertToNative(t)
}

// ConvertToType implements ref.Val.
func (m *singleValueMap) ConvertToType(t ref.Type) ref.Val { return m.materialize().ConvertToType(t) }

// Equal implements ref.Val.
func (m *singleValueMap) Equal(other ref.Val) ref.Val { return m.materialize().Equal(other) }

// Type implements ref.Val.
func (m *singleValueMap) Type() ref.Type { return types.MapType }

// Value implements ref.Val.
func (m *singleValueMap) Value() any { return m.materialize().Value() }

// Iterator implements traits.Iterable.
func (m *singleValueMap) Iterator() traits.Iterator { return m.materialize().Iterator() }

// Size implements traits.Sizer.
func (m *singleValueMap) Size() ref.Val { return m.materialize().Size() }
