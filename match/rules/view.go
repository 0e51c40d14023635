package rules

import (
	"reflect"

	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/common/types/traits"

	"sagelever/match"
)

// What is longer or more than this no rule sees: the bounds on cost are computed with these sizes, and a message whose
// larger part a rule asks for is refused. An ordinary head has a third of each.
const (
	MostText     = 512 // bytes of a path, and of any value
	MostName     = 64  // bytes of a header's, parameter's or cookie's name
	MostNames    = 32  // in a table
	MostValues   = 8   // of one name
	MostSegments = 16  // of a path
	MostKey      = 256 // bytes of a key or customer that a rule computes
)

// activationView is a subject as expressions see it. Each part is asked for at most once, and only if a rule asks. A part that is
// larger than the bounds on cost were computed with is seen as empty, and the message is refused in the end (over).
type activationView struct {
	subject       match.Subject
	tooLarge      string
	segmentValues []string
	tableValues   [len(tables)]match.Table
	loaded        [1 + len(tables)]bool
	segmentList   ref.Val
	single, multi [len(tables)]ref.Val
}

// text gives the method, the path or the peer.
func (v *activationView) text(name string) string {
	t := v.subject.Text(name)
	if len(t) > MostText {
		v.tooLarge = name + " is too long"
		return ""
	}
	return t
}

func (v *activationView) segments() []string {
	if !v.loaded[len(tables)] {
		v.loaded[len(tables)] = true
		if v.segmentValues = v.subject.Segments(); len(v.segmentValues) > MostSegments {
			v.tooLarge, v.segmentValues = "path has too many segments", nil
		}
		for _, s := range v.segmentValues {
			if len(s) > MostText {
				v.tooLarge, v.segmentValues = "path has too long a segment", nil
			}
		}
	}
	return v.segmentValues
}

// table gives a table that keeps the sizes, empty if it does not.
func (v *activationView) table(i int) match.Table {
	if !v.loaded[i] {
		v.loaded[i] = true
		v.tableValues[i] = v.subject.Table(tables[i].single)
		if what := tableSizeError(v.tableValues[i].Of); what != "" {
			v.tooLarge, v.tableValues[i] = tables[i].single+what, match.Table{}
		}
	}
	return v.tableValues[i]
}

func tableSizeError(t map[string][]string) string {
	if len(t) > MostNames {
		return " has too many names"
	}
	for k, values := range t {
		if len(k) > MostName || len(values) > MostValues {
			return " has too long a name, or too many values of one"
		}
		for _, v := range values {
			if len(v) > MostText {
				return " has too long a value"
			}
		}
	}
	return ""
}

// tables are the variables for what has names: those that come once, and all.
var tables = [...]struct{ single, whole string }{{"header", "headers"}, {"query", "queries"}, {"cookie", "cookies"}}

// Parent makes a view an activation of its own.
func (v *activationView) Parent() activation { return nil }

// ResolveName gives the value of a variable.
func (v *activationView) ResolveName(name string) (any, bool) {
	switch name {
	case "method", "path", "peer":
		return types.String(v.text(name)), true
	case "size":
		return types.Int(v.subject.Size()), true
	case "hint":
		return types.Duration{Duration: v.subject.Hint()}, true
	case "segments":
		if v.segmentList == nil {
			v.segmentList = types.NewStringList(types.DefaultTypeAdapter, v.segments())
		}
		return v.segmentList, true
	}
	i := tableIndex(name, name)
	switch {
	case i < 0:
		return nil, false
	case name == tables[i].single:
		if v.single[i] == nil {
			v.single[i] = &singleValueMap{table: v.table(i)}
		}
		return v.single[i], true
	}
	if v.multi[i] == nil {
		v.multi[i] = types.DefaultTypeAdapter.NativeToValue(v.table(i).All())
	}
	return v.multi[i], true
}

// singleValueMap is a table as a map of what comes exactly once: a name that comes twice has no one value, and somebody behind
// might read the other one. It is looked up without being copied; only a walk over it makes the map.
type singleValueMap struct {
	table  match.Table
	copied traits.Mapper
}

func (o *singleValueMap) lookup(name string) (string, bool) {
	if v := o.table.Values(name); len(v) == 1 {
		return v[0], true
	}
	return "", false
}

func (o *singleValueMap) materialize() traits.Mapper {
	if o.copied == nil {
		all := o.table.All()
		single := make(map[string]string, len(all))
		for k, v := range all {
			if len(v) == 1 {
				single[k] = v[0]
			}
		}
		o.copied = types.NewStringStringMap(types.DefaultTypeAdapter, single)
	}
	return o.copied
}

func (o *singleValueMap) Find(key ref.Val) (ref.Val, bool) {
	name, ok := key.(types.String)
	if !ok {
		return types.MaybeNoSuchOverloadErr(key), false
	}
	v, ok := o.lookup(string(name))
	if !ok {
		return nil, false
	}
	return types.String(v), true
}

func (o *singleValueMap) Get(key ref.Val) ref.Val {
	if v, ok := o.Find(key); ok || v != nil {
		return v
	}
	return types.NewErr("no such key: %v", key.Value())
}

func (o *singleValueMap) Contains(key ref.Val) ref.Val {
	_, ok := o.Find(key)
	return types.Bool(ok)
}

func (o *singleValueMap) ConvertToNative(t reflect.Type) (any, error) {
	return o.materialize().ConvertToNative(t)
}
func (o *singleValueMap) ConvertToType(t ref.Type) ref.Val { return o.materialize().ConvertToType(t) }
func (o *singleValueMap) Equal(other ref.Val) ref.Val      { return o.materialize().Equal(other) }
func (o *singleValueMap) Type() ref.Type                   { return types.MapType }
func (o *singleValueMap) Value() any                       { return o.materialize().Value() }
func (o *singleValueMap) Iterator() traits.Iterator        { return o.materialize().Iterator() }
func (o *singleValueMap) Size() ref.Val                    { return o.materialize().Size() }
