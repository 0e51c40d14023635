package rules

import (
	"fmt"
	"slices"

	celast "cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"
)

// attribute identifies a text of a subject, which may be missing.
type attribute struct {
	source   string // method, path, peer, segments, or the name of a table
	name     string // in a table
	segment  int    // index of a segment
	optional bool   // a missing attribute has the value fallback; otherwise reading it is an error
	fallback string
}

// value returns the attribute's value for a subject, and false if it is missing and has no fallback.
func (a attribute) value(v *activationView) (text string, ok bool) {
	switch a.source {
	case "method", "path", "peer":
		return v.text(a.source), true
	case "segments":
		if segments := v.segments(); a.segment < len(segments) {
			return segments[a.segment], true
		}
	default:
		if values := v.table(tableIndex(a.source, "")).Values(a.name); len(values) == 1 {
			return values[0], true
		}
	}
	return a.fallback, a.optional
}

// alwaysPresent reports whether the attribute has a value for every subject.
func (a attribute) alwaysPresent() bool {
	return a.optional || a.source == "method" || a.source == "path" || a.source == "peer"
}

// String returns the attribute as an expression names it.
func (a attribute) String() string {
	switch a.source {
	case "method", "path", "peer":
		return a.source
	case "segments":
		return fmt.Sprintf("segments[%d]", a.segment)
	}
	return fmt.Sprintf("%s[%q]", a.source, a.name)
}

// indexTest is a test that passes if the attribute equals one of the texts in equals or starts with one of prefixes.
type indexTest struct {
	attribute attribute
	equals    []string
	prefixes  []string
}

// indexTests returns the tests that must all pass for an expression to be true or an error.
func indexTests(e celast.Expr) []indexTest {
	if e.Kind() != celast.CallKind {
		return nil
	}
	call := e.AsCall()
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		var all []indexTest
		for _, arg := range args {
			all = append(all, indexTests(arg)...)
		}
		return all
	case operators.LogicalOr:
		either := indexTests(args[0])
		for _, arg := range args[1:] {
			either = unionTests(either, indexTests(arg))
		}
		return either
	case operators.Equals:
		return equalsTest(args[0], args[1])
	case operators.In:
		return inTest(args[0], args[1])
	case "startsWith":
		return prefixTest(call.Target(), args[0])
	}
	return nil
}

// equalsTest returns the test of a comparison between an attribute and a literal, in either order.
func equalsTest(left, right celast.Expr) []indexTest {
	for _, sides := range [][2]celast.Expr{{left, right}, {right, left}} {
		attribute, ok := attributeOf(sides[0])
		if !ok {
			continue
		}
		if text, ok := stringLiteral(sides[1]); ok {
			return []indexTest{{attribute: attribute, equals: []string{text}}}
		}
	}
	return nil
}

// inTest returns the test of an attribute's membership in a list of literals.
func inTest(element, list celast.Expr) []indexTest {
	attribute, ok := attributeOf(element)
	if !ok || list.Kind() != celast.ListKind {
		return nil
	}
	var texts []string
	for _, item := range list.AsList().Elements() {
		text, ok := stringLiteral(item)
		if !ok {
			return nil
		}
		texts = append(texts, text)
	}
	return []indexTest{{attribute: attribute, equals: texts}}
}

// prefixTest returns the test of an attribute that starts with a literal.
func prefixTest(target, prefix celast.Expr) []indexTest {
	attribute, ok := attributeOf(target)
	if !ok {
		return nil
	}
	text, ok := stringLiteral(prefix)
	if !ok {
		return nil
	}
	return []indexTest{{attribute: attribute, prefixes: []string{text}}}
}

// unionTests returns the tests that must pass for either of two expressions to be true or an error: the unions of the
// tests that both expressions make of the same attribute.
func unionTests(a, b []indexTest) (union []indexTest) {
	for _, x := range a {
		for _, y := range b {
			if x.attribute == y.attribute {
				union = append(union, indexTest{x.attribute, slices.Concat(x.equals, y.equals), slices.Concat(x.prefixes,
					y.prefixes)})
				break
			}
		}
	}
	return union
}

// attributeOf returns the attribute that an expression reads, and false if the expression does anything else.
func attributeOf(e celast.Expr) (a attribute, ok bool) {
	switch e.Kind() {
	case celast.IdentKind:
		a.source = e.AsIdent()
		return a, a.source == "method" || a.source == "path" || a.source == "peer"
	case celast.SelectKind: // header.accept
		s := e.AsSelect()
		return attribute{source: s.Operand().AsIdent(), name: s.FieldName()}, !s.IsTestOnly() && isTable(s.Operand())
	case celast.CallKind:
		call := e.AsCall()
		switch call.FunctionName() {
		case operators.Index, operators.OptIndex:
			a, ok = indexedAttribute(call.Args()[0], call.Args()[1])
			return a, ok && call.FunctionName() == operators.Index
		case "orValue":
			inner := call.Target()
			if inner.Kind() != celast.CallKind || inner.AsCall().FunctionName() != operators.OptIndex {
				return a, false
			}
			a, ok = indexedAttribute(inner.AsCall().Args()[0], inner.AsCall().Args()[1])
			text, isLiteral := stringLiteral(call.Args()[0])
			a.optional, a.fallback = true, text
			return a, ok && isLiteral
		}
	}
	return a, false
}

// isTable reports whether an expression is the single-value variable of a table.
func isTable(e celast.Expr) bool {
	return e.Kind() == celast.IdentKind && isSingleTable(e.AsIdent())
}

// indexedAttribute returns the attribute that a literal key selects from a variable.
func indexedAttribute(container, key celast.Expr) (attribute, bool) {
	if container.Kind() != celast.IdentKind || key.Kind() != celast.LiteralKind {
		return attribute{}, false
	}
	switch value := key.AsLiteral().(type) {
	case types.String:
		return attribute{source: container.AsIdent(), name: string(value)}, isTable(container)
	case types.Int:
		return attribute{source: "segments", segment: int(value)},
			container.AsIdent() == "segments" && value >= 0 && value < MaxSegments
	}
	return attribute{}, false
}
