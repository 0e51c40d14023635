// Package quorum keeps the lasting state of the core: named registers, each decided by itself by rounds of ballots among
// the members, so that any agent takes a write, no log is kept and nobody leads. It is pure: a state, a message, the next
// state and a reply; what has to be on disk before the reply goes out is told.
//
// Of n members, lost disks f at once, a value counts as chosen when w = n-f have it on disk. A round asks r = f+1 members
// that have caught up. Of the w holders w-f keep it when f lose theirs; the n-f others hold at most n-f-(w-f) = f that lack
// it, so that every r of them include a holder. A member that came back empty counts for neither until it has caught up
// from r others and has had them refuse the ballots from before: see Refuse.
package quorum

import (
	"maps"
	"slices"

	"sagelever/internal/control/rangesync"
)

// Ballot orders rounds; the zero one is before all. Every ballot of an epoch comes before those of the next, so that nothing
// that was promised or accepted under an earlier set of members goes before what a later set decides. Who tells apart rounds
// of two members with one number.
type Ballot struct {
	Epoch uint64 `json:"e,omitempty"`
	N     uint64 `json:"n"`
	Who   string `json:"w,omitempty"`
}

// Less tells whether a comes before b.
func (a Ballot) Less(b Ballot) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	if a.N != b.N {
		return a.N < b.N
	}
	return a.Who < b.Who
}

// Value is the content of a register: the item with its own version. Gone stands for an item that was dropped. Note belongs
// to whoever writes the register and is kept with it as it is: what it needs to recognize an order that is sent again. Under
// one version the note may change; Gone and Body never do.
type Value struct {
	Version uint64 `json:"v"`
	Gone    bool   `json:"g,omitempty"`
	Body    string `json:"b,omitempty"`
	Note    string `json:"n,omitempty"`
}

// Entry is a register as one member holds it.
//
//easyjson:json
type Entry struct {
	Key      string `json:"k"`
	Promised Ballot `json:"p"`
	Accepted Ballot `json:"a"`
	Value    Value  `json:"x"`
	Chosen   bool   `json:"c,omitempty"` // the value is known to be chosen, under this ballot or one before
}

// Acceptor is one member's registers.
type Acceptor struct {
	regs  map[string]*Entry
	index *rangesync.Index // of the registers in which something was accepted
	floor Ballot           // no ballot before it is taken, on any register
	top   uint64           // the largest number seen
}

// NewAcceptor takes up what a disk held.
func NewAcceptor(entries []Entry, floor Ballot) *Acceptor {
	a := &Acceptor{regs: map[string]*Entry{}, index: rangesync.NewIndex(), floor: floor, top: floor.N}
	for _, e := range entries {
		a.regs[e.Key] = &e
		a.indexed(e)
		a.top = max(a.top, e.Promised.N, e.Accepted.N)
	}
	return a
}

// indexed brings the index up to date with a register.
func (a *Acceptor) indexed(e Entry) {
	if e.Accepted == (Ballot{}) {
		return
	}
	accepted := rangesync.Ballot{Epoch: e.Accepted.Epoch, Number: e.Accepted.N, Member: e.Accepted.Who}
	a.index.Set(e.Key, rangesync.FingerprintOf(e.Key, rangesync.State{Chosen: e.Chosen, Version: e.Value.Version, Note: e.Value.Note, Accepted: accepted}))
}

// Index is what other members compare their registers with.
func (a *Acceptor) Index() *rangesync.Index { return a.index }

// Below is the registers in which something was accepted and whose keys begin so, in the order of their keys.
func (a *Acceptor) Below(prefix string) []Entry {
	keys := a.index.Keys(rangesync.Prefix(prefix), a.index.Len())
	out := make([]Entry, 0, len(keys))
	for _, k := range keys {
		out = append(out, *a.regs[k])
	}
	return out
}

func (a *Acceptor) promised(key string) Ballot {
	if e := a.regs[key]; e != nil && a.floor.Less(e.Promised) {
		return e.Promised
	}
	return a.floor
}

// Next is a ballot of an epoch after all that this member has seen.
func (a *Acceptor) Next(epoch uint64, who string) Ballot {
	return Ballot{Epoch: epoch, N: max(a.top, a.floor.N) + 1, Who: who}
}

// Seen notes a number that another member holds to, so that the next ballot comes after it.
func (a *Acceptor) Seen(b Ballot) { a.top = max(a.top, b.N) }

// Get is a register; the zero entry where nothing is known.
func (a *Acceptor) Get(key string) Entry {
	if e := a.regs[key]; e != nil {
		return *e
	}
	return Entry{Key: key}
}

// All is every register in which something was accepted.
func (a *Acceptor) All() []Entry {
	out := make([]Entry, 0, len(a.regs))
	for _, e := range a.regs {
		if e.Accepted != (Ballot{}) {
			out = append(out, *e)
		}
	}
	return out
}

// Floor is the ballot before which all are refused.
func (a *Acceptor) Floor() Ballot { return a.floor }

// Prepare promises to take no ballot before b on the keys, and tells what was accepted on them. Where one is promised to a
// later ballot nothing is promised at all, and that ballot is told. The changed entries have to be on disk before the
// reply goes out.
func (a *Acceptor) Prepare(b Ballot, keys []string) (held, changed []Entry, refused Ballot) {
	a.Seen(b)
	for _, k := range keys {
		if p := a.promised(k); b.Less(p) {
			return nil, nil, p
		}
	}
	for _, k := range keys {
		e := a.regs[k]
		if e == nil {
			e = &Entry{Key: k}
			a.regs[k] = e
		}
		e.Promised = b
		held, changed = append(held, *e), append(changed, *e)
	}
	return held, changed, Ballot{}
}

// Accept takes values under a ballot, all or none.
func (a *Acceptor) Accept(b Ballot, values []Entry) (changed []Entry, refused Ballot) {
	a.Seen(b)
	for _, v := range values {
		if p := a.promised(v.Key); b.Less(p) {
			return nil, p
		}
	}
	for _, v := range values {
		e := a.regs[v.Key]
		if e == nil {
			e = &Entry{Key: v.Key}
			a.regs[v.Key] = e
		}
		// What is known to be chosen stays so when it is written again under a later ballot, or each who does that would
		// leave all others in doubt.
		*e = Entry{Key: v.Key, Promised: b, Accepted: b, Value: v.Value, Chosen: e.Chosen && e.Value == v.Value}
		a.indexed(*e)
		changed = append(changed, *e)
	}
	return changed, Ballot{}
}

// Learn takes up what is known to be chosen, or what another member has accepted when this one catches up. It never goes
// back: what was accepted under a later ballot stays. A learned value takes no promise away.
func (a *Acceptor) Learn(entries []Entry) (changed []Entry) {
	for _, n := range entries {
		e := a.regs[n.Key]
		if e == nil {
			e = &Entry{Key: n.Key}
			a.regs[n.Key] = e
		}
		a.Seen(n.Accepted)
		switch {
		case e.Accepted.Less(n.Accepted):
			e.Accepted, e.Value, e.Chosen = n.Accepted, n.Value, n.Chosen || e.Chosen && e.Value == n.Value
		case n.Chosen && !e.Chosen && e.Value == n.Value && n.Accepted != (Ballot{}):
			e.Chosen = true
		default:
			continue
		}
		a.indexed(*e)
		changed = append(changed, *e)
	}
	return changed
}

// Refuse makes this member refuse all ballots before b. A member that lost its disk has forgotten its promises: it asks
// f+1 others for this and holds to it itself before it counts again. Of the n members then f+2 or more refuse what was
// under way, so that no older ballot finds the n-f it needs.
func (a *Acceptor) Refuse(b Ballot) (changed bool) {
	a.Seen(b)
	if a.floor.Less(b) {
		a.floor = b
		return true
	}
	return false
}

// Change is what a writer wants of one register, given what it holds; it must come out the same for the same input.
type Change func(held Value) Value

// Decide is what a writer wants of all registers of a round, given what they hold; a register that it leaves out keeps its
// value. It must come out the same for the same input.
type Decide func(held map[string]Value) map[string]Value

// Each is a change of each register by itself.
func Each(changes map[string]Change) (keys []string, decide Decide) {
	return slices.Sorted(maps.Keys(changes)), func(held map[string]Value) map[string]Value {
		out := make(map[string]Value, len(changes))
		for key, change := range changes {
			out[key] = change(held[key])
		}
		return out
	}
}

// Round is one writer's attempt on some registers, under one ballot. Replies go in, each member's once; what to send
// next and how it ended come out.
type Round struct {
	Ballot  Ballot
	need    int // holders that make a value chosen
	ask     int // members that must tell what they hold
	keys    []string
	decide  Decide
	told    map[string]bool
	took    map[string]bool
	best    map[string]Entry
	values  []Entry
	refused Ballot
}

// NewRound begins a round of n members of which f may lose their disks.
func NewRound(b Ballot, n, f int, keys []string, decide Decide) *Round {
	return &Round{Ballot: b, need: n - f, ask: f + 1, keys: keys, decide: decide,
		told: map[string]bool{}, took: map[string]bool{}, best: map[string]Entry{}}
}

// Keys are the registers of the round.
func (r *Round) Keys() []string { return r.keys }

// Told takes a member's promise; values is what is to be accepted, once enough have promised.
func (r *Round) Told(member string, held []Entry) (values []Entry) {
	if r.told[member] || r.values != nil {
		return nil
	}
	r.told[member] = true
	for _, e := range held {
		if b, ok := r.best[e.Key]; !ok || b.Accepted.Less(e.Accepted) {
			r.best[e.Key] = e
		}
	}
	if len(r.told) < r.ask {
		return nil
	}
	r.values = r.settle()
	return r.values
}

// settle is what the round writes: the decision on all that is held, and what it leaves out as it is; a register that holds
// nothing then stays so.
func (r *Round) settle() []Entry {
	held := make(map[string]Value, len(r.keys))
	for _, k := range r.keys {
		held[k] = r.best[k].Value
	}
	decided := r.decide(held)
	values := make([]Entry, 0, len(r.keys))
	for _, k := range r.keys {
		v, changed := decided[k]
		if !changed {
			if r.best[k].Accepted == (Ballot{}) {
				continue // there is nothing to write again, and the promises keep earlier ballots from being chosen
			}
			v = held[k]
		}
		values = append(values, Entry{Key: k, Accepted: r.Ballot, Value: v})
	}
	return values
}

// Took takes a member's word that it holds the values on disk; done when so many do that they are chosen.
func (r *Round) Took(member string) (done bool) {
	r.took[member] = true
	return len(r.took) >= r.need
}

// Hopeless tells whether the round can't end well with as many replies as are still to come.
func (r *Round) Hopeless(open int) bool {
	if r.values == nil {
		return len(r.told)+open < r.ask
	}
	return len(r.took)+open < r.need
}

// Refused takes a member's refusal and the ballot it holds to.
func (r *Round) Refused(b Ballot) {
	if r.refused.Less(b) {
		r.refused = b
	}
}

// After is the latest ballot that refused this round; the zero one where none did.
func (r *Round) After() Ballot { return r.refused }

// Chosen is what the round has written, to be learned by all.
func (r *Round) Chosen() []Entry {
	out := make([]Entry, len(r.values))
	for i, v := range r.values {
		v.Chosen = true
		out[i] = v
	}
	return out
}
