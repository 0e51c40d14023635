package operatorfile

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"gopkg.in/ini.v1"

	"sagelever/match"
	"sagelever/match/rules"
)

// Names of the sections. The name of a rule's section consists of ruleKind, a space and the rule's name.
const (
	matchSection     = "match"
	webSocketSection = "websocket"
	ruleKind         = "rule"
)

// decoder decodes the sections of one file into a Config. It continues after an error, so that all errors of the file
// are reported together.
type decoder struct {
	doc          *document
	config       *Config
	ruleSections []section // of config.Rules, by index
	seenRules    map[string]bool
	seenSections map[string]bool
	errs         []error
}

func newDecoder(doc *document) *decoder {
	config := &Config{WebSocket: defaultWebSocket}
	config.Match.Budget = rules.DefaultBudget
	return &decoder{doc: doc, config: config, seenRules: map[string]bool{}, seenSections: map[string]bool{}}
}

// errorAt records an error at a position.
func (d *decoder) errorAt(pos position, format string, args ...any) {
	d.errs = append(d.errs, d.doc.errorAt(pos, format, args...))
}

// decodeFile decodes all sections.
func (d *decoder) decodeFile(file *ini.File) {
	next := 0 // index in doc.sections at which the search for the next section starts
	for _, content := range file.Sections() {
		location := section{name: content.Name()}
		// The library lists its default section even if the file has none.
		if content.Name() != ini.DefaultSection || len(content.Keys()) > 0 {
			location, next = d.doc.nextSection(content.Name(), next)
		}
		d.decodeSection(content, location)
	}
}

// decodeSection decodes one section by its name.
func (d *decoder) decodeSection(content *ini.Section, location section) {
	for _, key := range content.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			d.errorAt(location.keys[key.Name()].key, "%s is set twice", key.Name())
		}
	}
	kind, title, _ := strings.Cut(content.Name(), " ")
	title = strings.TrimSpace(title)
	switch {
	case content.Name() == ini.DefaultSection:
		for _, key := range content.Keys() {
			d.errorAt(location.keys[key.Name()].key, "%s is outside of any section", key.Name())
		}
	case kind == ruleKind && title != "":
		d.decodeRule(content, location, title)
	case content.Name() == matchSection:
		d.decodeUnique(content, location, &d.config.Match)
	case content.Name() == webSocketSection:
		d.decodeUnique(content, location, &d.config.WebSocket)
	default:
		d.errorAt(location.position, "no such section: [%s]", content.Name())
	}
}

// decodeRule decodes the section of a rule.
func (d *decoder) decodeRule(content *ini.Section, location section, name string) {
	if d.seenRules[name] {
		d.errorAt(location.position, "duplicate rule %q", name)
	}
	d.seenRules[name] = true
	rule := rules.Rule{Name: name}
	d.decodeKeys(content, location, &rule)
	if rule.When == "" {
		d.errorAt(location.position, "the rule has no when")
	}
	d.config.Rules = append(d.config.Rules, rule)
	d.ruleSections = append(d.ruleSections, location)
}

// decodeUnique decodes a section that may occur only once, and validates the result.
func (d *decoder) decodeUnique(content *ini.Section, location section, target any) {
	if d.seenSections[content.Name()] {
		d.errorAt(location.position, "duplicate section [%s]", content.Name())
	}
	d.seenSections[content.Name()] = true
	d.decodeKeys(content, location, target)
	d.validate(location, target)
}

// decodeKeys sets the fields of the struct that target points to. The field of a key is the one with that keyName.
func (d *decoder) decodeKeys(content *ini.Section, location section, target any) {
	fields := map[string]reflect.Value{}
	structValue := reflect.ValueOf(target).Elem()
	for i := range structValue.NumField() {
		name := keyName(structValue.Type().Field(i))
		if name != "name" { // a rule's name comes from its section
			fields[name] = structValue.Field(i)
		}
	}
	for _, key := range content.Keys() {
		name := key.Name()
		position := location.keys[name]
		field, known := fields[name]
		value := strings.TrimSpace(key.Value()) // not String, which would interpolate %(name)s
		switch {
		case !known:
			d.errorAt(position.key, "no such field: %s", name)
		case value == "":
			d.errorAt(position.key, "%s is empty; leave the line out", name)
		default:
			d.decodeValue(name, position, field, value)
		}
	}
}

// decodeValue parses a value according to the field's type and sets the field.
func (d *decoder) decodeValue(name string, position keyPosition, field reflect.Value, value string) {
	switch {
	case field.Type() == reflect.TypeFor[time.Duration]():
		duration, err := time.ParseDuration(value)
		if err != nil {
			d.errorAt(position.value, "%s is not a duration: %v", name, err)
		}
		field.SetInt(int64(duration))
	case field.Kind() == reflect.Int:
		number, err := strconv.Atoi(value)
		if err != nil {
			d.errorAt(position.value, "%s is not an integer", name)
		}
		field.SetInt(int64(number))
	default:
		field.SetString(value)
	}
}

// keyName returns the key of a struct field in the file: the ini tag, or the field's name in lower case if it has none.
func keyName(field reflect.StructField) string {
	if name := field.Tag.Get("ini"); name != "" {
		return name
	}
	return strings.ToLower(field.Name)
}

// constraintTexts describes the constraints of the validate tags in error messages.
var constraintTexts = map[string]string{"min": "at least", "max": "at most", "startswith": "the prefix"}

// validate checks a decoded struct against its validate tags.
func (d *decoder) validate(location section, target any) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyName)
	var violations validator.ValidationErrors
	if !errors.As(v.Struct(target), &violations) {
		return
	}
	for _, violation := range violations {
		name := violation.Field()
		d.errorAt(location.keys[name].value, "%s is %v, want %s %s",
			name, violation.Value(), constraintTexts[violation.Tag()], violation.Param())
	}
}

// compileRules compiles the decoded rules. Without rules, RuleSet stays nil.
func (d *decoder) compileRules(deployment match.Deployment) error {
	if len(d.config.Rules) == 0 {
		return nil
	}
	set, err := rules.Compile(d.config.Rules, deployment, d.config.Match.Budget)
	if err != nil {
		return d.compileError(err)
	}
	d.config.RuleSet = set
	return nil
}

// compileError adds the position in the file to an error of rules.Compile. An error that concerns the set of rules is
// reported at the first rule.
func (d *decoder) compileError(err error) error {
	var ruleError *rules.RuleError
	if errors.As(err, &ruleError) {
		rule := d.ruleSections[ruleError.Rule]
		pos := rule.keys[ruleError.Field].within(ruleError.Line, ruleError.Column, rule.position)
		return d.doc.errorAt(pos, "%s: %s", ruleError.Field, ruleError.Message)
	}
	first := d.ruleSections[0].position
	var budgetError *rules.BudgetError
	if errors.As(err, &budgetError) {
		return d.doc.errorAt(first, "the rules together: %v", budgetError)
	}
	return d.doc.errorAt(first, "%v", err)
}
