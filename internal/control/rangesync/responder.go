package rangesync

import "slices"

// Responder replies to the requests of initiators. It keeps no state between requests.
type Responder struct {
	Index  *Index
	Limits Limits
	// EntrySize returns an upper bound of the bytes that the entry of a key takes in a message.
	EntrySize func(key string) int
}

// Respond replies to a request from the current state of the index. It returns ErrMalformed if the request is invalid.
func (p *Responder) Respond(request *Request) (*Response, error) {
	if !request.valid(p.Limits) {
		return nil, ErrMalformed
	}
	response := &Response{Session: request.Session, Number: request.Number}
	remaining := p.Limits.MaxMessageBytes - headerBytes
	for i, query := range request.Ranges {
		fragment := p.respondRange(query, remaining, len(request.Ranges))
		// The first fragment is sent in any case, so that every response makes progress.
		if fragment.size > remaining && i > 0 {
			break
		}
		response.Ranges = append(response.Ranges, fragment.result)
		response.Keys = append(response.Keys, fragment.keys...)
		remaining -= fragment.size
	}
	return response, nil
}

// responseFragment is the part of a response that covers one range.
type responseFragment struct {
	result RangeResult
	keys   []string // whose entries are sent
	size   int      // upper bound of its bytes in the message
}

// respondRange replies for one range of a request with rangeCount ranges. The fragment may be larger than the remaining
// bytes of the message.
func (p *Responder) respondRange(query RangeQuery, remaining, rangeCount int) responseFragment {
	local := p.Index.Summary(query.Range)
	switch {
	case local.Count == 0 || local == query.Summary && !query.WantAll:
		return responseFragment{size: rangeResultBytes}
	case p.shouldSend(query, local):
		return p.sendEntries(query.Range, remaining)
	case rangeCount > 1 || query.Count == 0:
		// Recent changes are only sent when a session starts, which is with a single range. They are not sent to an
		// initiator without entries, because parts are sent whole (FillThreshold) only while it has none in them.
		return p.splitRange(query.Range, local)
	default:
		return p.sendRecentChanges(query, local, remaining)
	}
}

// shouldSend reports whether the entries of a range are sent rather than compared further.
func (p *Responder) shouldSend(query RangeQuery, local Summary) bool {
	if query.WantAll || local.Count <= p.Limits.SendThreshold {
		return true
	}
	return query.Count == 0 && local.Count <= p.Limits.FillThreshold
}

// sendEntries sends as many entries as fit from the beginning of a range, at least one, and where to resume.
func (p *Responder) sendEntries(r Range, remaining int) responseFragment {
	fragment := responseFragment{size: rangeResultBytes}
	p.Index.each(r, func(key string) bool {
		entrySize := p.EntrySize(key)
		resumeSize := jsonStringSize(key)
		if len(fragment.keys) > 0 && fragment.size+entrySize+resumeSize > remaining {
			fragment.result.ResumeFrom = key
			fragment.size += resumeSize
			return false
		}
		fragment.size += entrySize
		fragment.keys = append(fragment.keys, key)
		return true
	})
	return fragment
}

// sendRecentChanges replies for a range that is queried alone, as the first one of a session is. If the initiator's
// summary is an earlier one of this side, only the entries that have changed since are sent. They are sent in the order
// of the changes, so that the initiator's next summary is found in the history again if they do not all fit. Otherwise
// the range is split, and the latest changes are sent with the split.
func (p *Responder) sendRecentChanges(query RangeQuery, local Summary, remaining int) responseFragment {
	if keys, known := p.Index.keysChangedSince(query.Range, query.Summary); known {
		slices.Reverse(keys)
		fragment := p.appendEntries(responseFragment{size: rangeResultBytes}, keys, remaining)
		fragment.result.Truncated = len(fragment.keys) < len(keys)
		if len(fragment.keys) > 0 {
			return fragment
		}
	}
	recent := p.Index.recentlyChangedKeys(query.Range, p.Limits.RecentKeys)
	return p.appendEntries(p.splitRange(query.Range, local), recent, remaining)
}

// appendEntries adds the entries of keys to a fragment, in order, as far as they fit.
func (p *Responder) appendEntries(fragment responseFragment, keys []string, remaining int) responseFragment {
	for _, key := range keys {
		size := p.EntrySize(key)
		if fragment.size+size > remaining {
			break
		}
		fragment.size += size
		fragment.keys = append(fragment.keys, key)
	}
	return fragment
}

// splitRange splits a range into parts of about equal count.
func (p *Responder) splitRange(r Range, local Summary) responseFragment {
	fragment := responseFragment{size: rangeResultBytes}
	firstRank := p.Index.root.summaryBefore(r.From).Count
	parts := min(p.Limits.SplitParts, local.Count)
	part := Range{From: r.From}
	for i := 1; i <= parts; i++ {
		part.To = r.To
		if i < parts {
			rank := firstRank + local.Count*i/parts
			part.To = shortestSeparator(p.Index.root.keyAt(rank-1), p.Index.root.keyAt(rank))
			fragment.result.SplitKeys = append(fragment.result.SplitKeys, part.To)
			fragment.size += jsonStringSize(part.To)
		}
		summary := p.Index.Summary(part)
		fragment.result.PartCounts = append(fragment.result.PartCounts, summary.Count)
		fragment.result.PartDigests = append(fragment.result.PartDigests, summary.Digest)
		fragment.size += partBytes
		part.From = part.To
	}
	return fragment
}
