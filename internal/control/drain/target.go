package drain

import (
	"strings"

	"github.com/go-faster/errors"
)

// serviceZoneSeparator stands between the service and the zone in a target name.
const serviceZoneSeparator = "@"

// TargetName returns the name of the drain's target: BACKEND, SERVICE@ZONE or ZONE.
func (d Drain) TargetName(zone string) string {
	switch {
	case d.ID != "":
		return d.ID
	case d.Service != "":
		return d.Service + serviceZoneSeparator + zone
	}
	return zone
}

// ParseTarget reads the name of a target, as TargetName writes it. zones are the regions of the known zones, by zone;
// zoneOf returns the zone of a backend, or "" if there is no such backend. Unknown zones and backends are errors.
// Whether a service exists is for the caller to check.
func ParseTarget(
	target string, zones map[string]string, zoneOf func(id string) string,
) (zone string, parsed Drain, err error) {
	if service, zone, ok := strings.Cut(target, serviceZoneSeparator); ok {
		if zones[zone] == "" || service == "" {
			return "", Drain{}, errors.Errorf("%q: want SERVICE@ZONE, and there is no such zone", target)
		}
		return zone, Drain{Service: service}, nil
	}
	if zones[target] != "" {
		return target, Drain{}, nil
	}
	if zone := zoneOf(target); zone != "" {
		return zone, Drain{ID: target}, nil
	}
	return "", Drain{}, errors.Errorf("%q: neither an appliance, nor SERVICE@ZONE, nor a zone", target)
}
