package protocol

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/agent/api"
)

// Reply holds the actions of one instance.
type Reply struct {
	Instance string
	Actions  []api.Action
}

// PolicyFailure takes the place of an action if the policy panicked.
type PolicyFailure struct{ Text string }

// WriteReplies writes the replies to a batch and flushes them. It panics if the type of an action is unknown.
func WriteReplies(w *bufio.Writer, replies []Reply) error {
	for _, reply := range replies {
		for _, action := range reply.Actions {
			if !writeTransactionAction(w, reply.Instance, action) {
				writeAgentAction(w, reply.Instance, action)
			}
		}
	}
	fmt.Fprintln(w, "YIELD")
	return w.Flush() // also returns the first error of the writes above
}

// writeTransactionAction writes an action that concerns a transaction. It returns false for any other action.
func writeTransactionAction(w *bufio.Writer, instance string, action api.Action) bool {
	switch a := action.(type) {
	case api.StartAttempt:
		fmt.Fprintf(w, "PLACE %s %s %d %s\n", instance, a.Transaction, a.Backend, formatMilliseconds(a.Timeout))
	case api.CancelAttempt:
		fmt.Fprintf(w, "CANCEL %s %s %d\n", instance, a.Transaction, a.Attempt)
	case api.DeferTransaction:
		fmt.Fprintf(w, "BOUNCE %s %s %s\n", instance, a.Transaction, formatMilliseconds(a.RetryAfter))
	case api.FailTransaction:
		fmt.Fprintf(w, "FINISH_ERROR %s %s\n", instance, a.Transaction)
	default:
		return false
	}
	return true
}

// writeAgentAction writes an action that does not concern a transaction.
func writeAgentAction(w *bufio.Writer, instance string, action api.Action) {
	switch a := action.(type) {
	case api.SetTimer:
		fmt.Fprintf(w, "SCHEDULE %s %s %d\n", instance, formatMilliseconds(a.After), a.Timer)
	case api.CheckHealth:
		fmt.Fprintf(w, "INSPECT %s %d\n", instance, a.Backend)
	case api.CloseIdleConnections:
		fmt.Fprintf(w, "FREE_LINKS %s %d\n", instance, a.Backend)
	case api.SendMessage:
		fmt.Fprintf(w, "WRITE_PEER %s %s %s\n", instance, formatReceiver(a), formatData(a.Data))
	case api.WatchBackends:
		fmt.Fprintf(w, "TAIL %s %d\n", instance, formatBoolean(a.On))
	case api.FetchBackends:
		fmt.Fprintf(w, "GET_LIST %s\n", instance)
	case api.CastVote:
		fmt.Fprintf(w, "VOTE %s %d %d %d\n", instance, a.Build, a.Stage, a.Verdict)
	case api.LogLine:
		fmt.Fprintf(w, "LOG %s %s\n", instance, replaceLineBreaks(a.Text))
	case PolicyFailure:
		fmt.Fprintf(w, "BUG %s %s\n", instance, replaceLineBreaks(a.Text))
	default:
		panic(fmt.Sprintf("protocol: unknown action type %T", action))
	}
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}

func formatReceiver(message api.SendMessage) string {
	if message.All {
		return "all"
	}
	return strconv.Itoa(int(message.To))
}

func formatData(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return hex.EncodeToString(data)
}

func formatBoolean(value bool) int {
	if value {
		return 1
	}
	return 0
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

func replaceLineBreaks(text string) string { return lineBreaks.Replace(text) }
