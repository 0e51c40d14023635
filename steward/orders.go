package steward

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/plan"
)

const (
	callTime = 900 * time.Millisecond // callers give an agent a second
	perItem  = 3 * time.Millisecond   // and more for large bodies: what the rules of acknowledgements add for each route
)

// able answers 503 where this member lacks contact with the core: it neither confirms nor refuses what others may know of.
func (s *Steward) able(w http.ResponseWriter) bool {
	s.mu.Lock()
	ok := s.m.Sound(s.now())
	s.mu.Unlock()
	if !ok {
		fail(w, errCutOff)
	}
	return ok
}

// decideTogether makes a change lasting that depends on all of its registers.
func (s *Steward) decideTogether(ctx context.Context, keys []string, decide quorum.Decide) (map[string]quorum.Value, error) {
	s.counts.rounds.Add(1)
	return s.await(ctx, func(now, until time.Time) uint64 { return s.m.WriteTogether(now, until, keys, decide) })
}

// readCall reads a configuration and checks what can be said of it by itself.
func readCall(data []byte) (map[string]quorum.Value, error) {
	call, err := plan.ReadCall(data)
	if err != nil {
		return nil, &plan.Invalid{Reason: err}
	}
	sent, err := call.Values()
	if err != nil {
		return nil, &plan.Invalid{Reason: err}
	}
	return sent, nil
}

// change takes a configuration: whole and lasting, or not at all.
func (s *Steward) change(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r, longestCall)
	if !ok {
		return
	}
	sent, err := readCall(data)
	if err != nil {
		fail(w, err)
		return
	}
	if !s.able(w) {
		return
	}
	term := callTime + time.Duration(len(sent))*perItem
	ctx, cancel := context.WithTimeout(r.Context(), term)
	defer cancel()
	_, err = s.orders.join(ctx, "settings.change "+plan.CallText(sent), len(data), func(ctx context.Context) (uint64, error) {
		return 0, insist(ctx, term, func(ctx context.Context) error { return s.settle(ctx, sent) })
	})
	end(w, err)
}

// settle has a round decide on a call that may come into force. What is in force is read only where the call's validity
// depends on it: a read costs a message to all members, and by the size of the configuration.
func (s *Steward) settle(ctx context.Context, sent map[string]quorum.Value) error {
	keys := slices.Sorted(maps.Keys(sent))
	if !plan.DependsOnOthers(sent) {
		return s.settleBy(ctx, keys, plan.Settle(sent), sent)
	}
	if ended, err := s.settleAlone(ctx, keys, sent); ended {
		return err
	}
	held, err := s.read(ctx, plan.ItemKey)
	if err != nil {
		return err
	}
	if err := s.index.check(held, sent); err != nil {
		return err
	}
	return s.settleBy(ctx, keys, plan.Settle(sent), sent)
}

// settleAlone has a round decide on a call that stands alone; ended is false where it doesn't.
func (s *Steward) settleAlone(ctx context.Context, keys []string, sent map[string]quorum.Value) (ended bool, err error) {
	lacks, alone := plan.LacksServices(s.held(keys), sent)
	if !alone {
		return false, nil
	}
	var known map[string]quorum.Value
	if len(lacks) > 0 {
		if known, err = s.readKeys(ctx, lacks); err != nil {
			return true, err
		}
	}
	err = s.settleBy(ctx, keys, plan.SettleAlone(known, sent), sent)
	_, unclear := errors.Into[*plan.Unclear](err)
	return !unclear, err
}

// readKeys is what was acknowledged last of some registers.
func (s *Steward) readKeys(ctx context.Context, keys []string) (map[string]quorum.Value, error) {
	return s.await(ctx, func(now, until time.Time) uint64 { return s.m.ReadKeys(now, until, keys) })
}

func (s *Steward) settleBy(ctx context.Context, keys []string, decide quorum.Decide, sent map[string]quorum.Value) error {
	chosen, err := s.decideTogether(ctx, keys, decide)
	if err != nil {
		return err
	}
	return plan.Outcome(chosen, sent)
}

// held is what this member holds of some registers, which others may have changed since.
func (s *Steward) held(keys []string) map[string]quorum.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]quorum.Value, len(keys))
	for _, key := range keys {
		out[key] = s.m.Held(key).Value
	}
	return out
}

// sharedIndex is the index of what is in force, for calls that come at once.
type sharedIndex struct {
	mu    sync.Mutex
	index *plan.Index
}

func (x *sharedIndex) check(held, sent map[string]quorum.Value) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.index == nil {
		x.index = plan.NewIndex()
	}
	x.index.Follow(held)
	return x.index.Check(sent)
}

// readBack gives all items that stand, as the last of all that were acknowledged.
func (s *Steward) readBack(w http.ResponseWriter, r *http.Request) {
	if !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	held, err := s.read(ctx, plan.ItemKey)
	if err != nil {
		fail(w, err)
		return
	}
	data, err := easyjson.Marshal(standing(held))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	answerJSON(w, data)
}

// standing are the items that stand, in a fixed order.
func standing(held map[string]quorum.Value) plan.Items {
	out := plan.Items{Items: []plan.Item{}}
	for key, v := range held {
		if kind, name, ok := plan.SplitKey(key); ok && !v.Gone {
			meta := plan.Meta{Name: name, Version: plan.FormatVersion(v.Version)}
			out.Items = append(out.Items, plan.Item{Type: kind, Metadata: meta, Body: json.RawMessage(v.Body)})
		}
	}
	sort.Slice(out.Items, func(i, j int) bool {
		a, b := out.Items[i], out.Items[j]
		return a.Type < b.Type || a.Type == b.Type && a.Metadata.Name < b.Metadata.Name
	})
	return out
}
