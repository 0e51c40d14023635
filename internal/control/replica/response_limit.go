package replica

import (
	"cmp"
	"slices"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// maxResponseBytes bounds the items of one answer to a pull; one item may be longer. What is left over goes with the next pull, which
// comes at once.
const maxResponseBytes = 192 << 10

// itemOverheadBytes bounds the bytes of an item in a message beside its key and body.
const itemOverheadBytes = 48

// truncateResponse cuts an answer to its bound, and has it claim no more than it tells: of each origin the items go out in the order of
// their numbers, so that one that has taken these has come as far as the first that is left over. An agent that is told all takes
// that for all there is, and is told it in one answer.
func truncateResponse(response *message.PullResponse, request *message.PullRequest) {
	if response.Complete && request.Role != message.RoleController {
		return
	}
	slices.SortStableFunc(response.Items, func(first, second replication.Item) int {
		if first.OriginIndex != second.OriginIndex {
			return first.OriginIndex - second.OriginIndex
		}
		return cmp.Compare(first.Sequence, second.Sequence)
	})
	size := 0
	for i, item := range response.Items {
		size += itemOverheadBytes + len(item.Key) + len(item.Body)
		if size > maxResponseBytes && i > 0 {
			response.WithdrawProgress(response.Items[i:], request.Progress)
			response.Items = response.Items[:i]
			return
		}
	}
}
