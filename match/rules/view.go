package rules

import (
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"

	"sagelever/match"
)

// Maximum sizes of the attributes that rules can read. The cost bounds are computed from them, and a message is
// rejected if a rule reads a larger attribute. An ordinary message has a third of each.
const (
	MaxTextLength = 512 // bytes of a path, and of any other value
	MaxNameLength = 64  // bytes of the name of a header, query parameter or cookie
	MaxNames      = 32  // names in a table
	MaxValues     = 8   // values of one name
	MaxSegments   = 16  // segments of a path
	MaxKeyLength  = 256 // bytes of a key that a rule computes
)

// tables lists the variables of each part of a message that consists of named values: single maps the names with
// exactly one value, multi maps all names to lists of values.
var tables = [...]struct{ single, multi string }{{"header", "headers"}, {"query", "queries"}, {"cookie", "cookies"}}

// activationView provides expressions with the variables of a subject. It reads the segments and tables of the subject
// on first use, at most once. An attribute that exceeds the maximum sizes reads as empty, and the message is rejected
// after the rules have been evaluated.
type activationView struct {
	subject  match.Subject
	tooLarge string // reason to reject the message, or "" if no attribute is too large

	segmentsLoaded bool
	tablesLoaded   [len(tables)]bool

	segmentValues []string
	segmentList   ref.Val // segmentValues as a CEL list, created on first use

	tableValues [len(tables)]match.Table
	single      [len(tables)]ref.Val // tableValues as CEL maps, created on first use
	multi       [len(tables)]ref.Val // likewise, with all values of each name
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

// table returns a table by its index in tables.
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

// tableSizeError returns the reason why a table is too large, or "" if it is not.
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

// Parent implements cel.Activation. A view has no parent.
func (v *activationView) Parent() cel.Activation { return nil }

// ResolveName implements cel.Activation. It returns the value of a variable.
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

// emptySubject is an empty match.Subject, for the evaluation of expressions without variables.
type emptySubject struct{}

func (emptySubject) Text(string) string       { return "" }
func (emptySubject) Segments() []string       { return nil }
func (emptySubject) Table(string) match.Table { return match.Table{} }
func (emptySubject) Size() int64              { return 0 }
func (emptySubject) Hint() time.Duration      { return 0 }
func (emptySubject) Sent() match.Repeatable   { return match.Effectful }
