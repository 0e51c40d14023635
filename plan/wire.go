// Package plan is the configuration: its items as operators send them, what makes a call valid, and the table that a
// relay routes by. It is pure.
package plan

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
)

// Call is a settings.change call.
//
//easyjson:json
type Call struct {
	PutItems Items            `json:"putItems"`
	Remove   map[string][]Ref `json:"remove"`
}

// Items is a list of whole items, and what settings.read answers.
//
//easyjson:json
type Items struct {
	Items []Item `json:"items"`
}

// Item is one entry of the configuration. Its body is kept as it was sent.
type Item struct {
	Type     string          `json:"type"`
	Metadata Meta            `json:"metadata"`
	Body     json.RawMessage `json:"body"`
}

// Meta names an item; the limits have no name.
type Meta struct {
	Name    string `json:"name,omitempty"`
	Version string `json:"version"`
}

// Ref names an item that is dropped.
type Ref struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Route is the body of a route.
//
//easyjson:json
type Route struct {
	Host        string   `json:"host"`
	PathStart   string   `json:"pathStart"`
	Kind        string   `json:"kind"`
	GiveUp      string   `json:"giveUp"`
	TargetTime  string   `json:"target_time"`
	Rank        int      `json:"rank"`
	Service     string   `json:"service"`
	Shares      []Share  `json:"shares"`
	Tries       int      `json:"tries"`
	HomeRegions []string `json:"homeRegions"`
	Tenant      string   `json:"tenant"`
}

// Share is a service's part of a route.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is the body of a service.
//
//easyjson:json
type Service struct {
	CheckPath    string  `json:"checkPath"`
	MaxLinks     int     `json:"maxLinks"`
	WarmUp       string  `json:"warmUp"`
	WarmingRateS float64 `json:"warmingRateS"`
}

// Limits is the body of the limits.
//
//easyjson:json
type Limits struct {
	HeadSizeBytes int64  `json:"headSizeBytes"`
	BodySizeBytes int64  `json:"bodySizeBytes"`
	HeadWait      string `json:"headWait"`
	Quiet         string `json:"quiet"`
}

// Tenant is the body of a tenant.
//
//easyjson:json
type Tenant struct {
	HomeRegions []string `json:"homeRegions"`
}

// ParseVersion reads a version: hexadecimal digits, eight as the protocol has it.
func ParseVersion(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 16, 32)
	if err != nil || len(text) != 8 {
		return 0, errors.Errorf("version %q: want eight hexadecimal digits", text)
	}
	return v, nil
}

// FormatVersion writes a version as the protocol has it.
func FormatVersion(v uint64) string { return fmt.Sprintf("%08x", v) }
