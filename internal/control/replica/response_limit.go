package replica

import (
	"cmp"
	"slices"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

const (
	// defaultMaxResponseBytes is Config.MaxResponseBytes where that is not set.
	defaultMaxResponseBytes = 192 << 10

	// itemOverheadBytes bounds the encoded size of an item beside its key and body.
	itemOverheadBytes = 48
)

// limitResponse leaves out the items beyond maxBytes; the sender pulls the rest at once. Within each origin
// the items are sent in the order of their sequence numbers, so that the response's progress can end before the first
// that is left out. A complete response to a proxy is not limited, because the proxy takes it for all there is.
func limitResponse(response *message.PullResponse, request *message.PullRequest, maxBytes int) {
	if response.Complete && request.Role != message.RoleController {
		return
	}
	slices.SortStableFunc(response.Items, func(a, b replication.Item) int {
		if a.OriginIndex != b.OriginIndex {
			return a.OriginIndex - b.OriginIndex
		}
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	size := 0
	for i, item := range response.Items {
		size += itemOverheadBytes + len(item.Key) + len(item.Body)
		if size > maxBytes && i > 0 {
			response.WithdrawProgress(response.Items[i:], request.Progress)
			response.Items = response.Items[:i]
			response.Truncated = true
			return
		}
	}
}
