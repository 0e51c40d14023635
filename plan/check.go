package plan

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/boot"
	"sagelever/internal/control/quorum"
)

// Kinds of items. The limits are one item, whose name is empty.
const (
	Routes   = "routes"
	Services = "services"
	LimitsOf = "limits"
	Tenants  = "tenants"
)

const (
	longestGiveUp = 10 * time.Minute // PROTOCOL, The operator
	widestTarget  = time.Minute      // by which a target may lie over its route's giveUp: less than this
	deepest       = 32               // levels of JSON in a call; the protocol's have six
)

// ItemKey begins the keys of the registers that hold items.
const ItemKey = "item/"

// Key is the register that holds an item.
func Key(kind, name string) string { return ItemKey + kind + "/" + name }

// SplitKey reads the register's name of an item.
func SplitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, ItemKey)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// ReadCall reads a call whole: what stands behind it, or lies too deep, makes it unreadable.
func ReadCall(data []byte) (*Call, error) {
	if err := shallow(data); err != nil {
		return nil, err
	}
	c := &Call{}
	if err := easyjson.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "the call can't be read")
	}
	return c, nil
}

// shallow guards the reader, which descends by recursion, against nesting without end.
func shallow(data []byte) error {
	depth, text := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			if depth++; depth > deepest {
				return errors.Errorf("the call nests deeper than %d levels", deepest)
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}

// Values are the registers that a call sets, by key.
func (c *Call) Values() (map[string]quorum.Value, error) {
	out := map[string]quorum.Value{}
	put := func(kind, name, version string, v quorum.Value) error {
		where := kind + " " + name
		n, err := ParseVersion(version)
		if err != nil {
			return errors.Wrap(err, where)
		}
		if n == 0 {
			return errors.Errorf("%s: version %s: versions begin with one", where, version)
		}
		v.Version = n
		key := Key(kind, name)
		if held, twice := out[key]; twice { // in one call too the highest version prevails
			if held.Version == n && held != v {
				return errors.Errorf("%s: stands twice in the call, with one version: %v and %v", where, held, v)
			}
			if held.Version >= n {
				return nil
			}
		}
		out[key] = v
		return nil
	}
	for _, it := range c.PutItems.Items {
		if err := checkItem(it); err != nil {
			return nil, err
		}
		if err := put(it.Type, it.Metadata.Name, it.Metadata.Version, quorum.Value{Body: compactBody(string(it.Body))}); err != nil {
			return nil, err
		}
	}
	for kind, refs := range c.Remove {
		if kind != Routes && kind != Services && kind != Tenants {
			return nil, errors.Errorf("remove: %q is no list of items", kind)
		}
		for _, r := range refs {
			if r.Name == "" {
				return nil, errors.Errorf("remove: %s without a name", kind)
			}
			if err := put(kind, r.Name, r.Version, quorum.Value{Gone: true}); err != nil {
				return nil, err
			}
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the call names no item")
	}
	return out, nil
}

// checkItem checks what can be said of an item by itself.
func checkItem(it Item) error {
	where := it.Type + " " + it.Metadata.Name
	if it.Type != LimitsOf && it.Metadata.Name == "" {
		return errors.Errorf("%s: without a name", it.Type)
	}
	if _, err := readItem(it.Type, it.Metadata.Name, string(it.Body)); err != nil {
		return errors.Wrap(err, where)
	}
	return nil
}

// readItem reads the body of an item: a *Route, *Service, *Limits or *Tenant.
func readItem(kind, name, body string) (any, error) {
	var into easyjson.Unmarshaler
	switch kind {
	case Routes:
		into = &Route{}
	case Services:
		into = &Service{}
	case LimitsOf:
		into = &Limits{}
	case Tenants:
		into = &Tenant{}
	default:
		return nil, errors.Errorf("%q is no type of item", kind)
	}
	if len(body) == 0 {
		return nil, errors.New("body: missing")
	}
	if err := easyjson.Unmarshal([]byte(body), into); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	switch x := into.(type) {
	case *Route:
		return x, x.check()
	case *Service:
		if _, err := boot.Span(orZero(x.WarmUp)); err != nil {
			return nil, errors.Wrap(err, "warmUp")
		}
		if x.MaxLinks < 0 || x.WarmingRateS < 0 {
			return nil, errors.New("maxLinks and warmingRateS: below zero")
		}
	case *Limits:
		for _, f := range []string{x.HeadWait, x.Quiet} {
			if _, err := boot.Span(f); err != nil {
				return nil, errors.Wrap(err, "headWait, quiet")
			}
		}
		if x.HeadSizeBytes <= 0 || x.BodySizeBytes < 0 {
			return nil, errors.New("headSizeBytes, bodySizeBytes: want sizes in bytes")
		}
	}
	return into, nil
}

func orZero(span string) string {
	if span == "" {
		return "0s"
	}
	return span
}

func (r *Route) check() error {
	if r.Host == "" || !strings.HasPrefix(r.PathStart, "/") || !strings.HasSuffix(r.PathStart, "/") {
		return errors.New("host, pathStart: want a host, and a path that begins and ends with a slash")
	}
	if r.Kind != "harmless" && r.Kind != "risky" {
		return errors.Errorf("kind: %q is neither harmless nor risky", r.Kind)
	}
	giveUp, err := boot.Span(r.GiveUp)
	if err != nil || giveUp == 0 || giveUp > longestGiveUp {
		return errors.Errorf("giveUp: %q: want a time up to ten minutes", r.GiveUp)
	}
	target, err := boot.Span(orZero(r.TargetTime))
	if err != nil || target >= giveUp+widestTarget {
		return errors.Errorf("target_time: %q: want a time less than a minute over giveUp", r.TargetTime)
	}
	if (r.Service == "") == (len(r.Shares) == 0) {
		return errors.New("service, shares: want one of them")
	}
	sum := 0.0
	for _, s := range r.Shares {
		if s.Service == "" || !(s.Weight >= 0) || s.Weight > 1e9 {
			return errors.New("shares: want services, and weights not below zero")
		}
		sum += s.Weight
	}
	if len(r.Shares) > 0 && sum <= 0 {
		return errors.New("shares: no weight")
	}
	if r.Tries < 0 {
		return errors.New("tries: below zero")
	}
	return nil
}

// services that a route names.
func (r *Route) services() []string {
	if r.Service != "" {
		return []string{r.Service}
	}
	var out []string
	for _, s := range r.Shares {
		out = append(out, s.Service)
	}
	return out
}

// Apply is the rule of the configuration for one item: the highest version prevails, set or dropped; an equal or lower
// one has no effect.
func Apply(sent quorum.Value) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		if sent.Version > held.Version {
			return sent
		}
		return held
	}
}
