package match

import (
	"reflect"
	"strings"
	"time"

	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/common/types/traits"
)

// Repeatable tells how harmless it is to run again what a client has sent.
type Repeatable int

const (
	Effectful Repeatable = iota // must never run twice
	Receipted                   // carries a mark by which a repeat is known
	Pure                        // may run again
)

// RepeatableBy reads a workload's effect as the terms name it; what they do not name is effectful.
func RepeatableBy(effect string) Repeatable {
	return map[string]Repeatable{"pure": Pure, "receipted": Receipted}[effect]
}

func (r Repeatable) String() string { return [...]string{"effectful", "receipted", "pure"}[r] }

// Subject is what rules may ask of one message, whatever brought it: an HTTP request, a WebSocket message, a row. It
// does not change while it is judged. Names in Table are in lower case where the protocol does not tell cases apart.
type Subject interface {
	Text(name string) string               // method, path or peer
	Segments() []string                    // of the path, as written
	Table(name string) map[string][]string // header, query or cookie
	Size() int64                           // bytes of the body
	Hint() time.Duration                   // the client's own estimate of the work, 0 if it gave none
	Sent() Repeatable                      // by the protocol's own words
}

// What is longer or more than this is refused before any rule sees it (Within): the bounds on cost are computed with
// these sizes. An ordinary head has a third of each.
const (
	MostText     = 512 // bytes of a path, and of any value
	MostName     = 64  // bytes of a header's, parameter's or cookie's name
	MostNames    = 32  // in a table
	MostValues   = 8   // of one name
	MostSegments = 16  // of a path
	MostKey      = 256 // bytes of a key or customer that a rule computes
)

// Within tells whether a subject keeps the sizes that the bounds on cost were computed with, and else what does not.
func Within(s Subject) (what string, ok bool) {
	for _, name := range []string{"method", "path", "peer"} {
		if len(s.Text(name)) > MostText {
			return name + " is too long", false
		}
	}
	if len(s.Segments()) > MostSegments {
		return "path has too many segments", false
	}
	for _, name := range []string{"header", "query", "cookie"} {
		t := s.Table(name)
		if len(t) > MostNames {
			return name + " has too many names", false
		}
		for k, values := range t {
			if len(k) > MostName || len(values) > MostValues {
				return name + " has too long a name, or too many values of one", false
			}
			for _, v := range values {
				if len(v) > MostText {
					return name + " has too long a value", false
				}
			}
		}
	}
	return "", true
}

// view is a subject as expressions see it. Each variable is made at most once, when it is first asked for.
type view struct {
	Subject
	segments      ref.Val
	single, whole [len(tables)]ref.Val
}

// tables are the variables for what has names: those that come once, and all.
var tables = [...]struct{ single, whole string }{{"header", "headers"}, {"query", "queries"}, {"cookie", "cookies"}}

// Parent makes a view an activation of its own.
func (v *view) Parent() activation { return nil }

// ResolveName gives the value of a variable.
func (v *view) ResolveName(name string) (any, bool) {
	switch name {
	case "method", "path", "peer":
		return types.String(v.Text(name)), true
	case "size":
		return types.Int(v.Size()), true
	case "hint":
		return types.Duration{Duration: v.Hint()}, true
	case "segments":
		if v.segments == nil {
			v.segments = types.NewStringList(types.DefaultTypeAdapter, v.Segments())
		}
		return v.segments, true
	}
	for i, t := range tables {
		switch name {
		case t.single:
			if v.single[i] == nil {
				v.single[i] = &once{of: v.Table(t.single)}
			}
			return v.single[i], true
		case t.whole:
			if v.whole[i] == nil {
				v.whole[i] = types.DefaultTypeAdapter.NativeToValue(v.Table(t.single))
			}
			return v.whole[i], true
		}
	}
	return nil, false
}

// once is a table as a map of what comes exactly once: a name that comes twice has no one value, and somebody behind
// might read the other one. It is looked up without being copied; only a walk over it makes the map.
type once struct {
	of  map[string][]string
	all traits.Mapper
}

func (o *once) text(name string) (string, bool) {
	if v := o.of[name]; len(v) == 1 {
		return v[0], true
	}
	return "", false
}

func (o *once) walk() traits.Mapper {
	if o.all == nil {
		single := make(map[string]string, len(o.of))
		for k, v := range o.of {
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

// Lower gives a table with its names in lower case, as headers are asked for. Values of names that differ in case
// alone are put together: they are one header.
func Lower(table map[string][]string) map[string][]string {
	low := make(map[string][]string, len(table))
	for k, v := range table {
		k = strings.ToLower(k)
		low[k] = append(low[k], v...)
	}
	return low
}
