package config

import (
	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

// maxNesting bounds the nesting depth of JSON in a change request. A valid request has a depth of six.
const maxNesting = 32

// ParseChangeRequest decodes a change request. Trailing data and nesting deeper than maxNesting are errors.
func ParseChangeRequest(data []byte) (*ChangeRequest, error) {
	if err := checkNesting(data); err != nil {
		return nil, err
	}
	request := &ChangeRequest{}
	if err := easyjson.Unmarshal(data, request); err != nil {
		return nil, errors.Wrap(err, "the call can't be read")
	}
	return request, nil
}

// checkNesting rejects deeply nested JSON, on which the recursive decoder would exhaust the stack.
func checkNesting(data []byte) error {
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			if depth > maxNesting {
				return errors.Errorf("the call nests deeper than %d levels", maxNesting)
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}

// Values returns the values that the request sets, by register key. It validates each item in isolation; Index.Check
// checks the change against the configuration in force.
func (c *ChangeRequest) Values() (map[string]quorum.Value, error) {
	values := changedValues{}
	for _, item := range c.PutItems.Items {
		if err := checkItem(item); err != nil {
			return nil, err
		}
		body := quorum.Value{Body: compactBody(string(item.Body))}
		if err := values.put(item.Type, item.Metadata.Name, item.Metadata.Version, body); err != nil {
			return nil, err
		}
	}
	for kind, refs := range c.Remove {
		if err := values.remove(kind, refs); err != nil {
			return nil, err
		}
	}
	if len(values) == 0 {
		return nil, errors.New("the call names no item")
	}
	return values, nil
}

// checkItem validates an item in isolation.
func checkItem(item Item) error {
	if item.Type != KindLimits && item.Metadata.Name == "" {
		return errors.Errorf("%s: without a name", item.Type)
	}
	if _, err := DecodeBody(item.Type, string(item.Body)); err != nil {
		return errors.Wrap(err, item.Type+" "+item.Metadata.Name)
	}
	return nil
}

// changedValues are the values that a change sets, by register key.
type changedValues map[string]quorum.Value

// put adds an item. If a request has an item more than once, the highest version is kept, as it is across requests.
func (values changedValues) put(kind, name, version string, value quorum.Value) error {
	label := kind + " " + name
	number, err := ParseVersion(version)
	if err != nil {
		return errors.Wrap(err, label)
	}
	if number == 0 {
		return errors.Errorf("%s: version %s: versions begin with one", label, version)
	}
	value.Version = number
	key := Key(kind, name)
	earlier, repeated := values[key]
	if repeated && earlier.Version == number && earlier != value {
		const format = "%s: appears twice in the call with one version: %v and %v"
		return errors.Errorf(format, label, earlier, value)
	}
	if !repeated || earlier.Version < number {
		values[key] = value
	}
	return nil
}

// remove adds deletions of items of one kind.
func (values changedValues) remove(kind string, refs []ItemRef) error {
	if kind != KindRoutes && kind != KindServices && kind != KindTenants {
		return errors.Errorf("remove: %q is no list of items", kind)
	}
	for _, ref := range refs {
		if ref.Name == "" {
			return errors.Errorf("remove: %s without a name", kind)
		}
		if err := values.put(kind, ref.Name, ref.Version, quorum.Value{Deleted: true}); err != nil {
			return err
		}
	}
	return nil
}

// DependsOnOtherItems reports whether the validity of a change depends on items that it does not set. This is the case
// if the change sets a route, which refers to services, or deletes a service, which routes may refer to.
func DependsOnOtherItems(changes map[string]quorum.Value) bool {
	for key, value := range changes {
		kind, _, _ := SplitKey(key)
		if kind == KindRoutes && !value.Deleted || kind == KindServices && value.Deleted {
			return true
		}
	}
	return false
}
