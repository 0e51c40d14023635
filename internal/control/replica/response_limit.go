package replica

import (
	"cmp"
	"slices"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

const (
	// defaultMaxResponseBytes is used if Config.MaxResponseBytes is not set.
	defaultMaxResponseBytes = 192 << 10

	// itemOverheadBytes is an upper bound on the encoded size of an item without its key and body.
	itemOverheadBytes = 48
)

// limitResponse truncates the items of a response to maxBytes; the sender pulls the remaining ones immediately. The
// items of each origin are sent in the order of their sequence numbers, so that the response's progress can end before
// the first omitted item. A complete response to a proxy is not truncated, because the proxy treats it as the full
// state.
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
			response.ExcludeFromProgress(response.Items[i:], request.Progress)
			response.Items = response.Items[:i]
			response.Truncated = true
			return
		}
	}
}
