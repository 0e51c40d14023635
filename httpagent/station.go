package httpagent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"sagelever/internal/settings/deployment"
	"sagelever/match"
)

// Station is the configuration of one agent: its name, the addresses of its peers and services, its limits and the
// deployment's settings. ReadStation reads it from a file; a program that fills it in itself must call Check.
type Station struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Seed      hexSeed  `json:"seed"`
	Limits    Limits   `json:"limits"`
	PeerAt    string   `json:"peer_listen"`
	Peers     []string `json:"peers"`
	AllPeers  string   `json:"peers_all"`
	Platform  struct {
		Address string          `json:"address"`
		News    json.RawMessage `json:"news"`
	} `json:"platform"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Log      *slog.Logger    `json:"-"` // slog.Default() if nil
	Rules    match.Judge     `json:"-"` // the operator's rules, nil if none

	deploymentSettings map[string]any
}

// Limits are the resource limits of the process; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// hexSeed is a random seed, encoded in JSON as a string of hexadecimal digits.
type hexSeed uint64

// UnmarshalJSON decodes a string of hexadecimal digits.
func (s *hexSeed) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return err
	}
	v, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return fmt.Errorf("seed %q is not hexadecimal", digits)
	}
	*s = hexSeed(v)
	return nil
}

// ReadStation reads and checks a configuration file. If the file does not set the name, the listening address or the
// address of discovery, they are taken from the environment variables GW_NAME, GW_LISTEN and GW_DISCOVERY.
func ReadStation(file string) (*Station, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &Station{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for name, field := range map[string]*string{"GW_NAME": &s.Name, "GW_LISTEN": &s.Listen, "GW_DISCOVERY": &s.Discovery} {
		if *field == "" {
			*field = os.Getenv(name)
		}
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Check validates a station and parses its settings. It must be called before New.
func (s *Station) Check() error {
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.Limits.Cores < 0 || s.Limits.MemoryMB < 0 || s.Limits.Sockets < 0 {
		return fmt.Errorf("limits are below 0: %+v", s.Limits)
	}
	if err := s.parseSettings(); err != nil {
		return err
	}
	if present(s.Known) {
		if _, err := parseBackendList(s.Known, time.Now()); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	if present(s.Platform.News) {
		if _, err := parseRollout(s.Platform.News); err != nil {
			return fmt.Errorf("platform.news: %w", err)
		}
	}
	return nil
}

func (s *Station) checkAddresses() error {
	addresses := map[string]string{"listen": s.Listen, "discovery": s.Discovery}
	optional := map[string]string{
		"peer_listen":      s.PeerAt,
		"peers_all":        s.AllPeers,
		"platform.address": s.Platform.Address,
	}
	for name, address := range optional {
		if address != "" {
			addresses[name] = address
		}
	}
	for i, peer := range s.Peers {
		addresses[fmt.Sprintf("peers[%d]", i)] = peer
	}
	for name, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s is no address with a port: %q", name, address)
		}
	}
	return nil
}

func (s *Station) parseSettings() error {
	if !present(s.Settings) {
		return errors.New("settings are missing")
	}
	var err error
	if s.deploymentSettings, err = deployment.Parse(s.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if workloads, _ := s.deploymentSettings["workloads"].([]string); len(workloads) == 0 {
		return errors.New("settings name no workload (classes)")
	}
	return nil
}

// present reports whether an optional part of the configuration is set.
func present(part json.RawMessage) bool { return len(part) > 0 && string(part) != "null" }

// setting returns one of the deployment's settings, or otherwise if the deployment does not set it.
func setting[T any](s *Station, name string, otherwise T) T {
	if v, ok := s.deploymentSettings[name].(T); ok {
		return v
	}
	return otherwise
}
