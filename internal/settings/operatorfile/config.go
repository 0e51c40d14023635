// Package operatorfile reads the operator's configuration of an agent: an INI file in addition to the settings that the
// platform writes. Unknown names and invalid values are errors with a line and column, so that a misspelled key does
// not silently leave the default in effect.
package operatorfile

import (
	"errors"
	"time"

	"gopkg.in/ini.v1"

	"sagelever/match"
	"sagelever/match/rules"
)

// MaxBytes is the maximum size of the file. 10,000 ordinary rules take 2 MB.
const MaxBytes = 4 << 20

// Config is the content of the file.
type Config struct {
	Match struct {
		// Budget bounds the time that evaluating the rules for one message may take.
		Budget time.Duration `ini:"budget" validate:"min=1us,max=10ms"`
	}
	WebSocket WebSocket
	Rules     []rules.Rule // in the order of the file
	RuleSet   *rules.Set   // the compiled rules, or nil if the file has none
}

// WebSocket configures the listener for WebSocket clients, and the connections to backends that it uses.
type WebSocket struct {
	// Path is the URL path on which clients upgrade. If it is empty, the listener is disabled.
	Path string `ini:"path" validate:"omitempty,startswith=/"`
	// BackendPath is the URL path on which backends accept the upgrade. If it is empty, Path is used.
	BackendPath string `ini:"appliances" validate:"omitempty,startswith=/"`
	// MaxInFlightPerConnection bounds the open requests of one client connection.
	MaxInFlightPerConnection int `ini:"in_flight" validate:"min=1,max=4096"`
	// MaxInFlight bounds the open requests of all client connections.
	MaxInFlight int `ini:"all" validate:"min=1,max=1048576"`
	// MaxUnsent bounds the messages that are queued for a client that does not read.
	MaxUnsent int `ini:"unsent" validate:"min=8,max=65536"`
	// Heartbeat is the interval between pings.
	Heartbeat time.Duration `ini:"heartbeat" validate:"min=1s,max=10m"`
	// ConnectionsPerBackend bounds the connections to one backend.
	ConnectionsPerBackend int `ini:"links" validate:"min=1,max=64"`
}

// defaultWebSocket holds the values of keys that are missing from the file.
var defaultWebSocket = WebSocket{
	MaxInFlightPerConnection: 64,
	MaxInFlight:              4096,
	MaxUnsent:                128,
	Heartbeat:                15 * time.Second,
	ConnectionsPerBackend:    2,
}

// loadOptions make the INI library return values unchanged, because expressions contain quotes, percent signs,
// semicolons and backslashes. Duplicate keys and sections are kept, so that they can be reported.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// Read parses the content of a file and compiles its rules for a deployment. The name is used only in errors. The error
// is a *ParseError, or several of them joined.
func Read(name string, data []byte, deployment match.Deployment) (*Config, error) {
	doc := newDocument(name, data)
	if len(data) > MaxBytes {
		return nil, doc.errorAt(position{}, "the file has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, doc.errorAt(doc.locateSyntaxError(err), "%v", err)
	}
	d := newDecoder(doc)
	d.decodeFile(file)
	if len(d.errs) > 0 {
		return nil, errors.Join(d.errs...)
	}
	if err := d.compileRules(deployment); err != nil {
		return nil, err
	}
	return d.config, nil
}
