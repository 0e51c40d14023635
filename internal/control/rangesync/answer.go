package rangesync

import "slices"

// Answerer answers requests from an index.
type Answerer struct {
	Index  *Index
	Limits Limits
	// Size bounds the bytes that the entry of a key takes in the message.
	Size func(key string) int
}

// Answer answers a request. Asked again it answers by what it holds then.
func (a *Answerer) Answer(request *Request) (*Answer, error) {
	if !request.valid(a.Limits) {
		return nil, ErrMalformed
	}
	answer := &Answer{Session: request.Session, Number: request.Number}
	room := a.Limits.MessageBytes - headText
	for i, asked := range request.Ranges {
		p := a.tell(asked, room, len(request.Ranges))
		if p.size > room && i > 0 {
			break
		}
		answer.Ranges = append(answer.Ranges, p.told)
		answer.Keys = append(answer.Keys, p.keys...)
		room -= p.size
	}
	return answer, nil
}

// piece is the part of an answer that is about one range.
type piece struct {
	told Told
	keys []string
	size int // in the message, at most
}

// tell answers for one range. A piece that is larger than the room does not fit; the first piece of an answer goes out in
// any case, so that each answer goes on.
func (a *Answerer) tell(asked Asked, room, ranges int) piece {
	own := a.Index.Summary(asked.Range)
	switch {
	case own.Count == 0 || own == asked.Summary && !asked.All:
		return piece{size: toldText}
	case a.sends(asked, own):
		return a.send(asked.Range, room)
	case ranges > 1 || asked.Count == 0: // what is empty is filled part by part, and a part with a few keys is not empty
		return a.split(asked.Range, own)
	default:
		return a.sendRecent(asked, own, room)
	}
}

// sendRecent is for a range that is asked for alone, as the first of a comparison is. Where the asker has what this side
// had a while ago, just what has changed since is sent: the earliest first, so that the asker can be found in the history
// again where they do not all fit. Else the latest changes go with the split.
func (a *Answerer) sendRecent(asked Asked, own Summary, room int) piece {
	if keys, known := a.Index.since(asked.Range, asked.Summary); known {
		slices.Reverse(keys)
		p := a.pack(piece{size: toldText}, keys, room)
		p.told.Again = len(p.keys) < len(keys)
		if len(p.keys) > 0 {
			return p
		}
	}
	return a.pack(a.split(asked.Range, own), a.Index.recent(asked.Range, a.Limits.RecentKeys), room)
}

// pack adds the entries of keys to a piece, as far as they fit.
func (a *Answerer) pack(p piece, keys []string, room int) piece {
	for _, key := range keys {
		size := a.Size(key)
		if p.size+size > room {
			break
		}
		p.size += size
		p.keys = append(p.keys, key)
	}
	return p
}

// sends tells whether the entries of a range are sent rather than compared further.
func (a *Answerer) sends(asked Asked, own Summary) bool {
	return asked.All || own.Count <= a.Limits.SendKeys || asked.Count == 0 && own.Count <= a.Limits.FillKeys
}

// send picks the entries from the beginning of a range that fit, and says where to go on. At least one is picked.
func (a *Answerer) send(r Range, room int) piece {
	p := piece{size: toldText}
	a.Index.each(r, func(key string) bool {
		size, rest := a.Size(key), textSize(key)
		if len(p.keys) > 0 && p.size+size+rest > room {
			p.told.Rest = key
			p.size += rest
			return false
		}
		p.size += size
		p.keys = append(p.keys, key)
		return true
	})
	return p
}

// split divides a range at about equal counts.
func (a *Answerer) split(r Range, own Summary) piece {
	p := piece{size: toldText}
	skipped := a.Index.root.before(r.From).Count
	parts := min(a.Limits.Parts, own.Count)
	part := Range{From: r.From}
	for i := 1; i <= parts; i++ {
		part.To = r.To
		if i < parts {
			rank := skipped + own.Count*i/parts
			part.To = separator(a.Index.root.at(rank-1), a.Index.root.at(rank))
			p.told.Bounds = append(p.told.Bounds, part.To)
			p.size += textSize(part.To)
		}
		sum := a.Index.Summary(part)
		p.told.Counts = append(p.told.Counts, sum.Count)
		p.told.Digests = append(p.told.Digests, sum.Digest)
		p.size += partText
		part.From = part.To
	}
	return p
}
