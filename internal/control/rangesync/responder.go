package rangesync

import "slices"

// Responder replies to the requests of initiators. It keeps no state between requests.
type Responder struct {
	Index  *Index
	Limits Limits
	// EntrySize returns an upper bound of the size of a key's entry in a message, in bytes.
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
		// The first fragment is sent even if it is too large, so that every response makes progress.
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
	keys   []string // the keys of the entries to send
	size   int      // upper bound of the size in the message, in bytes
}

// respondRange replies for one range of a request with rangeCount ranges. The size of the fragment may exceed the
// remaining size of the message.
func (p *Responder) respondRange(query RangeQuery, remaining, rangeCount int) responseFragment {
	local := p.Index.Summary(query.Range)
	switch {
	case local.Count == 0 || local == query.Summary && !query.WantAll:
		return responseFragment{size: rangeResultBytes}
	case p.shouldSend(query, local):
		return p.sendEntries(query.Range, remaining)
	case rangeCount > 1 || query.Count == 0:
		// Recent changes are only sent at the start of a session, when a single range is requested. They are not sent to
		// an initiator without entries: it would then have entries in the parts, so that FillThreshold would not apply to
		// them.
		return p.splitRange(query.Range, local)
	default:
		return p.sendRecentChanges(query, local, remaining)
	}
}

// shouldSend reports whether all entries of a range are sent without comparing further.
func (p *Responder) shouldSend(query RangeQuery, local Summary) bool {
	if query.WantAll || local.Count <= p.Limits.SendThreshold {
		return true
	}
	return query.Count == 0 && local.Count <= p.Limits.FillThreshold
}

// sendEntries sends as many entries from the beginning of a range as fit, but at least one. If they do not all fit, it
// sets ResumeFrom.
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

// sendRecentChanges replies for a range that is the only one of its request, as at the start of a session. If the
// initiator's summary equals an earlier one of the responder, only the entries that have changed since are sent. They
// are sent in the order of the changes, so that, if they do not all fit, the initiator's next summary is found in the
// history again. Otherwise the range is split, and the latest changes are sent with the split.
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

// appendEntries adds the entries of keys to a fragment, in order, until one does not fit.
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
