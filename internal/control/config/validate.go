package config

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/internal/settings"
)

// Kinds of items. The limits are one item, whose name is empty.
const (
	KindRoutes   = "routes"
	KindServices = "services"
	KindLimits   = "limits"
	KindTenants  = "tenants"
)

const (
	maxTimeout           = 10 * time.Minute // PROTOCOL, The operator
	maxTargetOverTimeout = time.Minute      // by which a target may lie over its route's giveUp: less than this
	maxNesting           = 32               // levels of JSON in a call; the protocol's have six
)

// KeyPrefix begins the keys of the registers that hold items.
const KeyPrefix = "item/"

// Key is the register that holds an item.
func Key(kind, name string) string { return KeyPrefix + kind + "/" + name }

// SplitKey reads the register's name of an item.
func SplitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// ParseChangeRequest reads a call whole: what stands behind it, or lies too deep, makes it unreadable.
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

// checkNesting guards the reader, which descends by recursion, against nesting without end.
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
			if depth++; depth > maxNesting {
				return errors.Errorf("the call nests deeper than %d levels", maxNesting)
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}

// Values are the registers that a call sets, by key.
func (c *ChangeRequest) Values() (map[string]quorum.Value, error) {
	values := map[string]quorum.Value{}
	put := func(kind, name, version string, value quorum.Value) error {
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
		if earlier, repeated := values[key]; repeated { // in one call too the highest version prevails
			if earlier.Version == number && earlier != value {
				return errors.Errorf("%s: stands twice in the call, with one version: %v and %v", label, earlier, value)
			}
			if earlier.Version >= number {
				return nil
			}
		}
		values[key] = value
		return nil
	}
	for _, item := range c.PutItems.Items {
		if err := checkItem(item); err != nil {
			return nil, err
		}
		if err := put(item.Type, item.Metadata.Name, item.Metadata.Version, quorum.Value{Body: compactBody(string(item.Body))}); err != nil {
			return nil, err
		}
	}
	for kind, refs := range c.Remove {
		if kind != KindRoutes && kind != KindServices && kind != KindTenants {
			return nil, errors.Errorf("remove: %q is no list of items", kind)
		}
		for _, ref := range refs {
			if ref.Name == "" {
				return nil, errors.Errorf("remove: %s without a name", kind)
			}
			if err := put(kind, ref.Name, ref.Version, quorum.Value{Deleted: true}); err != nil {
				return nil, err
			}
		}
	}
	if len(values) == 0 {
		return nil, errors.New("the call names no item")
	}
	return values, nil
}

// checkItem checks what can be said of an item by itself.
func checkItem(item Item) error {
	label := item.Type + " " + item.Metadata.Name
	if item.Type != KindLimits && item.Metadata.Name == "" {
		return errors.Errorf("%s: without a name", item.Type)
	}
	if _, err := ReadBody(item.Type, item.Metadata.Name, string(item.Body)); err != nil {
		return errors.Wrap(err, label)
	}
	return nil
}

// ReadBody reads the body of an item: a *Route, *Service, *Limits or *Tenant.
func ReadBody(kind, name, body string) (any, error) {
	var decoded easyjson.Unmarshaler
	switch kind {
	case KindRoutes:
		decoded = &RouteBody{}
	case KindServices:
		decoded = &ServiceBody{}
	case KindLimits:
		decoded = &LimitsBody{}
	case KindTenants:
		decoded = &TenantBody{}
	default:
		return nil, errors.Errorf("%q is no type of item", kind)
	}
	if len(body) == 0 {
		return nil, errors.New("body: missing")
	}
	if err := easyjson.Unmarshal([]byte(body), decoded); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	switch value := decoded.(type) {
	case *RouteBody:
		return value, value.validate()
	case *ServiceBody:
		if _, err := settings.ParseDuration(SpanOrZero(value.WarmUp)); err != nil {
			return nil, errors.Wrap(err, "warmUp")
		}
		if value.MaxConnections < 0 || value.WarmUpRatePerSecond < 0 {
			return nil, errors.New("maxLinks and warmingRateS: below zero")
		}
	case *LimitsBody:
		for _, text := range []string{value.HeaderTimeout, value.IdleTimeout} {
			if _, err := settings.ParseDuration(text); err != nil {
				return nil, errors.Wrap(err, "headWait, quiet")
			}
		}
		if value.MaxHeaderBytes <= 0 || value.MaxBodyBytes < 0 {
			return nil, errors.New("headSizeBytes, bodySizeBytes: want sizes in bytes")
		}
	}
	return decoded, nil
}

func SpanOrZero(text string) string {
	if text == "" {
		return "0s"
	}
	return text
}

func (r *RouteBody) validate() error {
	if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return errors.New("host, pathStart: want a host, and a path that begins and ends with a slash")
	}
	if r.Kind != "harmless" && r.Kind != "risky" {
		return errors.Errorf("kind: %q is neither harmless nor risky", r.Kind)
	}
	giveUp, err := settings.ParseDuration(r.Timeout)
	if err != nil || giveUp == 0 || giveUp > maxTimeout {
		return errors.Errorf("giveUp: %q: want a time up to ten minutes", r.Timeout)
	}
	target, err := settings.ParseDuration(SpanOrZero(r.LatencyTarget))
	if err != nil || target >= giveUp+maxTargetOverTimeout {
		return errors.Errorf("target_time: %q: want a time less than a minute over giveUp", r.LatencyTarget)
	}
	if (r.Service == "") == (len(r.WeightedServices) == 0) {
		return errors.New("service, shares: want one of them")
	}
	totalWeight := 0.0
	for _, share := range r.WeightedServices {
		if share.Service == "" || !(share.Weight >= 0) || share.Weight > 1e9 {
			return errors.New("shares: want services, and weights not below zero")
		}
		totalWeight += share.Weight
	}
	if len(r.WeightedServices) > 0 && totalWeight <= 0 {
		return errors.New("shares: no weight")
	}
	if r.MaxAttempts < 0 {
		return errors.New("tries: below zero")
	}
	return nil
}

// serviceNames that a route names.
func (r *RouteBody) serviceNames() []string {
	if r.Service != "" {
		return []string{r.Service}
	}
	var names []string
	for _, share := range r.WeightedServices {
		names = append(names, share.Service)
	}
	return names
}

// KeepHighestVersion is the rule of the configuration for one item: the highest version prevails, set or dropped; an equal or lower
// one has no effect.
func KeepHighestVersion(incoming quorum.Value) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if incoming.Version > current.Version {
			return incoming
		}
		return current
	}
}
