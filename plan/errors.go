package plan

import "fmt"

// Invalid is an order that can't be taken: by its own words, or by what it would leave in force. Nothing of it comes into
// force.
type Invalid struct{ Reason error }

func (e *Invalid) Error() string { return e.Reason.Error() }

// Unwrap is the reason.
func (e *Invalid) Unwrap() error { return e.Reason }

// Conflict is a call that sends an item under a version that another content was confirmed under. Nothing of it comes into
// force.
type Conflict struct {
	Kind, Name string
	Version    uint64
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("%s %s: another content was confirmed under version %s", e.Kind, e.Name, FormatVersion(e.Version))
}

// Unclear is an order of which can't be told whether it was taken, so that it is neither confirmed nor refused.
type Unclear struct{ Reason string }

func (e *Unclear) Error() string { return e.Reason }
