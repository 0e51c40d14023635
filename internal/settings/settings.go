// Package boot reads the settings file that a process is started with, and says what is wrong with it and where.
package settings

import (
	"cmp"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
)

// Settings is the settings file as the platform writes it. Fields not named here are passed over.
//
//easyjson:json
type Settings struct {
	Node              string            `json:"node"`
	Role              string            `json:"role"`
	Handles           []string          `json:"handles"`
	IP                string            `json:"ip"`
	Zone              string            `json:"zone"`
	Region            string            `json:"region"`
	Zones             map[string]string `json:"zones"` // zone to region
	ListenAddresses   map[string]string `json:"listens"`
	PeerPortRange     []int             `json:"sparePorts"`
	SeedAddresses     []string          `json:"firstContacts"`
	FreshStart        bool              `json:"freshStart"`
	CountsAsLoss      bool              `json:"countsAsLoss"`
	Resources         ResourceLimits    `json:"limits"`
	DataDir           string            `json:"dataFolder"`
	HeartbeatInterval string            `json:"pulse"`
	FaultTolerance    FaultTolerance    `json:"withstand"`
	LimitsTable       []string          `json:"limitsTable"`

	RuleLimits RuleLimits `json:"-"` // the limits table, read
}

// ResourceLimits is what a process may use.
type ResourceLimits struct {
	CPUShare  float64 `json:"cpuPart"`
	RAMMb     int     `json:"ramMb"`
	OpenFiles int     `json:"openFiles"`
	StorageMb int     `json:"storageMb"`
}

// FaultTolerance is what may be lost at once while all rules are kept.
type FaultTolerance struct {
	Hosts   int `json:"hostsLost"`
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
}

// RuleLimits are the figures of the rules in force.
type RuleLimits struct {
	ContactTimeout, ConfirmTimeout, SyncTimeout, DrainTime, ShutdownGrace, ApplyTimeout, EvacuationTime, RollbackTime, RetryPeriod, MaxTTL, HeartbeatInterval time.Duration
	RetryBudgetRatio, MaxExtraRetries, TrialErrorRatio, TrialErrorAllowance, WarmUpLoadFactor, WarmUpAllowance                                                float64
}

// DefaultPath is where the settings file stands unless SAGELEVER_CONFIG names it.
const DefaultPath = "/etc/sagelever/boot.json"

// Path is the settings file of this process.
func Path() string {
	if p := os.Getenv("SAGELEVER_CONFIG"); p != "" {
		return p
	}
	return DefaultPath
}

// Read reads and checks a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// Parse reads settings from bytes.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := easyjson.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) validate() error {
	switch {
	case s.Node == "":
		return errors.New("node: missing")
	case s.IP == "":
		return errors.New("ip: missing")
	case s.Zone == "" || s.Zones[s.Zone] == "":
		return errors.Errorf("zone: %q does not stand in zones", s.Zone)
	case len(s.PeerPortRange) != 2 || s.PeerPortRange[0] < 1 || s.PeerPortRange[1] > 65535 || s.PeerPortRange[1]-s.PeerPortRange[0] < 1:
		return errors.New("sparePorts: want the first and the last of two ports or more")
	case len(s.SeedAddresses) == 0:
		return errors.New("firstContacts: empty")
	}
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	var err error
	if s.RuleLimits.HeartbeatInterval, err = ParseDuration(s.HeartbeatInterval); err != nil {
		return errors.Wrap(err, "pulse")
	}
	if err := s.parseLimitsTable(); err != nil {
		return errors.Wrap(err, "limitsTable")
	}
	return nil
}

// parseLimitsTable reads the table. A figure that is missing keeps a careful value: no further tries, no trial, nothing cold.
func (s *Settings) parseLimitsTable() error {
	limits := &s.RuleLimits
	durations := map[string]*time.Duration{"inTouch": &limits.ContactTimeout, "confirm": &limits.ConfirmTimeout, "sync_time": &limits.SyncTimeout,
		"empty": &limits.DrainTime, "leeway": &limits.ShutdownGrace, "apply": &limits.ApplyTimeout, "clearOut": &limits.EvacuationTime, "undo": &limits.RollbackTime,
		"retryPeriod": &limits.RetryPeriod, "ttl_max": &limits.MaxTTL}
	ratios := map[string]*float64{"retryShare": &limits.RetryBudgetRatio, "extraTries": &limits.MaxExtraRetries, "badShare": &limits.TrialErrorRatio,
		"badLeeway": &limits.TrialErrorAllowance, "warmUpExcess": &limits.WarmUpLoadFactor, "warmUpLeeway": &limits.WarmUpAllowance}
	for _, row := range s.LimitsTable {
		name, value, ok := strings.Cut(row, "=")
		if !ok {
			return errors.Errorf("%q: want name=value", row)
		}
		var err error
		if p := durations[name]; p != nil {
			*p, err = ParseDuration(value)
		} else if p := ratios[name]; p != nil {
			*p, err = strconv.ParseFloat(value, 64)
			if err == nil && !(*p >= 0 && *p < 1e9) {
				err = errors.New("out of range")
			}
		}
		if err != nil {
			return errors.Wrapf(err, "%q", row)
		}
	}
	const defaultTime = 5 * time.Second // where the table lacks them
	limits.ContactTimeout, limits.ShutdownGrace = cmp.Or(limits.ContactTimeout, defaultTime), cmp.Or(limits.ShutdownGrace, defaultTime)
	return nil
}

// ParseDuration reads a time as the protocol writes it: a number and ms or s, such as 1500ms or 2.5s. It may be 0, never below.
func ParseDuration(text string) (time.Duration, error) {
	number, unit := text, time.Duration(0)
	switch {
	case strings.HasSuffix(text, "ms"):
		number, unit = text[:len(text)-2], time.Millisecond
	case strings.HasSuffix(text, "s"):
		number, unit = text[:len(text)-1], time.Second
	default:
		return 0, errors.Errorf("%q is no time: want a number and ms or s", text)
	}
	quantity, err := strconv.ParseFloat(number, 64)
	if err != nil || !(quantity >= 0) || quantity*float64(unit) > float64(1<<53) {
		return 0, errors.Errorf("%q is no time: want a number and ms or s", text)
	}
	return time.Duration(quantity * float64(unit)), nil
}

// PeerPort is the port on which the agents of the system call one another; all machines of a system have the same ports.
func (s *Settings) PeerPort() string { return strconv.Itoa(s.PeerPortRange[0]) }

// ControlGroup is the control core that the settings ask for, given how many members the deploy file places in each zone.
func (s *Settings) ControlGroup(perZone int) membership.Target {
	return membership.Target{MembersPerZone: perZone, Zones: len(s.Zones), MaxFailures: s.ToleratedDiskLosses(perZone)}
}

// ToleratedDiskLosses is how many members of the core may lose their disks at once: the largest of what withstand names.
func (s *Settings) ToleratedDiskLosses(perZone int) int {
	membersByRegion := map[string]int{}
	for _, region := range s.Zones {
		membersByRegion[region] += perZone
	}
	sizes := make([]int, 0, len(membersByRegion))
	for _, size := range membersByRegion {
		sizes = append(sizes, size)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	tolerated := max(s.FaultTolerance.Hosts, s.FaultTolerance.Zones*perZone)
	largestRegions := 0
	for i := 0; i < s.FaultTolerance.Regions && i < len(sizes); i++ {
		largestRegions += sizes[i]
	}
	return max(tolerated, largestRegions)
}
