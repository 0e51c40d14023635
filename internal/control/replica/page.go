package replica

import (
	"cmp"
	"slices"

	"sagelever/lore"
)

// newsBytes bounds the items of one answer to a pull; one item may be longer. What is left over goes with the next pull, which
// comes at once.
const newsBytes = 192 << 10

// itemText bounds the bytes of an item in a message beside its key and body.
const itemText = 48

// cutNews cuts an answer to its bound, and has it claim no more than it tells: of each origin the items go out in the order of
// their numbers, so that one that has taken these has come as far as the first that is left over. An agent that is told all takes
// that for all there is, and is told it in one answer.
func cutNews(n *News, p *Pull) {
	if n.Whole && p.Role != Core {
		return
	}
	slices.SortStableFunc(n.Items, func(a, b lore.Item) int {
		if a.From != b.From {
			return a.From - b.From
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
	size := 0
	for i, it := range n.Items {
		size += itemText + len(it.Key) + len(it.Body)
		if size > newsBytes && i > 0 {
			n.Unclaim(n.Items[i:], p.Come)
			n.Items = n.Items[:i]
			return
		}
	}
}
