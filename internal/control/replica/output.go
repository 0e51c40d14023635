package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Output contains the actions that the caller must carry out after a step. Saves must be handed to the disk in order
// and before the next step; the other actions are unordered.
type Output struct {
	Requests    []OutgoingRequest
	Saves       []Save
	Responses   []OutgoingResponse
	Completions []Completion
	LogEntries  []LogEntry
	// DeletedKeys are the keys of dropped items, which must be deleted from the disk.
	DeletedKeys []string
	// PullNow lists replicas that have just been found to be up. A pull from them that is in progress may hang, so they
	// should be pulled from immediately. A replica that is not a member should be asked for the members.
	PullNow []message.Member
	// NotifyAfter is the delay after which to check the pending pulls again; negative if nothing has changed for them.
	NotifyAfter time.Duration
}

// OutgoingRequest is a message to another member. Its response goes to HandleResponse under the same ID.
type OutgoingRequest struct {
	ID      uint64
	To      message.Member
	Path    string
	Request *message.PeerRequest
}

// Save is a disk write. The caller must call HandleSaved with its ID once all of it is on disk, or has failed.
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

// Completion reports the end of an operation that the caller has started.
type Completion struct {
	OperationID uint64
	Values      map[string]quorum.Value // the chosen values, by register
	Err         error
}

// LogEntry is a log entry about a change of state.
type LogEntry struct {
	Message string
	Fields  []LogField
}

// LogField is a named value of a LogEntry.
type LogField struct {
	Key   string
	Value string
}

// TakeOutput returns and clears the output of the steps since the last call.
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

// deleteFromDisk schedules an item to be deleted from the disk.
func (r *Replica) deleteFromDisk(key string) {
	r.output.DeletedKeys = append(r.output.DeletedKeys, key)
}

// notifyAfter schedules a check of the pending pulls after a delay, unless an earlier check is already scheduled.
func (r *Replica) notifyAfter(delay time.Duration) {
	if r.output.NotifyAfter < 0 || delay < r.output.NotifyAfter {
		r.output.NotifyAfter = delay
	}
}
