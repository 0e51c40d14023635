package settings

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// RuleLimits holds the limits that the platform's rules set. A limit that is missing from the settings is zero, the
// most restrictive value: no retries, no requests to the new build of a release. Limits that this program does not
// apply are parsed as well, so that invalid values are reported.
type RuleLimits struct {
	ContactTimeout    time.Duration // inTouch: not applied
	ConfirmTimeout    time.Duration // confirm: how long an operator may repeat an order
	SyncTimeout       time.Duration // sync_time: not applied
	DrainTime         time.Duration // empty: how long a backend still serves requests while it leaves
	ShutdownGrace     time.Duration // leeway: how long a process may take to exit after SIGTERM
	ApplyTimeout      time.Duration // apply: not applied
	EvacuationTime    time.Duration // clearOut: not applied
	RollbackTime      time.Duration // undo: not applied
	RetryPeriod       time.Duration // retryPeriod: not applied
	MaxTTL            time.Duration // ttl_max: longest validity of a directory response
	HeartbeatInterval time.Duration // the settings field pulse: time between two heartbeats of a backend

	RetryBudgetRatio      float64 // retryShare: retries that each request adds to the retry budget
	MaxExtraRetries       float64 // extraTries: combined size of the retry budgets of all proxies
	TrialRequestRatio     float64 // badShare: ratio of a service's requests that may go to a bad release
	TrialRequestAllowance float64 // badLeeway: requests to a bad release in addition to that ratio, over all proxies
	WarmUpLoadFactor      float64 // warmUpExcess: not applied
	WarmUpAllowance       float64 // warmUpLeeway: not applied
}

// defaultTimeout is used for a contact timeout or a shutdown grace that is missing from the settings.
const defaultTimeout = 5 * time.Second

// maxNumber bounds the numbers without a unit in the table.
const maxNumber = 1e9

// durationFields returns the fields of durations, by their names in the table.
func (l *RuleLimits) durationFields() map[string]*time.Duration {
	return map[string]*time.Duration{
		"inTouch":     &l.ContactTimeout,
		"confirm":     &l.ConfirmTimeout,
		"sync_time":   &l.SyncTimeout,
		"empty":       &l.DrainTime,
		"leeway":      &l.ShutdownGrace,
		"apply":       &l.ApplyTimeout,
		"clearOut":    &l.EvacuationTime,
		"undo":        &l.RollbackTime,
		"retryPeriod": &l.RetryPeriod,
		"ttl_max":     &l.MaxTTL,
	}
}

// numberFields returns the fields of numbers without a unit, by their names in the table.
func (l *RuleLimits) numberFields() map[string]*float64 {
	return map[string]*float64{
		"retryShare":   &l.RetryBudgetRatio,
		"extraTries":   &l.MaxExtraRetries,
		"badShare":     &l.TrialRequestRatio,
		"badLeeway":    &l.TrialRequestAllowance,
		"warmUpExcess": &l.WarmUpLoadFactor,
		"warmUpLeeway": &l.WarmUpAllowance,
	}
}

// parseLimitsTable parses entries of the form name=value. It ignores unknown names.
func parseLimitsTable(entries []string) (RuleLimits, error) {
	var limits RuleLimits
	durations := limits.durationFields()
	numbers := limits.numberFields()
	for _, entry := range entries {
		name, value, found := strings.Cut(entry, "=")
		if !found {
			return RuleLimits{}, errors.Errorf("%q: want name=value", entry)
		}
		var err error
		if field := durations[name]; field != nil {
			*field, err = ParseDuration(value)
		} else if field := numbers[name]; field != nil {
			*field, err = parseNumber(value)
		}
		if err != nil {
			return RuleLimits{}, errors.Wrapf(err, "%q", entry)
		}
	}
	limits.ContactTimeout = cmp.Or(limits.ContactTimeout, defaultTimeout)
	limits.ShutdownGrace = cmp.Or(limits.ShutdownGrace, defaultTimeout)
	return limits, nil
}

// parseNumber parses a number that is at least zero and less than maxNumber.
func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !(number >= 0 && number < maxNumber) { // false for NaN too
		return 0, errOutOfRange
	}
	return number, nil
}

// ParseDuration parses a duration as the platform writes it: a non-negative decimal number and the unit ms or s, such
// as 1500ms or 2.5s. Its errors wrap ErrDuration.
func ParseDuration(text string) (time.Duration, error) {
	number, unit, found := cutUnit(text)
	if !found {
		return 0, errors.Wrapf(ErrDuration, "%q", text)
	}
	const maxExact = 1 << 53 // nanoseconds; a float64 represents integers up to here exactly
	quantity, err := strconv.ParseFloat(number, 64)
	if err != nil || !(quantity >= 0) || quantity*float64(unit) > maxExact {
		return 0, errors.Wrapf(ErrDuration, "%q", text)
	}
	return time.Duration(quantity * float64(unit)), nil
}

// cutUnit splits a text into its number and its unit.
func cutUnit(text string) (number string, unit time.Duration, found bool) {
	if number, found := strings.CutSuffix(text, "ms"); found {
		return number, time.Millisecond, true
	}
	number, found = strings.CutSuffix(text, "s")
	return number, time.Second, found
}
