// Package config is the load balancer's configuration: the items that operators send (routes, services, limits,
// tenants), the rules by which a change is valid, and the rule by which it is committed to the replicated registers.
//
// Every item is stored in a register of its own and carries a version chosen by the operator: the highest version is
// in force, and under one version at most one content is ever confirmed, however often and in whatever order changes
// are sent. See Commit.
//
// The package does no I/O and reads no clock: its callers read and write the registers.
package config

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
)

//go:generate go tool easyjson $GOFILE

// ChangeRequest is the body of a settings.change call: items to set, and items to delete by kind.
//
//easyjson:json
type ChangeRequest struct {
	PutItems ItemList             `json:"putItems"`
	Remove   map[string][]ItemRef `json:"remove"`
}

// ItemList is a list of items with their contents. It is also the answer to settings.read.
//
//easyjson:json
type ItemList struct {
	Items []Item `json:"items"`
}

// Item is one entry of the configuration. Type is one of the kinds; Body stays as it was sent, see DecodeBody.
type Item struct {
	Type     string          `json:"type"`
	Metadata Metadata        `json:"metadata"`
	Body     json.RawMessage `json:"body"`
}

// Metadata is the name and the version of an item. The limits have no name.
type Metadata struct {
	Name    string `json:"name,omitempty"`
	Version string `json:"version"`
}

// ItemRef names an item to delete, and the version under which it is deleted.
type ItemRef struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// RouteBody is the body of a route. Durations are texts that settings.ParseDuration reads. Either Service or
// WeightedServices is set.
//
//easyjson:json
type RouteBody struct {
	Host             string            `json:"host"`
	PathPrefix       string            `json:"pathStart"`
	Kind             string            `json:"kind"` // routeKindIdempotent or routeKindNonIdempotent
	Timeout          string            `json:"giveUp"`
	LatencyTarget    string            `json:"target_time"` // empty: none
	Priority         int               `json:"rank"`        // the lowest goes first
	Service          string            `json:"service"`
	WeightedServices []WeightedService `json:"shares"`
	MaxAttempts      int               `json:"tries"`       // 0 stands for 1
	HomeRegions      []string          `json:"homeRegions"` // empty: served in any region
	Tenant           string            `json:"tenant"`      // empty: none
}

// WeightedService is one of the services of a route. The weights of a route need not add up to one.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ServiceBody is the body of a service.
//
//easyjson:json
type ServiceBody struct {
	HealthCheckPath     string  `json:"checkPath"`
	MaxConnections      int     `json:"maxLinks"`
	WarmUp              string  `json:"warmUp"`       // a duration; empty: none
	WarmUpRatePerSecond float64 `json:"warmingRateS"` // requests per second that a warming backend bears
}

// LimitsBody is the body of the limits: what a client may send. HeaderTimeout and IdleTimeout are durations.
//
//easyjson:json
type LimitsBody struct {
	MaxHeaderBytes int64  `json:"headSizeBytes"`
	MaxBodyBytes   int64  `json:"bodySizeBytes"`
	HeaderTimeout  string `json:"headWait"`
	IdleTimeout    string `json:"quiet"`
}

// TenantBody is the body of a tenant. Its home regions bind all its routes.
//
//easyjson:json
type TenantBody struct {
	HomeRegions []string `json:"homeRegions"`
}

// versionDigits is the length of a version in the protocol: hexadecimal digits.
const versionDigits = 8

// ParseVersion reads a version in the protocol's form: eight hexadecimal digits.
func ParseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 16, 32)
	if err != nil || len(text) != versionDigits {
		return 0, errors.Errorf("version %q: want eight hexadecimal digits", text)
	}
	return version, nil
}

// FormatVersion writes a version in the protocol's form.
func FormatVersion(version uint64) string { return fmt.Sprintf("%0*x", versionDigits, version) }
