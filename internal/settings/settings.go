// Package settings reads the settings file that the platform provides to each proxy and controller, and reports invalid
// fields by name.
package settings

import (
	"os"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
)

//go:generate go tool easyjson $GOFILE

// DefaultPath is the path of the settings file if the environment variable PathVariable is not set.
const DefaultPath = "/etc/sagelever/boot.json"

// PathVariable is the environment variable that names the settings file.
const PathVariable = "SAGELEVER_CONFIG"

// Settings is the content of the settings file. Fields of the file that are not declared here are ignored.
//
//easyjson:json
type Settings struct {
	Node            string            `json:"node"`    // name of this machine, unique in the deployment
	Role            string            `json:"role"`    // name of the role in the deploy file
	Handles         []string          `json:"handles"` // names of what this machine serves, as in the deploy file
	IP              string            `json:"ip"`      // address on which other nodes reach this machine
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`     // if empty, the zone's region
	Zones           map[string]string `json:"zones"`      // the region of each zone
	ListenAddresses map[string]string `json:"listens"`    // host:port by the name of what is served there
	PeerPortRange   []int             `json:"sparePorts"` // first and last port for calls between nodes
	// SeedAddresses are the addresses of controllers that a node contacts first to find the control group.
	SeedAddresses []string `json:"firstContacts"`
	// FreshStart makes a controller with an empty disk a member of the initial control group. Otherwise a controller
	// with an empty disk waits until the members add it.
	FreshStart        bool           `json:"freshStart"`
	CountsAsLoss      bool           `json:"countsAsLoss"` // not applied
	Resources         ResourceLimits `json:"limits"`
	DataDir           string         `json:"dataFolder"` // directory of a controller's state
	HeartbeatInterval string         `json:"pulse"`      // in the format of ParseDuration
	FaultTolerance    FaultTolerance `json:"withstand"`
	LimitsTable       []string       `json:"limitsTable"` // entries of the form name=value

	RuleLimits RuleLimits `json:"-"` // the parsed LimitsTable and HeartbeatInterval
}

// ResourceLimits holds the resources of its machine that a process may use. Only MemoryMB, in mebibytes, is applied.
type ResourceLimits struct {
	CPUShare  float64 `json:"cpuPart"`
	MemoryMB  int     `json:"ramMb"`
	OpenFiles int     `json:"openFiles"`
	StorageMB int     `json:"storageMb"`
}

// FaultTolerance holds the number of machines, zones or regions that may fail at once while the system keeps all its
// guarantees. The three numbers are alternatives: failures of different kinds need not be tolerated together.
type FaultTolerance struct {
	Hosts   int `json:"hostsLost"`
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
}

// Path returns the path of this process's settings file.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and validates a settings file. The error of an invalid field is a *FieldError.
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

// Parse parses and validates the content of a settings file. The error of an invalid field is a *FieldError.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := easyjson.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	if err := s.parseRuleLimits(); err != nil {
		return nil, err
	}
	return s, nil
}

// validate checks the fields that every role requires.
func (s *Settings) validate() error {
	switch {
	case s.Node == "":
		return &FieldError{"node", errMissing}
	case s.IP == "":
		return &FieldError{"ip", errMissing}
	case s.Zone == "" || s.Zones[s.Zone] == "":
		return &FieldError{"zone", errors.Errorf("%q is not among zones", s.Zone)}
	case !validPortRange(s.PeerPortRange):
		return &FieldError{"sparePorts", errPortRange}
	case len(s.SeedAddresses) == 0:
		return &FieldError{"firstContacts", errMissing}
	}
	return nil
}

// parseRuleLimits sets RuleLimits from the fields of the file.
func (s *Settings) parseRuleLimits() error {
	limits, err := parseLimitsTable(s.LimitsTable)
	if err != nil {
		return &FieldError{"limitsTable", err}
	}
	limits.HeartbeatInterval, err = ParseDuration(s.HeartbeatInterval)
	if err != nil {
		return &FieldError{"pulse", err}
	}
	s.RuleLimits = limits
	return nil
}

// validPortRange reports whether a range consists of a first and a higher last TCP port.
func validPortRange(ports []int) bool {
	const maxPort = 65535
	return len(ports) == 2 && ports[0] >= 1 && ports[0] < ports[1] && ports[1] <= maxPort
}

// PeerPort returns the port for calls between nodes. It is the same on all machines of a deployment.
func (s *Settings) PeerPort() string { return strconv.Itoa(s.PeerPortRange[0]) }

// ToleratedDiskLosses returns how many controllers may lose their disks at once, given the number of controllers in
// each zone: the maximum over the alternatives of FaultTolerance.
func (s *Settings) ToleratedDiskLosses(perZone int) int {
	byHosts := s.FaultTolerance.Hosts
	byZones := s.FaultTolerance.Zones * perZone
	byRegions := s.largestRegions(perZone, s.FaultTolerance.Regions)
	return max(byHosts, byZones, byRegions)
}

// largestRegions returns the total number of controllers in the count largest regions.
func (s *Settings) largestRegions(perZone, count int) int {
	controllersByRegion := map[string]int{}
	for _, region := range s.Zones {
		controllersByRegion[region] += perZone
	}
	sizes := make([]int, 0, len(controllersByRegion))
	for _, size := range controllersByRegion {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	slices.Reverse(sizes)
	total := 0
	for _, size := range sizes[:min(max(count, 0), len(sizes))] {
		total += size
	}
	return total
}
