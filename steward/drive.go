package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
)

// Keys in the vault. The disk keeps a beginning of what is noted together, in the order of the keys: comeKey is the last,
// so that it never claims an item that is not there.
const (
	entryKey      = "e/"
	floorKey      = "floor"
	bornKey       = "born" // the version before sets of members: the disk was whole
	identityKey   = "identity"
	generationKey = "g/" // of other replicas' disks, by node
	itemKey       = "i/"
	comeKey       = "z"
	// The version before kept appliances that were ready, and agents that held a lease, by these.
	oldAppKey   = "a/"
	oldLeaseKey = "l/"
)

// step has the machine take a step and carries out what that brings.
func (s *Steward) step(do func(now time.Time)) {
	s.mu.Lock()
	do(s.now())
	lines := s.carry()
	s.mu.Unlock()
	for _, l := range lines {
		fields := make([]zap.Field, 0, len(l.With)/2)
		for i := 0; i+1 < len(l.With); i += 2 {
			fields = append(fields, zap.String(l.With[i], l.With[i+1]))
		}
		s.log.Info(l.Text, fields...)
	}
}

// carry carries out what steps have brought; under the lock, so that the disk is handed all in its order.
func (s *Steward) carry() []replica.Line {
	out := s.m.Take()
	for _, x := range out.Saves {
		word := s.disk.Add(saved(x))
		go func() {
			err := word.Wait()
			s.diskFails.note(err)
			s.step(func(now time.Time) { s.m.Saved(now, x.Number, err) })
		}()
	}
	bodies := map[*replica.Ask][]byte{}
	for _, x := range out.Sends {
		body := bodies[x.Ask]
		if body == nil {
			body, _ = easyjson.Marshal(x.Ask) // texts and whole numbers only: it cannot fail
			bodies[x.Ask] = body
		}
		go s.send(x, body)
	}
	for _, x := range out.Answers {
		if ch := s.calls[x.Call]; ch != nil {
			delete(s.calls, x.Call)
			ch <- x
		}
	}
	for _, x := range out.Done {
		if ch := s.tasks[x.Number]; ch != nil {
			delete(s.tasks, x.Number)
			ch <- x
		}
	}
	for _, key := range out.Gone {
		s.notes[itemKey+key] = ""
	}
	for _, x := range out.Call {
		if again := s.pulls[x.Addr]; again != nil {
			again()
		} else { // no member that is known: it is asked who the members are
			go s.pull(context.Background(), replica.Member{Addr: x.Addr})
		}
	}
	if out.News >= 0 {
		s.wakeIn(out.News)
	}
	if at := s.m.Due(); !at.IsZero() && (s.due.IsZero() || at.Before(s.due)) {
		s.due = at
		time.AfterFunc(at.Sub(s.now()), func() {
			s.step(func(now time.Time) {
				s.due = time.Time{}
				s.m.Tick(now)
			})
		})
	}
	return out.Lines
}

// saved is what a save writes.
func saved(x replica.Save) map[string]string {
	values := make(map[string]string, len(x.Entries)+2)
	for _, e := range x.Entries {
		b, _ := easyjson.Marshal(e) // texts and whole numbers only: it cannot fail
		values[entryKey+e.Key] = string(b)
	}
	if x.Floor != nil {
		b, _ := easyjson.Marshal(&replica.Ask{Ballot: *x.Floor})
		values[floorKey] = string(b)
	}
	if x.Identity != nil {
		b, _ := json.Marshal(x.Identity) // texts and whole numbers only: it cannot fail
		values[identityKey] = string(b)
	}
	return values
}

// send carries a message to another member, and its reply back.
func (s *Steward) send(x replica.Send, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), slowest)
	defer cancel()
	r := &replica.Reply{}
	if Post(ctx, s.client, x.To.Addr, x.Path, body, r) != nil {
		r = nil
	}
	s.step(func(now time.Time) { s.m.Replied(now, x.Number, r) })
}

// answer is this member's part in what another has under way.
func (s *Steward) answer(ctx context.Context, path string, a *replica.Ask) (*replica.Reply, error) {
	ch := make(chan replica.Answer, 1)
	s.step(func(now time.Time) {
		s.call++
		s.calls[s.call] = ch
		s.m.Asked(now, s.call, path, a)
	})
	select {
	case x := <-ch:
		return x.Reply, x.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// await begins something with the others and waits for its end.
func (s *Steward) await(ctx context.Context, begin func(now, until time.Time) uint64) (map[string]quorum.Value, error) {
	ch := make(chan replica.Done, 1)
	left := callTime
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	s.step(func(now time.Time) { s.tasks[begin(now, now.Add(left))] = ch })
	select {
	case x := <-ch:
		return x.Values, x.Err
	case <-ctx.Done():
		return nil, replica.ErrFew
	}
}

// decide makes changes to registers lasting.
func (s *Steward) decide(ctx context.Context, changes map[string]quorum.Change) (map[string]quorum.Value, error) {
	s.counts.rounds.Add(1)
	return s.await(ctx, func(now, until time.Time) uint64 { return s.m.Write(now, until, changes) })
}

// read is what was acknowledged last of the registers whose keys begin so.
func (s *Steward) read(ctx context.Context, prefix string) (map[string]quorum.Value, error) {
	return s.await(ctx, func(now, until time.Time) uint64 { return s.m.Read(now, until, prefix) })
}

// wakeIn wakes those who wait for news, in a while; under the lock.
func (s *Steward) wakeIn(wait time.Duration) {
	if at := s.now().Add(wait); s.wakes.IsZero() || at.Before(s.wakes) {
		s.wakes = at
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.wakes.IsZero() || s.now().Before(s.wakes) {
				return // woken already, by what was more urgent
			}
			s.wakes = time.Time{}
			close(s.news)
			s.news = make(chan struct{})
		})
	}
}

// note notes on the disk what has become known since the last time, and how far that goes.
func (s *Steward) note() {
	s.mu.Lock()
	items, come, seq := s.m.Keep(s.noted)
	notes := s.notes
	now := s.now()
	if seq == s.noted && len(notes) == 0 && now.Sub(s.notedAt) < stale {
		s.mu.Unlock()
		return
	}
	for _, k := range items {
		notes[itemKey+k.Item.Key] = strings.Join([]string{strconv.FormatUint(k.Item.Version, 16), k.Origin, strconv.FormatUint(k.Number, 16), k.Item.Body}, " ")
	}
	for node, g := range s.m.Generations() {
		text := g.Disk + " " + strconv.FormatUint(g.Number, 10)
		if s.told[node] != text {
			s.told[node] = text
			notes[generationKey+node] = text
		}
	}
	if come != nil {
		notes[comeKey] = formatCome(come, now)
		s.notedAt = now
	}
	s.notes, s.noted = map[string]string{}, seq
	word := s.disk.Note(notes)
	s.mu.Unlock()
	go func() {
		if word.Wait() != nil { // all is noted again, as it is not known what is there
			s.mu.Lock()
			s.noted = 0
			s.mu.Unlock()
		}
	}()
}

// stale is for how long a note is not written again where nothing has changed: by its time a later life knows how old what
// it remembers is.
const stale = 5 * time.Second

func formatCome(come lore.Vector, now time.Time) string {
	parts := []string{strconv.FormatInt(now.UnixMilli(), 10)}
	for origin, n := range come {
		parts = append(parts, origin+"="+strconv.FormatUint(n, 16))
	}
	return strings.Join(parts, " ")
}

// remembered is what the disk holds for the machine.
func (s *Steward) remembered() (was replica.Memory, err error) {
	for _, text := range s.disk.Load(entryKey) {
		e := quorum.Entry{}
		if err := easyjson.Unmarshal([]byte(text), &e); err != nil {
			return was, err
		}
		was.Entries = append(was.Entries, e)
	}
	if text, ok := s.disk.Load(floorKey)[""]; ok {
		floor := &replica.Ask{}
		if err := easyjson.Unmarshal([]byte(text), floor); err != nil {
			return was, err
		}
		was.Floor = floor.Ballot
	}
	if text, ok := s.disk.Load(identityKey)[""]; ok {
		if err := json.Unmarshal([]byte(text), &was.Identity); err != nil {
			return was, err
		}
	} else {
		_, was.Earlier = s.disk.Load(bornKey)[""]
	}
	was.Generations = map[string]replica.Generation{}
	for node, text := range s.disk.Load(generationKey) {
		g := replica.Generation{}
		if _, err := fmt.Sscan(text, &g.Disk, &g.Number); err == nil {
			was.Generations[node] = g
			s.told[node] = text
		}
	}
	was.Come = lore.Vector{}
	for i, part := range strings.Fields(s.disk.Load(comeKey)[""]) {
		if i == 0 {
			ms, _ := strconv.ParseInt(part, 10, 64)
			was.Noted = time.UnixMilli(ms)
			continue
		}
		origin, number, _ := strings.Cut(part, "=")
		if n, err := strconv.ParseUint(number, 16, 64); err == nil {
			was.Come[origin] = n
		}
	}
	for key, text := range s.disk.Load(itemKey) {
		parts := strings.SplitN(text, " ", 4)
		if len(parts) < 4 {
			continue
		}
		version, err := strconv.ParseUint(parts[0], 16, 64)
		number, err2 := strconv.ParseUint(parts[2], 16, 64)
		if err == nil && err2 == nil {
			was.Items = append(was.Items, replica.Kept{Item: lore.Item{Key: key, Version: version, Body: parts[3]}, Origin: parts[1], Number: number})
		}
	}
	for key, text := range s.disk.Load(oldAppKey) {
		number, body, _ := strings.Cut(text, " ")
		if version, err := strconv.ParseUint(number, 16, 64); err == nil {
			was.Items = append(was.Items, replica.Kept{Item: lore.Item{Key: key, Version: version, Body: body}})
		}
		s.notes[oldAppKey+key] = ""
	}
	for key := range s.disk.Load(oldLeaseKey) {
		s.notes[oldLeaseKey+key] = ""
	}
	return was, nil
}
