// Package operator reads the operator's own file: an INI of settings beside what the platform hands an agent. What is
// unknown in it, or wrong, is an error with line and column, so that a slip of the pen never passes for a default.
package operatorfile

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

// MaxBytes is how large the file may be: ten thousand rules of the ordinary kind take two megabytes.
const MaxBytes = 4 << 20

// Config is what the file says.
type Config struct {
	Match struct {
		Budget time.Duration `ini:"budget" validate:"min=1us,max=10ms"` // the most time that judging one message may take
	}
	WebSocket WebSocket
	Rules     []rules.Rule // in the file's order
	RuleSet   *rules.Set   // the rules compiled; nil if there is none
}

// WebSocket is the front for clients over WebSocket; it is off where Path is empty.
type WebSocket struct {
	Path                     string        `ini:"path" validate:"omitempty,startswith=/"`       // where clients upgrade
	BackendPath              string        `ini:"appliances" validate:"omitempty,startswith=/"` // where appliances take the upgrade; Path if empty
	MaxInFlightPerConnection int           `ini:"in_flight" validate:"min=1,max=4096"`          // transactions of one connection
	MaxInFlight              int           `ini:"all" validate:"min=1,max=1048576"`             // transactions of all
	MaxUnsent                int           `ini:"unsent" validate:"min=8,max=65536"`            // messages that wait for one reader
	Heartbeat                time.Duration `ini:"heartbeat" validate:"min=1s,max=10m"`
	ConnectionsPerBackend    int           `ini:"links" validate:"min=1,max=64"` // connections to one appliance
}

// ParseError is one thing that is wrong, and where. Line and Column count from 1; Source is the line as it stands.
type ParseError struct {
	File            string
	Line, Column    int
	Message, Source string
}

func (e *ParseError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Caret is the line and, below it, a mark at the column.
func (e *ParseError) Caret() string {
	if e.Source == "" {
		return ""
	}
	before := e.Source[:min(e.Column-1, len(e.Source))]
	padding := strings.Map(func(r rune) rune {
		if r == '\t' {
			return r
		}
		return ' '
	}, before)
	return e.Source + "\n" + padding + "^"
}

// document is the file with the places of what stands in it.
type document struct {
	fileName string
	lines    []string
	sections []section
}

func (d *document) errorAt(pos position, format string, args ...any) *ParseError {
	parseError := &ParseError{d.fileName, max(pos.line, 1), max(pos.column, 1), fmt.Sprintf(format, args...), ""}
	if parseError.Line <= len(d.lines) {
		parseError.Source = d.lines[parseError.Line-1]
	}
	return parseError
}

// Read reads a file and compiles its rules for a deployment. Its error, if any, is a *Fault, or several joined.
func Read(name string, data []byte, deployment match.Deployment) (*Config, error) {
	doc := &document{fileName: name, lines: strings.Split(string(data), "\n")}
	doc.sections = locateSections(doc.lines)
	if len(data) > MaxBytes {
		return nil, doc.errorAt(position{}, "the file has %d bytes, at most %d are taken", len(data), MaxBytes)
	}
	// As written: expressions hold quotes, percent signs, semicolons and backslashes of their own.
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, PreserveSurroundedQuote: true,
		KeyValueDelimiters: "=", AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return nil, doc.errorAt(doc.locateSyntaxError(err), "%v", err)
	}
	config := &Config{}
	config.Match.Budget = rules.DefaultBudget
	config.WebSocket = WebSocket{MaxInFlightPerConnection: 64, MaxInFlight: 4096, MaxUnsent: 128, Heartbeat: 15 * time.Second, ConnectionsPerBackend: 2}
	var faults []error
	seen := map[string]bool{}
	sectionIndex := 0 // of the section, among those that are written
	var ruleSections []section
	for _, iniSection := range file.Sections() {
		location := section{name: iniSection.Name()}
		if iniSection.Name() != ini.DefaultSection || len(iniSection.Keys()) > 0 {
			location, sectionIndex = doc.nextSection(iniSection.Name(), sectionIndex)
		}
		kind, title, _ := strings.Cut(iniSection.Name(), " ")
		title = strings.TrimSpace(title)
		for _, key := range iniSection.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				faults = append(faults, doc.errorAt(location.keys[key.Name()].key, "%s comes twice", key.Name()))
			}
		}
		switch {
		case iniSection.Name() == ini.DefaultSection:
			for _, key := range iniSection.Keys() {
				faults = append(faults, doc.errorAt(location.keys[key.Name()].key, "%s stands in no section", key.Name()))
			}
		case kind == "rule" && title != "":
			if seen[title] {
				faults = append(faults, doc.errorAt(location.position, "a rule of the name %q stands above", title))
			}
			seen[title] = true
			rule := rules.Rule{Name: title}
			faults = append(faults, doc.decodeSection(iniSection, location, &rule)...)
			if rule.When == "" {
				faults = append(faults, doc.errorAt(location.position, "the rule has no when"))
			}
			config.Rules, ruleSections = append(config.Rules, rule), append(ruleSections, location)
		case iniSection.Name() == "match", iniSection.Name() == "websocket":
			if seen["\x00"+iniSection.Name()] {
				faults = append(faults, doc.errorAt(location.position, "the section [%s] comes twice", iniSection.Name()))
			}
			seen["\x00"+iniSection.Name()] = true
			target := any(&config.Match)
			if iniSection.Name() == "websocket" {
				target = &config.WebSocket
			}
			faults = append(faults, doc.decodeSection(iniSection, location, target)...)
			faults = append(faults, doc.validate(location, target)...)
		default:
			faults = append(faults, doc.errorAt(location.position, "no such section: [%s]", iniSection.Name()))
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	if len(config.Rules) == 0 {
		return config, nil
	}
	config.RuleSet, err = rules.Compile(config.Rules, deployment, config.Match.Budget)
	var ruleFault *rules.RuleError
	var tooDear *rules.BudgetError
	switch {
	case errors.As(err, &ruleFault):
		return nil, doc.errorAt(ruleSections[ruleFault.Rule].keys[ruleFault.Field].within(ruleFault.Line, ruleFault.Column, ruleSections[ruleFault.Rule].position), "%s: %s", ruleFault.Field, ruleFault.Message)
	case errors.As(err, &tooDear):
		return nil, doc.errorAt(ruleSections[0].position, "the rules together: %v", tooDear)
	case err != nil:
		return nil, doc.errorAt(ruleSections[0].position, "%v", err)
	}
	return config, nil
}

// decodeSection puts a section's keys into the fields of a struct: by their ini tag, or by their names in lower case.
func (d *document) decodeSection(iniSection *ini.Section, location section, target any) (faults []error) {
	fields := map[string]reflect.Value{}
	structValue := reflect.ValueOf(target).Elem()
	for i := range structValue.NumField() {
		if name := keyName(structValue.Type().Field(i)); name != "name" {
			fields[name] = structValue.Field(i)
		}
	}
	for _, key := range iniSection.Keys() {
		field, known := fields[key.Name()]
		value := strings.TrimSpace(key.Value()) // Value, not String: that would put other keys in for %(name)s
		switch {
		case !known:
			faults = append(faults, d.errorAt(location.keys[key.Name()].key, "no such field: %s", key.Name()))
		case value == "":
			faults = append(faults, d.errorAt(location.keys[key.Name()].key, "%s is empty; leave the line out", key.Name()))
		case field.Type() == reflect.TypeFor[time.Duration]():
			duration, err := time.ParseDuration(value)
			if err != nil {
				faults = append(faults, d.errorAt(location.keys[key.Name()].value, "%s is no time: %v", key.Name(), err))
			}
			field.SetInt(int64(duration))
		case field.Kind() == reflect.Int:
			number, err := strconv.Atoi(value)
			if err != nil {
				faults = append(faults, d.errorAt(location.keys[key.Name()].value, "%s is no whole number", key.Name()))
			}
			field.SetInt(int64(number))
		default:
			field.SetString(value)
		}
	}
	return faults
}

func keyName(f reflect.StructField) string {
	if name := f.Tag.Get("ini"); name != "" {
		return name
	}
	return strings.ToLower(f.Name)
}

// validate holds a filled struct against its validate tags.
func (d *document) validate(location section, target any) (faults []error) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyName)
	var violations validator.ValidationErrors
	if errors.As(v.Struct(target), &violations) {
		for _, violation := range violations {
			faults = append(faults, d.errorAt(location.keys[violation.Field()].value, "%s is %v, %s %s is wanted", violation.Field(), violation.Value(),
				map[string]string{"min": "at least", "max": "at most", "startswith": "a beginning of"}[violation.Tag()], violation.Param()))
		}
	}
	return faults
}
