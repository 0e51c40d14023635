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

// view is a subject as expressions see it. Each part is asked for at most once, and only if a rule asks. A part that is
// larger than the bounds on cost were computed with is seen as empty, and the message is refused in the end (over).
type view struct {
	of            match.Subject
	over          string
	segs          []string
	table         [len(tables)]match.Table
	had           [1 + len(tables)]bool
	list          ref.Val
	single, whole [len(tables)]ref.Val
}

// text gives the method, the path or the peer.
func (v *view) text(name string) string {
	t := v.of.Text(name)
	if len(t) > MostText {
		v.over = name + " is too long"
		return ""
	}
	return t
}

func (v *view) segments() []string {
	if !v.had[len(tables)] {
		v.had[len(tables)] = true
		if v.segs = v.of.Segments(); len(v.segs) > MostSegments {
			v.over, v.segs = "path has too many segments", nil
		}
		for _, s := range v.segs {
			if len(s) > MostText {
				v.over, v.segs = "path has too long a segment", nil
			}
		}
	}
	return v.segs
}

// tableNo gives a table that keeps the sizes, empty if it does not.
func (v *view) tableNo(i int) match.Table {
	if !v.had[i] {
		v.had[i] = true
		v.table[i] = v.of.Table(tables[i].single)
		if what := tooLarge(v.table[i].Of); what != "" {
			v.over, v.table[i] = tables[i].single+what, match.Table{}
		}
	}
	return v.table[i]
}

func tooLarge(t map[string][]string) string {
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
func (v *view) Parent() activation { return nil }

// ResolveName gives the value of a variable.
func (v *view) ResolveName(name string) (any, bool) {
	switch name {
	case "method", "path", "peer":
		return types.String(v.text(name)), true
	case "size":
		return types.Int(v.of.Size()), true
	case "hint":
		return types.Duration{Duration: v.of.Hint()}, true
	case "segments":
		if v.list == nil {
			v.list = types.NewStringList(types.DefaultTypeAdapter, v.segments())
		}
		return v.list, true
	}
	i := tableOf(name, name)
	switch {
	case i < 0:
		return nil, false
	case name == tables[i].single:
		if v.single[i] == nil {
			v.single[i] = &once{of: v.tableNo(i)}
		}
		return v.single[i], true
	}
	if v.whole[i] == nil {
		v.whole[i] = types.DefaultTypeAdapter.NativeToValue(v.tableNo(i).All())
	}
	return v.whole[i], true
}

// once is a table as a map of what comes exactly once: a name that comes twice has no one value, and somebody behind
// might read the other one. It is looked up without being copied; only a walk over it makes the map.
type once struct {
	of  match.Table
	all traits.Mapper
}

func (o *once) text(name string) (string, bool) {
	if v := o.of.Values(name); len(v) == 1 {
		return v[0], true
	}
	return "", false
}

func (o *once) walk() traits.Mapper {
	if o.all == nil {
		all := o.of.All()
		single := make(map[string]string, len(all))
		for k, v := range all {
			if len(v) == 1 {
				single[k] = v[0]
			}
		}
		o.all = types.NewStringStringMap(types.DefaultTypeAdapter, single)
	}
	return o.all
}

func (o *once) Find(key ref.Val) (ref.Val, bool) {
	name, ok := key.(types.String)
	if !ok {
		return types.MaybeNoSuchOverloadErr(key), false
	}
	v, ok := o.text(string(name))
	if !ok {
		return nil, false
	}
	return types.String(v), true
}

func (o *once) Get(key ref.Val) ref.Val {
	if v, ok := o.Find(key); ok || v != nil {
		return v
	}
	return types.NewErr("no such key: %v", key.Value())
}

func (o *once) Contains(key ref.Val) ref.Val {
	_, ok := o.Find(key)
	return types.Bool(ok)
}

func (o *once) ConvertToNative(t reflect.Type) (any, error) { return o.walk().ConvertToNative(t) }
func (o *once) ConvertToType(t ref.Type) ref.Val            { return o.walk().ConvertToType(t) }
func (o *once) Equal(other ref.Val) ref.Val                 { return o.walk().Equal(other) }
func (o *once) Type() ref.Type                              { return types.MapType }
func (o *once) Value() any                                  { return o.walk().Value() }
func (o *once) Iterator() traits.Iterator                   { return o.walk().Iterator() }
func (o *once) Size() ref.Val                               { return o.walk().Size() }
