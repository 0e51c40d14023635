package proxy

import (
	"maps"

	"sagelever/internal/control/replication"
)

// transfer is a response to a pull that comes in several parts, each of them pulled by itself from the same controller.
// The progress of the parts counts with the last one: before, it only says where the next part begins, and proves
// nothing to other controllers.
type transfer struct {
	addr   string             // of the controller
	base   replication.Vector // the progress of the request for the first part
	cursor replication.Vector // where the next part begins
}

// newTransfer returns the transfer that the first part of a response begins.
func newTransfer(pull answeredPull) *transfer {
	t := &transfer{addr: pull.addr, base: pull.request.Progress, cursor: maps.Clone(pull.request.Progress)}
	if t.cursor == nil {
		t.cursor = replication.Vector{}
	}
	t.advance(pull.response.Progress)
	return t
}

// advance adds the progress of a part.
func (t *transfer) advance(progress replication.Vector) {
	for origin, sequence := range progress {
		t.cursor[origin] = max(t.cursor[origin], sequence)
	}
}

// recordPart takes a part of a response. It reports false for a response that is whole. With the last part the progress
// of all counts, unless the proxy has given up since what the first one builds on. The caller holds s.mu.
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
