package replica

import (
	"maps"
	"time"

	"sagelever/internal/control/message"
)

// transfer is a response to a pull that comes in several parts, each of them pulled by itself from the same member. Its
// parts count together, with the last one: the progress of a part only says where the next one begins. It proves nothing
// to other members, because an item that was left out may have been published by another origin as well, whose progress
// covers it.
type transfer struct {
	request  *message.PullRequest // for the first part
	whole    *message.PullResponse
	lastPart time.Time
}

// isStuck reports whether the next part is overdue.
func (t *transfer) isStuck(now time.Time) bool { return now.Sub(t.lastPart) > PeerTimeout }

// transferFrom returns the transfer from a member that is under way, or nil.
func (r *Replica) transferFrom(now time.Time, node string) *transfer {
	current := r.transfers[node]
	if current != nil && current.isStuck(now) {
		delete(r.transfers, node)
		return nil
	}
	return current
}

// awaitsEverything reports whether another member than the one named, which has not begun to, is sending everything that
// it holds, so that this one had better wait with it.
func (r *Replica) awaitsEverything(now time.Time, node string) bool {
	if r.transferFrom(now, node) != nil {
		return false
	}
	for source := range r.transfers {
		if current := r.transferFrom(now, source); current != nil && current.whole.Complete {
			return true
		}
	}
	return false
}

// assemble takes a response, or a part of one. It returns the whole response with the request for its first part, or nil
// as long as parts are missing.
func (r *Replica) assemble(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse,
) (first *message.PullRequest, whole *message.PullResponse) {
	if from.Node == "" || request.MembersOnly {
		return request, response
	}
	current := r.transferFrom(now, from.Node)
	continues := current != nil && request.Transfer == current.whole && response.Source == current.whole.Source
	switch {
	case continues:
		current.whole.Append(response)
	case response.Truncated:
		current = &transfer{request: request, whole: response}
		if response.Progress == nil {
			response.Progress = map[string]uint64{}
		}
		for origin, sequence := range request.Progress {
			response.Progress[origin] = max(response.Progress[origin], sequence)
		}
	default:
		return request, response
	}
	if response.Truncated {
		current.lastPart = now
		r.transfers[from.Node] = current
		return nil, nil
	}
	delete(r.transfers, from.Node)
	return current.request, current.whole
}

// continueTransfer has a pull ask for the next part of a transfer. It reports false where there is none.
func (r *Replica) continueTransfer(now time.Time, node string, request *message.PullRequest) bool {
	current := r.transferFrom(now, node)
	if current == nil {
		return false
	}
	request.Progress = maps.Clone(current.whole.Progress)
	request.Transfer = current.whole
	return true
}
