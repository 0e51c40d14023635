package steward

import (
	"context"
	"hash/fnv"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/lore"
	"sagelever/pact"
	"sagelever/vault"
)

const (
	attempt = 800 * time.Millisecond // of one round; callers give an agent a second
	between = 60 * time.Millisecond  // twice what a message takes between regions, about: the least pause after a refusal
	settle  = 700 * time.Millisecond // after which a value without a known end is brought to one by whoever holds it
)

var errFew = errors.New("too few members answer")

// errNotCaught says that this member has lost its disk and must not count yet.
var errNotCaught = errors.New("this member is catching up")

// Keys in the vault.
const (
	entryKey = "e/"
	floorKey = "floor"
	bornKey  = "born"
)

// persist hands entries, and the floor where told, to the disk. It is called under the lock that they were changed under,
// so that of two states of a register the older is never written over the newer; its word is waited for without the lock.
func (s *Steward) persist(entries []pact.Entry, floor *pact.Ballot) vault.Word {
	values := make(map[string]string, len(entries)+1)
	for _, e := range entries {
		b, _ := easyjson.Marshal(e) // texts and whole numbers only: it cannot fail
		values[entryKey+e.Key] = string(b)
	}
	if floor != nil {
		b, _ := easyjson.Marshal(&Ask{Ballot: *floor})
		values[floorKey] = string(b)
	}
	return s.disk.Add(values)
}

// lasting waits for the disk's word.
func (s *Steward) lasting(w vault.Word) error {
	err := w.Wait()
	s.diskFails.note(err)
	return err
}

// answer is this member's part in a round: it is what peers call, and what the member asks of itself.
func (s *Steward) answer(path string, a *Ask) (*Reply, error) {
	s.mu.Lock()
	if !s.caught {
		s.mu.Unlock()
		return nil, errNotCaught
	}
	r := &Reply{OK: true}
	var changed []pact.Entry
	var floor *pact.Ballot
	switch path {
	case preparePath:
		r.Held, changed, r.Refused = s.acceptor.Prepare(a.Ballot, a.Keys)
	case acceptPath:
		changed, r.Refused = s.acceptor.Accept(a.Ballot, a.Values)
	case readPath:
		if all := s.acceptor.All(); digest(all) == a.Digest {
			r.Same = true
		} else {
			r.Held = all
		}
	case refusePath:
		if s.acceptor.Refuse(a.Ballot) {
			f := s.acceptor.Floor()
			floor = &f
		}
		r.Held, r.Refused = s.acceptor.All(), s.acceptor.Floor()
	}
	word := s.persist(changed, floor)
	s.mu.Unlock()
	if path != refusePath && r.Refused != (pact.Ballot{}) {
		r.OK, r.Held = false, nil
		return r, nil
	}
	if err := s.lasting(word); err != nil { // what is not on the disk is not said
		return nil, err
	}
	for _, e := range changed {
		if !e.Chosen {
			s.unsettled(e.Key)
		}
	}
	return r, nil
}

// learn takes up chosen values and tells them on; it is called under the lock.
func (s *Steward) learn(entries []pact.Entry) []pact.Entry {
	changed := s.acceptor.Learn(entries)
	for _, e := range changed {
		if e.Chosen {
			s.publish(e)
		}
	}
	return changed
}

// publish tells a chosen value; under the lock.
func (s *Steward) publish(e pact.Entry) {
	b, err := easyjson.Marshal(pact.Entry{Key: e.Key, Accepted: e.Accepted, Value: e.Value, Chosen: true})
	if err != nil {
		return
	}
	s.tell(lore.Item{Key: lore.RegKey + e.Key, Version: e.Value.Version, Body: string(b)})
}

// ask sends a message to all members, this one too, and hands their replies to take until it says enough. It returns
// errFew where the replies end before that.
func (s *Steward) ask(ctx context.Context, path string, a *Ask, self bool, take func(node string, r *Reply) bool) error {
	ctx, cancel := context.WithTimeout(ctx, attempt)
	type said struct {
		node string
		r    *Reply
	}
	peers := s.peers()
	replies := make(chan said, len(peers)+1)
	open := 0
	for _, m := range peers {
		open++
		go func() {
			r := &Reply{}
			if err := s.post(ctx, m, path, a, r); err != nil {
				r = nil
			}
			replies <- said{m.Node, r}
		}()
	}
	if self {
		open++
		go func() {
			r, err := s.answer(path, a)
			if err != nil {
				r = nil
			}
			replies <- said{s.settings.Node, r}
		}()
	}
	defer func() { // those that have not answered are let finish: every copy helps
		go func() {
			defer cancel()
			for range open {
				<-replies
			}
		}()
	}()
	for open > 0 {
		select {
		case got := <-replies:
			open--
			if got.r != nil && take(got.node, got.r) {
				return nil
			}
		case <-ctx.Done():
			return errFew
		}
	}
	return errFew
}

// decide makes changes to registers lasting: when it returns without an error, so many disks hold the outcome that
// withstand can't lose it. It tries rounds until the context ends.
func (s *Steward) decide(ctx context.Context, changes map[string]pact.Change) (map[string]pact.Value, error) {
	for {
		chosen, err := s.round(ctx, changes)
		if err == nil {
			out := make(map[string]pact.Value, len(chosen))
			for _, e := range chosen {
				out[e.Key] = e.Value
			}
			return out, nil
		}
		pause := between + time.Duration(s.luck()*float64(4*between))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func (s *Steward) round(ctx context.Context, changes map[string]pact.Change) ([]pact.Entry, error) {
	s.mu.Lock()
	if !s.caught {
		s.mu.Unlock()
		return nil, errNotCaught
	}
	b := s.acceptor.Next(s.settings.Node)
	b.N = max(b.N, uint64(s.now().UnixMilli()))
	s.mu.Unlock()
	s.counts.rounds.Add(1)
	r := pact.NewRound(b, s.n, s.f, changes)
	var values []pact.Entry
	err := s.ask(ctx, preparePath, &Ask{Ballot: b, Keys: r.Keys()}, true, func(node string, got *Reply) bool {
		if !got.OK {
			r.Refused(got.Refused)
			return false
		}
		values = r.Told(node, got.Held)
		return values != nil
	})
	if err == nil {
		err = s.ask(ctx, acceptPath, &Ask{Ballot: b, Values: values}, true, func(node string, got *Reply) bool {
			if !got.OK {
				r.Refused(got.Refused)
				return false
			}
			return r.Took(node)
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.acceptor.Seen(r.After())
		return nil, err
	}
	chosen := r.Chosen()
	changed := s.learn(chosen)
	s.persist(changed, nil) // that it is chosen need not last: whoever finds it unsettled settles it again
	return chosen, nil
}

// sync brings this member up to what f+1 members know, so that it has all that was ever acknowledged.
func (s *Steward) sync(ctx context.Context) error {
	s.mu.Lock()
	if !s.caught {
		s.mu.Unlock()
		return errNotCaught
	}
	d := digest(s.acceptor.All())
	s.mu.Unlock()
	told := 1
	if told > s.f {
		return nil
	}
	return s.ask(ctx, readPath, &Ask{Digest: d}, false, func(_ string, got *Reply) bool {
		if !got.Same {
			s.mu.Lock()
			changed := s.learn(got.Held)
			word := s.persist(changed, nil)
			s.mu.Unlock()
			if s.lasting(word) != nil {
				return false
			}
			for _, e := range changed {
				if !e.Chosen {
					s.unsettled(e.Key)
				}
			}
		}
		told++
		return told > s.f
	})
}

// catchUp is for a member whose disk came back empty. Until f+1 others that have not lost theirs have told what they hold,
// and refuse the ballots from before, it neither promises nor accepts nor reads. Its ballot lies after all that it can have
// promised before: numbers follow the time of day, and lead covers how far clocks stand apart.
func (s *Steward) catchUp(ctx context.Context) {
	const lead = 2 * time.Second
	for ctx.Err() == nil {
		b := pact.Ballot{N: uint64(s.now().Add(lead).UnixMilli()), Who: s.settings.Node}
		told := 0
		var held []pact.Entry
		err := s.ask(ctx, refusePath, &Ask{Ballot: b}, false, func(_ string, got *Reply) bool {
			if b.Less(got.Refused) {
				b = got.Refused
			}
			held = append(held, got.Held...)
			told++
			return told > s.f
		})
		if err == nil {
			s.mu.Lock()
			s.acceptor.Refuse(b)
			s.learn(held)
			all, floor := s.acceptor.All(), s.acceptor.Floor()
			word := s.persist(all, &floor)
			s.mu.Unlock()
			if err = s.lasting(word); err == nil {
				err = s.disk.Put(map[string]string{bornKey: "caught up"})
			}
			if err == nil {
				s.mu.Lock()
				s.caught = true
				s.mu.Unlock()
				s.log.Info("caught up after the disk was lost", zap.Int("registers", len(all)))
				return
			}
		}
		select {
		case <-time.After(between):
		case <-ctx.Done():
		}
	}
}

// unsettled notes a register whose newest value this member holds without knowing that it is chosen.
func (s *Steward) unsettled(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, noted := s.open[key]; !noted {
		s.open[key] = s.now().Add(settle + time.Duration(s.luck()*float64(settle)))
	}
}

// repair brings values to an end whose writer is gone: each holder waits a while, by lot, and then writes them again.
func (s *Steward) repair(ctx context.Context) {
	s.mu.Lock()
	now, due := s.now(), map[string]pact.Change{}
	for key, at := range s.open {
		if e := s.acceptor.Get(key); e.Chosen || e.Accepted == (pact.Ballot{}) {
			delete(s.open, key)
		} else if now.After(at) {
			due[key] = func(held pact.Value) pact.Value { return held }
		}
	}
	caught := s.caught
	s.mu.Unlock()
	if len(due) == 0 || !caught {
		return
	}
	if _, err := s.round(ctx, due); err != nil {
		s.mu.Lock()
		for key := range due {
			s.open[key] = s.now().Add(time.Duration(s.luck() * float64(settle)))
		}
		s.mu.Unlock()
	}
}

// values are the registers as this member holds them.
func (s *Steward) values(prefix string) map[string]pact.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]pact.Value{}
	for _, e := range s.acceptor.All() {
		if strings.HasPrefix(e.Key, prefix) {
			out[e.Key] = e.Value
		}
	}
	return out
}

// digest is equal for members that hold the same.
func digest(entries []pact.Entry) uint64 {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	h := fnv.New64a()
	for _, e := range entries {
		h.Write([]byte(e.Key))
		h.Write([]byte{0})
		h.Write([]byte(e.Accepted.Who))
		n := e.Accepted.N
		h.Write([]byte{0, byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), byte(n >> 32), byte(n >> 40)})
	}
	return h.Sum64()
}
