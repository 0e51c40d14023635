package rangesync

import "slices"

// Responder answers requests from an index.
type Responder struct {
	Index  *Index
	Limits Limits
	// EntrySize bounds the bytes that the entry of a key takes in the message.
	EntrySize func(key string) int
}

// Respond answers a request. Asked again it answers by what it holds then.
func (a *Responder) Respond(request *Request) (*Response, error) {
	if !request.valid(a.Limits) {
		return nil, ErrMalformed
	}
	response := &Response{Session: request.Session, Number: request.Number}
	remaining := a.Limits.MaxMessageBytes - headerBytes
	for i, query := range request.Ranges {
		fragment := a.respondRange(query, remaining, len(request.Ranges))
		if fragment.size > remaining && i > 0 {
			break
		}
		response.Ranges = append(response.Ranges, fragment.result)
		response.Keys = append(response.Keys, fragment.keys...)
		remaining -= fragment.size
	}
	return response, nil
}

// responseFragment is the part of an answer that is about one range.
type responseFragment struct {
	result RangeResult
	keys   []string
	size   int // in the message, at most
}

// respondRange answers for one range. A piece that is larger than the room does not fit; the first piece of an answer goes out in
// any case, so that each answer goes on.
func (a *Responder) respondRange(query RangeQuery, remaining, rangeCount int) responseFragment {
	local := a.Index.Summary(query.Range)
	switch {
	case local.Count == 0 || local == query.Summary && !query.WantAll:
		return responseFragment{size: rangeResultBytes}
	case a.shouldSend(query, local):
		return a.sendEntries(query.Range, remaining)
	case rangeCount > 1 || query.Count == 0: // what is empty is filled part by part, and a part with a few keys is not empty
		return a.splitRange(query.Range, local)
	default:
		return a.sendRecentChanges(query, local, remaining)
	}
}

// sendRecentChanges is for a range that is asked for alone, as the first of a comparison is. Where the asker has what this side
// had a while ago, just what has changed since is sent: the earliest first, so that the asker can be found in the history
// again where they do not all fit. Else the latest changes go with the split.
func (a *Responder) sendRecentChanges(query RangeQuery, local Summary, remaining int) responseFragment {
	if keys, known := a.Index.keysChangedSince(query.Range, query.Summary); known {
		slices.Reverse(keys)
		fragment := a.appendEntries(responseFragment{size: rangeResultBytes}, keys, remaining)
		fragment.result.Truncated = len(fragment.keys) < len(keys)
		if len(fragment.keys) > 0 {
			return fragment
		}
	}
	return a.appendEntries(a.splitRange(query.Range, local), a.Index.recentlyChangedKeys(query.Range, a.Limits.RecentKeys), remaining)
}

// appendEntries adds the entries of keys to a piece, as far as they fit.
func (a *Responder) appendEntries(fragment responseFragment, keys []string, remaining int) responseFragment {
	for _, key := range keys {
		size := a.EntrySize(key)
		if fragment.size+size > remaining {
			break
		}
		fragment.size += size
		fragment.keys = append(fragment.keys, key)
	}
	return fragment
}

// shouldSend tells whether the entries of a range are sent rather than compared further.
func (a *Responder) shouldSend(query RangeQuery, local Summary) bool {
	return query.WantAll || local.Count <= a.Limits.SendThreshold || query.Count == 0 && local.Count <= a.Limits.FillThreshold
}

// sendEntries picks the entries from the beginning of a range that fit, and says where to go on. At least one is picked.
func (a *Responder) sendEntries(r Range, remaining int) responseFragment {
	fragment := responseFragment{size: rangeResultBytes}
	a.Index.each(r, func(key string) bool {
		size, rest := a.EntrySize(key), jsonStringSize(key)
		if len(fragment.keys) > 0 && fragment.size+size+rest > remaining {
			fragment.result.ResumeFrom = key
			fragment.size += rest
			return false
		}
		fragment.size += size
		fragment.keys = append(fragment.keys, key)
		return true
	})
	return fragment
}

// splitRange divides a range at about equal counts.
func (a *Responder) splitRange(r Range, local Summary) responseFragment {
	fragment := responseFragment{size: rangeResultBytes}
	skipped := a.Index.root.summaryBefore(r.From).Count
	parts := min(a.Limits.SplitParts, local.Count)
	part := Range{From: r.From}
	for i := 1; i <= parts; i++ {
		part.To = r.To
		if i < parts {
			rank := skipped + local.Count*i/parts
			part.To = shortestSeparator(a.Index.root.keyAt(rank-1), a.Index.root.keyAt(rank))
			fragment.result.SplitKeys = append(fragment.result.SplitKeys, part.To)
			fragment.size += jsonStringSize(part.To)
		}
		sum := a.Index.Summary(part)
		fragment.result.PartCounts = append(fragment.result.PartCounts, sum.Count)
		fragment.result.PartDigests = append(fragment.result.PartDigests, sum.Digest)
		fragment.size += partBytes
		part.From = part.To
	}
	return fragment
}
