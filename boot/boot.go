// Package boot reads the settings file that a process is started with, and says what is wrong with it and where.
package boot

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
	Node          string            `json:"node"`
	Role          string            `json:"role"`
	Handles       []string          `json:"handles"`
	IP            string            `json:"ip"`
	Zone          string            `json:"zone"`
	Region        string            `json:"region"`
	Zones         map[string]string `json:"zones"` // zone to region
	Listens       map[string]string `json:"listens"`
	SparePorts    []int             `json:"sparePorts"`
	FirstContacts []string          `json:"firstContacts"`
	FreshStart    bool              `json:"freshStart"`
	CountsAsLoss  bool              `json:"countsAsLoss"`
	Limits        Machine           `json:"limits"`
	DataFolder    string            `json:"dataFolder"`
	Pulse         string            `json:"pulse"`
	Withstand     Withstand         `json:"withstand"`
	LimitsTable   []string          `json:"limitsTable"`

	Bounds Bounds `json:"-"` // the limits table, read
}

// Machine is what a process may use.
type Machine struct {
	CPUPart   float64 `json:"cpuPart"`
	RAMMb     int     `json:"ramMb"`
	OpenFiles int     `json:"openFiles"`
	StorageMb int     `json:"storageMb"`
}

// Withstand is what may be lost at once while all rules are kept.
type Withstand struct {
	HostsLost int `json:"hostsLost"`
	Zones     int `json:"zones"`
	Regions   int `json:"regions"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	InTouch, Confirm, SyncTime, Empty, Leeway, Apply, ClearOut, Undo, RetryPeriod, LongestValid, Pulse time.Duration
	RetryShare, ExtraTries, BadShare, BadLeeway, WarmUpExcess, WarmUpLeeway                            float64
}

// File is where the settings file stands unless SAGELEVER_CONFIG names it.
const File = "/etc/sagelever/boot.json"

// Path is the settings file of this process.
func Path() string {
	if p := os.Getenv("SAGELEVER_CONFIG"); p != "" {
		return p
	}
	return File
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
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	switch {
	case s.Node == "":
		return errors.New("node: missing")
	case s.IP == "":
		return errors.New("ip: missing")
	case s.Zone == "" || s.Zones[s.Zone] == "":
		return errors.Errorf("zone: %q does not stand in zones", s.Zone)
	case len(s.SparePorts) != 2 || s.SparePorts[0] < 1 || s.SparePorts[1] > 65535 || s.SparePorts[1]-s.SparePorts[0] < 1:
		return errors.New("sparePorts: want the first and the last of two ports or more")
	case len(s.FirstContacts) == 0:
		return errors.New("firstContacts: empty")
	}
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	var err error
	if s.Bounds.Pulse, err = Span(s.Pulse); err != nil {
		return errors.Wrap(err, "pulse")
	}
	if err := s.bounds(); err != nil {
		return errors.Wrap(err, "limitsTable")
	}
	return nil
}

// bounds reads the table. A figure that is missing keeps a careful value: no further tries, no trial, nothing cold.
func (s *Settings) bounds() error {
	b := &s.Bounds
	spans := map[string]*time.Duration{"inTouch": &b.InTouch, "confirm": &b.Confirm, "sync_time": &b.SyncTime,
		"empty": &b.Empty, "leeway": &b.Leeway, "apply": &b.Apply, "clearOut": &b.ClearOut, "undo": &b.Undo,
		"retryPeriod": &b.RetryPeriod, "ttl_max": &b.LongestValid}
	figures := map[string]*float64{"retryShare": &b.RetryShare, "extraTries": &b.ExtraTries, "badShare": &b.BadShare,
		"badLeeway": &b.BadLeeway, "warmUpExcess": &b.WarmUpExcess, "warmUpLeeway": &b.WarmUpLeeway}
	for _, row := range s.LimitsTable {
		name, value, ok := strings.Cut(row, "=")
		if !ok {
			return errors.Errorf("%q: want name=value", row)
		}
		var err error
		if p := spans[name]; p != nil {
			*p, err = Span(value)
		} else if p := figures[name]; p != nil {
			*p, err = strconv.ParseFloat(value, 64)
			if err == nil && !(*p >= 0 && *p < 1e9) {
				err = errors.New("out of range")
			}
		}
		if err != nil {
			return errors.Wrapf(err, "%q", row)
		}
	}
	const usual = 5 * time.Second // where the table lacks them
	b.InTouch, b.Leeway = cmp.Or(b.InTouch, usual), cmp.Or(b.Leeway, usual)
	return nil
}

// Span reads a time as the protocol writes it: a number and ms or s, such as 1500ms or 2.5s. It may be 0, never below.
func Span(text string) (time.Duration, error) {
	number, unit := text, time.Duration(0)
	switch {
	case strings.HasSuffix(text, "ms"):
		number, unit = text[:len(text)-2], time.Millisecond
	case strings.HasSuffix(text, "s"):
		number, unit = text[:len(text)-1], time.Second
	default:
		return 0, errors.Errorf("%q is no time: want a number and ms or s", text)
	}
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || !(x >= 0) || x*float64(unit) > float64(1<<53) {
		return 0, errors.Errorf("%q is no time: want a number and ms or s", text)
	}
	return time.Duration(x * float64(unit)), nil
}

// Peer is the port on which the agents of the system call one another; all machines of a system have the same ports.
func (s *Settings) Peer() string { return strconv.Itoa(s.SparePorts[0]) }

// Core is the control core that the settings ask for, given how many members the deploy file places in each zone.
func (s *Settings) Core(perZone int) membership.Target {
	return membership.Target{PerZone: perZone, Zones: len(s.Zones), Lose: s.Lost(perZone)}
}

// Lost is how many members of the core may lose their disks at once: the largest of what withstand names.
func (s *Settings) Lost(perZone int) int {
	regions := map[string]int{}
	for _, r := range s.Zones {
		regions[r] += perZone
	}
	sizes := make([]int, 0, len(regions))
	for _, n := range regions {
		sizes = append(sizes, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	most := max(s.Withstand.HostsLost, s.Withstand.Zones*perZone)
	sum := 0
	for i := 0; i < s.Withstand.Regions && i < len(sizes); i++ {
		sum += sizes[i]
	}
	return max(most, sum)
}
