// Package operatorfile reads the operator's own configuration of an agent: an INI file beside the settings that the
// platform writes. Whatever is unknown or invalid in it is an error with its line and column, so that a misspelt key
// never passes for a default.
package operatorfile

import (
	"errors"
	"time"

	"gopkg.in/ini.v1"

	"sagelever/match"
	"sagelever/match/rules"
)

// MaxBytes is how large the file may be. Ten thousand ordinary rules take two megabytes.
const MaxBytes = 4 << 20

// Config is the content of the file.
type Config struct {
	Match struct {
		// Budget bounds the time that evaluating the rules for one message may take.
		Budget time.Duration `ini:"budget" validate:"min=1us,max=10ms"`
	}
	WebSocket WebSocket
	Rules     []rules.Rule // in the order of the file
	RuleSet   *rules.Set   // the compiled rules; nil if there are none
}

// WebSocket configures the listener for clients over WebSocket, and the connections to backends that it uses.
type WebSocket struct {
	// Path is where clients upgrade. The listener is off if it is empty.
	Path string `ini:"path" validate:"omitempty,startswith=/"`
	// BackendPath is where backends accept the upgrade. If it is empty, it is Path.
	BackendPath string `ini:"appliances" validate:"omitempty,startswith=/"`
	// MaxInFlightPerConnection bounds the open requests of one client connection.
	MaxInFlightPerConnection int `ini:"in_flight" validate:"min=1,max=4096"`
	// MaxInFlight bounds the open requests of all client connections.
	MaxInFlight int `ini:"all" validate:"min=1,max=1048576"`
	// MaxUnsent bounds the messages that wait for a client that does not read.
	MaxUnsent int `ini:"unsent" validate:"min=8,max=65536"`
	// Heartbeat is the interval between pings.
	Heartbeat time.Duration `ini:"heartbeat" validate:"min=1s,max=10m"`
	// ConnectionsPerBackend bounds the connections to one backend.
	ConnectionsPerBackend int `ini:"links" validate:"min=1,max=64"`
}

// defaultWebSocket holds the values of keys that the file leaves out.
var defaultWebSocket = WebSocket{
	MaxInFlightPerConnection: 64,
	MaxInFlight:              4096,
	MaxUnsent:                128,
	Heartbeat:                15 * time.Second,
	ConnectionsPerBackend:    2,
}

// loadOptions make the INI library take values as they are written: expressions contain quotes, percent signs,
// semicolons and backslashes of their own. Duplicates are kept, so that they can be reported.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// Read parses the content of a file and compiles its rules for a deployment. The name appears in errors only. An error
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
