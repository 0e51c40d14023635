package rules

import (
	"reflect"

	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/common/types/traits"

	"sagelever/match"
)

// singleValueMap is a table as a CEL map of the names that come exactly once. A name that comes twice has no one value:
// a backend might read the other one. A look-up does not copy the table; only a walk over it makes a map.
type singleValueMap struct {
	table  match.Table
	copied traits.Mapper // nil until it is needed
}

// lookup returns the value of a name that comes exactly once.
func (m *singleValueMap) lookup(name string) (string, bool) {
	if values := m.table.Values(name); len(values) == 1 {
		return values[0], true
	}
	return "", false
}

// materialize returns the table as a map of CEL's.
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
