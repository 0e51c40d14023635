package config

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/internal/settings"
)

// Kinds of routes in the protocol: whether a request may be sent more than once.
const (
	routeKindIdempotent    = "harmless"
	routeKindNonIdempotent = "risky"
)

const (
	// maxTimeout bounds the timeout of a route (PROTOCOL, "The operator").
	maxTimeout = 10 * time.Minute
	// maxTargetOverTimeout is the exclusive bound by which a route's latency target may exceed its timeout.
	maxTargetOverTimeout = time.Minute
	// maxWeight bounds the weight of a service in a route.
	maxWeight = 1e9
)

// Body is the decoded body of an item: a *RouteBody, *ServiceBody, *LimitsBody or *TenantBody.
type Body interface {
	easyjson.Unmarshaler
	validate() error
}

// DecodeBody decodes and validates the body of an item of a kind.
func DecodeBody(kind, text string) (Body, error) {
	body, err := newBody(kind)
	if err != nil {
		return nil, err
	}
	if text == "" {
		return nil, errors.New("body: missing")
	}
	if err := easyjson.Unmarshal([]byte(text), body); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	return body, nil
}

func newBody(kind string) (Body, error) {
	switch kind {
	case KindRoutes:
		return &RouteBody{}, nil
	case KindServices:
		return &ServiceBody{}, nil
	case KindLimits:
		return &LimitsBody{}, nil
	case KindTenants:
		return &TenantBody{}, nil
	}
	return nil, errors.Errorf("%q is no type of item", kind)
}

// decodeRoute decodes the body of a route from the value of its register.
func decodeRoute(name string, value quorum.Value) (*RouteBody, error) {
	body, err := DecodeBody(KindRoutes, value.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", KindRoutes, name)
	}
	return body.(*RouteBody), nil
}

// ParseOptionalDuration parses a duration. It returns 0 for an empty text.
func ParseOptionalDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return settings.ParseDuration(text)
}

// Idempotent reports whether requests of the route may be sent more than once.
func (r *RouteBody) Idempotent() bool { return r.Kind == routeKindIdempotent }

// matchKey returns the host and path prefix that requests of the route match, as a key. No two routes may have the
// same.
func (r *RouteBody) matchKey() string { return strings.ToLower(r.Host) + " " + r.PathPrefix }

// serviceNames returns the services that the route refers to.
func (r *RouteBody) serviceNames() []string {
	if r.Service != "" {
		return []string{r.Service}
	}
	var names []string
	for _, weighted := range r.WeightedServices {
		names = append(names, weighted.Service)
	}
	return names
}

func (r *RouteBody) validate() error {
	if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return errors.New("host, pathStart: want a host, and a path that begins and ends with a slash")
	}
	if r.Kind != routeKindIdempotent && r.Kind != routeKindNonIdempotent {
		return errors.Errorf("kind: %q is neither harmless nor risky", r.Kind)
	}
	if err := r.validateDurations(); err != nil {
		return err
	}
	if err := r.validateServices(); err != nil {
		return err
	}
	if r.MaxAttempts < 0 {
		return errors.New("tries: below zero")
	}
	return nil
}

func (r *RouteBody) validateDurations() error {
	timeout, err := settings.ParseDuration(r.Timeout)
	if err != nil || timeout == 0 || timeout > maxTimeout {
		return errors.Errorf("giveUp: %q: want a time up to ten minutes", r.Timeout)
	}
	target, err := ParseOptionalDuration(r.LatencyTarget)
	if err != nil || target >= timeout+maxTargetOverTimeout {
		return errors.Errorf("target_time: %q: want a time less than a minute over giveUp", r.LatencyTarget)
	}
	return nil
}

func (r *RouteBody) validateServices() error {
	if (r.Service == "") == (len(r.WeightedServices) == 0) {
		return errors.New("service, shares: want one of them")
	}
	totalWeight := 0.0
	for _, weighted := range r.WeightedServices {
		if weighted.Service == "" || !(weighted.Weight >= 0) || weighted.Weight > maxWeight { // NaN is not >= 0
			return errors.New("shares: want services, and weights not below zero")
		}
		totalWeight += weighted.Weight
	}
	if len(r.WeightedServices) > 0 && totalWeight <= 0 {
		return errors.New("shares: no weight")
	}
	return nil
}

func (s *ServiceBody) validate() error {
	if _, err := ParseOptionalDuration(s.WarmUp); err != nil {
		return errors.Wrap(err, "warmUp")
	}
	if s.MaxConnections < 0 || s.WarmUpRatePerSecond < 0 {
		return errors.New("maxLinks and warmingRateS: below zero")
	}
	return nil
}

func (l *LimitsBody) validate() error {
	for _, text := range []string{l.HeaderTimeout, l.IdleTimeout} {
		if _, err := settings.ParseDuration(text); err != nil {
			return errors.Wrap(err, "headWait, quiet")
		}
	}
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes < 0 {
		return errors.New("headSizeBytes, bodySizeBytes: want sizes in bytes")
	}
	return nil
}

// validate accepts any regions, because a tenant may be bound to regions that this load balancer does not have.
func (t *TenantBody) validate() error { return nil }
