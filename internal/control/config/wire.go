// Package config defines the load balancer's configuration: the items that operators send (routes, services, limits,
// tenants), the validation of changes, and the function that commits a change to the replicated registers.
//
// Every item is stored in a register of its own and has a version chosen by the operator. The highest version is in
// force, and at most one content is ever confirmed under a version, no matter how often and in which order changes are
// sent. See Commit.
//
// The package does no I/O and reads no clock; its callers read and write the registers.
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

// ItemList is a list of items with their contents. It is also the response to settings.read.
//
//easyjson:json
type ItemList struct {
	Items []Item `json:"items"`
}

// Item is one entry of the configuration. Type is one of the kinds; Body is the JSON as sent, which DecodeBody decodes.
type Item struct {
	Type     string          `json:"type"`
	Metadata Metadata        `json:"metadata"`
	Body     json.RawMessage `json:"body"`
}

// Metadata holds the name and the version of an item. The limits have no name.
type Metadata struct {
	Name    string `json:"name,omitempty"`
	Version string `json:"version"`
}

// ItemRef names an item to delete, and the version under which it is deleted.
type ItemRef struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// RouteBody is the body of a route. Durations are strings in the format of settings.ParseDuration. Either Service or
// WeightedServices is set.
//
//easyjson:json
type RouteBody struct {
	Host             string            `json:"host"`
	PathPrefix       string            `json:"pathStart"`
	Kind             string            `json:"kind"` // routeKindIdempotent or routeKindNonIdempotent
	Timeout          string            `json:"giveUp"`
	LatencyTarget    string            `json:"target_time"` // empty: none
	Priority         int               `json:"rank"`        // requests with the lowest value are sent first
	Service          string            `json:"service"`
	WeightedServices []WeightedService `json:"shares"`
	MaxAttempts      int               `json:"tries"`       // 0 means 1
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
	WarmUpRatePerSecond float64 `json:"warmingRateS"` // requests per second that a backend can serve while warming up
}

// LimitsBody is the body of the limits on client requests. HeaderTimeout and IdleTimeout are durations.
//
//easyjson:json
type LimitsBody struct {
	MaxHeaderBytes int64  `json:"headSizeBytes"`
	MaxBodyBytes   int64  `json:"bodySizeBytes"`
	HeaderTimeout  string `json:"headWait"`
	IdleTimeout    string `json:"quiet"`
}

// TenantBody is the body of a tenant. Its home regions restrict all its routes.
//
//easyjson:json
type TenantBody struct {
	HomeRegions []string `json:"homeRegions"`
}

// versionDigits is the number of hexadecimal digits of a version in the protocol.
const versionDigits = 8

// ParseVersion parses a version in the protocol's format: eight hexadecimal digits.
func ParseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 16, 32)
	if err != nil || len(text) != versionDigits {
		return 0, errors.Errorf("version %q: want eight hexadecimal digits", text)
	}
	return version, nil
}

// FormatVersion formats a version in the protocol's format.
func FormatVersion(version uint64) string { return fmt.Sprintf("%0*x", versionDigits, version) }
