package drain

import (
	"strings"

	"github.com/go-faster/errors"
)

// serviceZoneSeparator separates the service from the zone in a target name.
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

// ParseTarget parses a target name, as returned by Drain.TargetName. regionByZone has the regions of all zones; zoneOf
// returns the zone of a backend, or "" if there is no such backend. An unknown zone or backend is an error. The caller
// has to check that the service exists.
func ParseTarget(
	target string, regionByZone map[string]string, zoneOf func(id string) string,
) (zone string, parsed Drain, err error) {
	if service, zone, ok := strings.Cut(target, serviceZoneSeparator); ok {
		if regionByZone[zone] == "" || service == "" {
			return "", Drain{}, errors.Errorf("%q: want SERVICE@ZONE, and there is no such zone", target)
		}
		return zone, Drain{Service: service}, nil
	}
	if regionByZone[target] != "" {
		return target, Drain{}, nil
	}
	if zone := zoneOf(target); zone != "" {
		return zone, Drain{ID: target}, nil
	}
	return "", Drain{}, errors.Errorf("%q: neither an appliance, nor SERVICE@ZONE, nor a zone", target)
}
