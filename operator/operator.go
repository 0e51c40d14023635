// Package operator reads the operator's own file: an INI of settings beside what the platform hands an agent. What is
// unknown in it, or wrong, is an error with line and column, so that a slip of the pen never passes for a default.
package operator

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"gopkg.in/ini.v1"

	"sagelever/match"
	"sagelever/match/rules"
)

// MostBytes is how large the file may be: ten thousand rules of the ordinary kind take two megabytes.
const MostBytes = 4 << 20

// Plan is what the file says.
type Plan struct {
	Match struct {
		Budget time.Duration `ini:"budget" validate:"min=1us,max=10ms"` // the most time that judging one message may take
	}
	WebSocket WebSocket
	Rules     []rules.Rule // in the file's order
	Set       *rules.Set   // the rules compiled; nil if there is none
}

// WebSocket is the front for clients over WebSocket; it is off where Path is empty.
type WebSocket struct {
	Path       string        `ini:"path" validate:"omitempty,startswith=/"`       // where clients upgrade
	Appliances string        `ini:"appliances" validate:"omitempty,startswith=/"` // where appliances take the upgrade; Path if empty
	InFlight   int           `ini:"in_flight" validate:"min=1,max=4096"`          // transactions of one connection
	All        int           `ini:"all" validate:"min=1,max=1048576"`             // transactions of all
	Unsent     int           `ini:"unsent" validate:"min=8,max=65536"`            // messages that wait for one reader
	Heartbeat  time.Duration `ini:"heartbeat" validate:"min=1s,max=10m"`
	Links      int           `ini:"links" validate:"min=1,max=64"` // connections to one appliance
}

// Fault is one thing that is wrong, and where. Line and Column count from 1; Source is the line as it stands.
type Fault struct {
	File         string
	Line, Column int
	Text, Source string
}

func (f *Fault) Error() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text) }

// Caret is the line and, below it, a mark at the column.
func (f *Fault) Caret() string {
	if f.Source == "" {
		return ""
	}
	before := f.Source[:min(f.Column-1, len(f.Source))]
	pad := strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, before)
	return f.Source + "\n" + pad + "^"
}

// text is the file with the places of what stands in it.
type text struct {
	name  string
	lines []string
	where []section
}

func (t *text) fault(at spot, format string, args ...any) *Fault {
	f := &Fault{t.name, max(at.line, 1), max(at.column, 1), fmt.Sprintf(format, args...), ""}
	if f.Line <= len(t.lines) {
		f.Source = t.lines[f.Line-1]
	}
	return f
}

// Read reads a file and compiles its rules for a deployment. Its error, if any, is a *Fault, or several joined.
func Read(name string, data []byte, d match.Deployment) (*Plan, error) {
	t := &text{name: name, lines: strings.Split(string(data), "\n")}
	t.where = locate(t.lines)
	if len(data) > MostBytes {
		return nil, t.fault(spot{}, "the file has %d bytes, at most %d are taken", len(data), MostBytes)
	}
	// As written: expressions hold quotes, percent signs, semicolons and backslashes of their own.
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, PreserveSurroundedQuote: true,
		KeyValueDelimiters: "=", AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return nil, t.fault(t.broken(err), "%v", err)
	}
	p := &Plan{}
	p.Match.Budget = rules.DefaultBudget
	p.WebSocket = WebSocket{InFlight: 64, All: 4096, Unsent: 128, Heartbeat: 15 * time.Second, Links: 2}
	var wrong []error
	seen := map[string]bool{}
	number := 0 // of the section, among those that are written
	var at []section
	for _, s := range file.Sections() {
		where := section{name: s.Name()}
		if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
			where, number = t.section(s.Name(), number)
		}
		kind, title, _ := strings.Cut(s.Name(), " ")
		title = strings.TrimSpace(title)
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				wrong = append(wrong, t.fault(where.keys[k.Name()].at, "%s comes twice", k.Name()))
			}
		}
		switch {
		case s.Name() == ini.DefaultSection:
			for _, k := range s.Keys() {
				wrong = append(wrong, t.fault(where.keys[k.Name()].at, "%s stands in no section", k.Name()))
			}
		case kind == "rule" && title != "":
			if seen[title] {
				wrong = append(wrong, t.fault(where.at, "a rule of the name %q stands above", title))
			}
			seen[title] = true
			r := rules.Rule{Name: title}
			wrong = append(wrong, t.fill(s, where, &r)...)
			if r.When == "" {
				wrong = append(wrong, t.fault(where.at, "the rule has no when"))
			}
			p.Rules, at = append(p.Rules, r), append(at, where)
		case s.Name() == "match", s.Name() == "websocket":
			if seen["\x00"+s.Name()] {
				wrong = append(wrong, t.fault(where.at, "the section [%s] comes twice", s.Name()))
			}
			seen["\x00"+s.Name()] = true
			into := any(&p.Match)
			if s.Name() == "websocket" {
				into = &p.WebSocket
			}
			wrong = append(wrong, t.fill(s, where, into)...)
			wrong = append(wrong, t.check(where, into)...)
		default:
			wrong = append(wrong, t.fault(where.at, "no such section: [%s]", s.Name()))
		}
	}
	if len(wrong) > 0 {
		return nil, errors.Join(wrong...)
	}
	if len(p.Rules) == 0 {
		return p, nil
	}
	p.Set, err = rules.Compile(p.Rules, d, p.Match.Budget)
	var of *rules.RuleFault
	var dear *rules.TooDear
	switch {
	case errors.As(err, &of):
		return nil, t.fault(at[of.Rule].keys[of.Field].inside(of.Line, of.Column, at[of.Rule].at), "%s: %s", of.Field, of.Text)
	case errors.As(err, &dear):
		return nil, t.fault(at[0].at, "the rules together: %v", dear)
	case err != nil:
		return nil, t.fault(at[0].at, "%v", err)
	}
	return p, nil
}

// fill puts a section's keys into the fields of a struct: by their ini tag, or by their names in lower case.
func (t *text) fill(s *ini.Section, where section, into any) (wrong []error) {
	fields := map[string]reflect.Value{}
	v := reflect.ValueOf(into).Elem()
	for i := range v.NumField() {
		if name := keyOf(v.Type().Field(i)); name != "name" {
			fields[name] = v.Field(i)
		}
	}
	for _, k := range s.Keys() {
		field, known := fields[k.Name()]
		value := strings.TrimSpace(k.Value()) // Value, not String: that would put other keys in for %(name)s
		switch {
		case !known:
			wrong = append(wrong, t.fault(where.keys[k.Name()].at, "no such field: %s", k.Name()))
		case value == "":
			wrong = append(wrong, t.fault(where.keys[k.Name()].at, "%s is empty; leave the line out", k.Name()))
		case field.Type() == reflect.TypeFor[time.Duration]():
			d, err := time.ParseDuration(value)
			if err != nil {
				wrong = append(wrong, t.fault(where.keys[k.Name()].value, "%s is no time: %v", k.Name(), err))
			}
			field.SetInt(int64(d))
		case field.Kind() == reflect.Int:
			n, err := strconv.Atoi(value)
			if err != nil {
				wrong = append(wrong, t.fault(where.keys[k.Name()].value, "%s is no whole number", k.Name()))
			}
			field.SetInt(int64(n))
		default:
			field.SetString(value)
		}
	}
	return wrong
}

func keyOf(f reflect.StructField) string {
	if name := f.Tag.Get("ini"); name != "" {
		return name
	}
	return strings.ToLower(f.Name)
}

// check holds a filled struct against its validate tags.
func (t *text) check(where section, of any) (wrong []error) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyOf)
	var list validator.ValidationErrors
	if errors.As(v.Struct(of), &list) {
		for _, e := range list {
			wrong = append(wrong, t.fault(where.keys[e.Field()].value, "%s is %v, %s %s is wanted", e.Field(), e.Value(),
				map[string]string{"min": "at least", "max": "at most", "startswith": "a beginning of"}[e.Tag()], e.Param()))
		}
	}
	return wrong
}
