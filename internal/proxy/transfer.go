package proxy

import (
	"maps"

	"sagelever/internal/control/replication"
)

// transfer is the state of a response that a controller sends in several parts, each in a pull of its own. Until the
// last part has arrived, the progress of the parts is only a cursor into this controller's response. It must not be
// sent to another controller, which may hold items of the missing parts under a different origin.
type transfer struct {
	addr   string             // of the controller
	base   replication.Vector // the progress of the request for the first part
	cursor replication.Vector // the position at which the next part begins
}

// newTransfer returns the transfer whose first part is the response to pull.
func newTransfer(pull answeredPull) *transfer {
	t := &transfer{addr: pull.addr, base: pull.request.Progress, cursor: maps.Clone(pull.request.Progress)}
	if t.cursor == nil {
		t.cursor = replication.Vector{}
	}
	t.advance(pull.response.Progress)
	return t
}

// advance merges the progress of a part into the cursor.
func (t *transfer) advance(progress replication.Vector) {
	for origin, sequence := range progress {
		t.cursor[origin] = max(t.cursor[origin], sequence)
	}
}

// recordPart records a part of a response that is sent in several parts, and returns false for any other response. The
// last part adds the progress of all parts to s.progress, provided that s.progress still covers the transfer's base.
// The caller must hold s.mu.
func (s *subscription) recordPart(pull answeredPull) bool {
	continues := pull.transfer != nil && pull.transfer == s.transfer
	switch {
	case continues && pull.response.Truncated:
		s.transfer.advance(pull.response.Progress)
	case continues:
		s.transfer.advance(pull.response.Progress)
		if s.progress.Covers(s.transfer.base) {
			s.advanceProgress(s.transfer.cursor, pull.response.DroppedOrigins)
		}
		s.transfer = nil
	case pull.response.Truncated:
		s.transfer = newTransfer(pull)
	default:
		return false
	}
	return true
}
