// Package plan is the configuration: its items as operators send them, what makes a call valid, and the table that a
// relay routes by. It is pure.
package config

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
)

// ChangeRequest is a settings.change call.
//
//easyjson:json
type ChangeRequest struct {
	PutItems ItemList             `json:"putItems"`
	Remove   map[string][]ItemRef `json:"remove"`
}

// ItemList is a list of whole items, and what settings.read answers.
//
//easyjson:json
type ItemList struct {
	Items []Item `json:"items"`
}

// Item is one entry of the configuration. Its body is kept as it was sent.
type Item struct {
	Type     string          `json:"type"`
	Metadata Metadata        `json:"metadata"`
	Body     json.RawMessage `json:"body"`
}

// Metadata names an item; the limits have no name.
type Metadata struct {
	Name    string `json:"name,omitempty"`
	Version string `json:"version"`
}

// ItemRef names an item that is dropped.
type ItemRef struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// RouteBody is the body of a route.
//
//easyjson:json
type RouteBody struct {
	Host             string            `json:"host"`
	PathPrefix       string            `json:"pathStart"`
	Kind             string            `json:"kind"`
	Timeout          string            `json:"giveUp"`
	LatencyTarget    string            `json:"target_time"`
	Priority         int               `json:"rank"`
	Service          string            `json:"service"`
	WeightedServices []WeightedService `json:"shares"`
	MaxAttempts      int               `json:"tries"`
	HomeRegions      []string          `json:"homeRegions"`
	Tenant           string            `json:"tenant"`
}

// WeightedService is a service's part of a route.
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
	WarmUp              string  `json:"warmUp"`
	WarmUpRatePerSecond float64 `json:"warmingRateS"`
}

// LimitsBody is the body of the limits.
//
//easyjson:json
type LimitsBody struct {
	MaxHeaderBytes int64  `json:"headSizeBytes"`
	MaxBodyBytes   int64  `json:"bodySizeBytes"`
	HeaderTimeout  string `json:"headWait"`
	IdleTimeout    string `json:"quiet"`
}

// TenantBody is the body of a tenant.
//
//easyjson:json
type TenantBody struct {
	HomeRegions []string `json:"homeRegions"`
}

// ParseVersion reads a version: hexadecimal digits, eight as the protocol has it.
func ParseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 16, 32)
	if err != nil || len(text) != 8 {
		return 0, errors.Errorf("version %q: want eight hexadecimal digits", text)
	}
	return version, nil
}

// FormatVersion writes a version as the protocol has it.
func FormatVersion(version uint64) string { return fmt.Sprintf("%08x", version) }
