package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Output is what the caller has to carry out after a step. Saves must be handed to the disk in their order and before
// the next step; the rest has no order.
type Output struct {
	Requests    []OutgoingRequest
	Saves       []Save
	Responses   []OutgoingResponse
	Completions []Completion
	LogEntries  []LogEntry
	// DeletedKeys are the keys of items that are no longer held, to be removed from the disk.
	DeletedKeys []string
	// PullNow lists replicas that have just shown to be up. A pull of them that is under way may hang; they are best
	// pulled at once or, if they are no members, asked who the members are.
	PullNow []message.Member
	// NotifyAfter is when to check the pending pulls again; negative where there is nothing new for them.
	NotifyAfter time.Duration
}

// OutgoingRequest is a message to another member. Its response goes to HandleResponse under the same ID.
type OutgoingRequest struct {
	ID      uint64
	To      message.Member
	Path    string
	Request *message.PeerRequest
}

// Save is a disk write. HandleSaved is to be called with its ID once all of it is on disk, or has failed.
type Save struct {
	ID          uint64
	Entries     []quorum.Entry
	MinProposal *quorum.ProposalNumber
	Identity    *Identity
}

// OutgoingResponse answers a call of HandleRequest.
type OutgoingResponse struct {
	CallID   uint64
	Response *message.PeerResponse
	Err      error
}

// Completion reports the end of an operation that the caller began.
type Completion struct {
	OperationID uint64
	Values      map[string]quorum.Value // the chosen values, by register
	Err         error
}

// LogEntry describes a change of state.
type LogEntry struct {
	Message string
	Fields  []LogField
}

// LogField is a named value of a LogEntry.
type LogField struct {
	Key   string
	Value string
}

// TakeOutput returns what the steps since the last call have produced.
func (r *Replica) TakeOutput() Output {
	output := r.output
	r.output = Output{NotifyAfter: -1}
	return output
}

// logEvent adds a log entry.
func (r *Replica) logEvent(text string, fields ...LogField) {
	r.output.LogEntries = append(r.output.LogEntries, LogEntry{text, fields})
}

func formatMs(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// deleteFromDisk lists an item's key among those to be removed from the disk.
func (r *Replica) deleteFromDisk(key string) {
	r.output.DeletedKeys = append(r.output.DeletedKeys, key)
}

// notifyAfter has the pending pulls checked again after a delay, or earlier where that is due already.
func (r *Replica) notifyAfter(delay time.Duration) {
	if r.output.NotifyAfter < 0 || delay < r.output.NotifyAfter {
		r.output.NotifyAfter = delay
	}
}
