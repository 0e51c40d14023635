package rules

import (
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"

	"sagelever/match"
)

// Sizes of what rules see. The bounds on cost are computed with them, and a message whose larger part a rule asks for
// is refused. An ordinary message has a third of each.
const (
	MaxTextLength = 512 // bytes of a path, and of any value
	MaxNameLength = 64  // bytes of the name of a header, parameter or cookie
	MaxNames      = 32  // in a table
	MaxValues     = 8   // of one name
	MaxSegments   = 16  // of a path
	MaxKeyLength  = 256 // bytes of a key that a rule computes
)

// tables are the variables for the parts of a message with names: those with the names that come once, and with all.
var tables = [...]struct{ single, multi string }{{"header", "headers"}, {"query", "queries"}, {"cookie", "cookies"}}

// activationView is a subject as expressions see it. Each part is asked for at most once, and only if a rule asks. A
// part that is larger than the bounds on cost were computed with is seen as empty, and the message is refused in the
// end.
type activationView struct {
	subject  match.Subject
	tooLarge string // which part is too large, "" if none was

	segmentsLoaded bool
	tablesLoaded   [len(tables)]bool

	segmentValues []string
	segmentList   ref.Val // as CEL has them, nil until it asks

	tableValues [len(tables)]match.Table
	single      [len(tables)]ref.Val // as CEL has them, nil until it asks
	multi       [len(tables)]ref.Val
}

// text returns the method, the path or the peer.
func (v *activationView) text(name string) string {
	text := v.subject.Text(name)
	if len(text) > MaxTextLength {
		v.tooLarge = name + " is too long"
		return ""
	}
	return text
}

// segments returns the segments of the path.
func (v *activationView) segments() []string {
	if v.segmentsLoaded {
		return v.segmentValues
	}
	v.segmentsLoaded = true
	v.segmentValues = v.subject.Segments()
	if len(v.segmentValues) > MaxSegments {
		v.tooLarge, v.segmentValues = "path has too many segments", nil
	}
	for _, segment := range v.segmentValues {
		if len(segment) > MaxTextLength {
			v.tooLarge, v.segmentValues = "path has too long a segment", nil
		}
	}
	return v.segmentValues
}

// table returns a table by its number.
func (v *activationView) table(i int) match.Table {
	if !v.tablesLoaded[i] {
		v.tablesLoaded[i] = true
		v.tableValues[i] = v.subject.Table(tables[i].single)
		if reason := tableSizeError(v.tableValues[i].Of); reason != "" {
			v.tooLarge, v.tableValues[i] = tables[i].single+reason, match.Table{}
		}
	}
	return v.tableValues[i]
}

// tableSizeError says in which way a table is too large, "" if it is not.
func tableSizeError(table map[string][]string) string {
	if len(table) > MaxNames {
		return " has too many names"
	}
	for name, values := range table {
		if len(name) > MaxNameLength || len(values) > MaxValues {
			return " has too long a name, or too many values of one"
		}
		for _, value := range values {
			if len(value) > MaxTextLength {
				return " has too long a value"
			}
		}
	}
	return ""
}

// Parent is nil: a view is a whole activation.
func (v *activationView) Parent() cel.Activation { return nil }

// ResolveName returns the value of a variable.
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

// emptySubject is a subject without any content, for expressions without variables.
type emptySubject struct{}

func (emptySubject) Text(string) string       { return "" }
func (emptySubject) Segments() []string       { return nil }
func (emptySubject) Table(string) match.Table { return match.Table{} }
func (emptySubject) Size() int64              { return 0 }
func (emptySubject) Hint() time.Duration      { return 0 }
func (emptySubject) Sent() match.Repeatable   { return match.Effectful }
