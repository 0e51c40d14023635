package settings

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// RuleLimits are the limits of the platform's rules. A limit that is missing from the settings is zero, which is the
// cautious choice: no retries, no requests to a release on trial. Limits that this program does not apply are parsed
// all the same, so that an invalid one is reported.
type RuleLimits struct {
	ContactTimeout    time.Duration // inTouch: not applied
	ConfirmTimeout    time.Duration // confirm: how long an operator may repeat an order
	SyncTimeout       time.Duration // sync_time: not applied
	DrainTime         time.Duration // empty: how long a leaving backend still serves
	ShutdownGrace     time.Duration // leeway: how long a process may take to end after SIGTERM
	ApplyTimeout      time.Duration // apply: not applied
	EvacuationTime    time.Duration // clearOut: not applied
	RollbackTime      time.Duration // undo: not applied
	RetryPeriod       time.Duration // retryPeriod: not applied
	MaxTTL            time.Duration // ttl_max: longest validity of a directory answer
	HeartbeatInterval time.Duration // the field pulse of the settings: between two heartbeats of a backend

	RetryBudgetRatio      float64 // retryShare: retries that each request adds to the retry budget
	MaxExtraRetries       float64 // extraTries: size of the retry budgets of all proxies together
	TrialRequestRatio     float64 // badShare: part of a service's requests that may go to a bad release
	TrialRequestAllowance float64 // badLeeway: requests to a bad release beside that part, over all proxies
	WarmUpLoadFactor      float64 // warmUpExcess: not applied
	WarmUpAllowance       float64 // warmUpLeeway: not applied
}

// defaultTimeout is used for a contact timeout or a shutdown grace that is missing from the settings.
const defaultTimeout = 5 * time.Second

// maxRatio bounds the plain numbers of the table.
const maxRatio = 1e9

// durationFields returns the fields that hold durations, by their names in the table.
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

// numberFields returns the fields that hold plain numbers, by their names in the table.
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

// parseNumber parses a number from zero up to maxRatio.
func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !(number >= 0 && number < maxRatio) { // false for NaN too
		return 0, errOutOfRange
	}
	return number, nil
}

// ParseDuration parses a duration as the platform writes it: a decimal number that is not negative, and the unit ms or
// s, such as 1500ms or 2.5s. Its error is ErrDuration by errors.Is.
func ParseDuration(text string) (time.Duration, error) {
	number, unit, found := cutUnit(text)
	if !found {
		return 0, errors.Wrapf(ErrDuration, "%q", text)
	}
	const maxExact = 1 << 53 // nanoseconds, up to which a float64 is exact
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
