package server

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

	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
)

const (
	callTimeout = 900 * time.Millisecond // callers give an agent a second
	timePerItem = 3 * time.Millisecond   // and more for large bodies: what the rules of acknowledgements add for each route
)

// requireQuorum answers 503 where this member lacks contact with the core: it neither confirms nor refuses what others may know of.
func (s *Server) requireQuorum(w http.ResponseWriter) bool {
	s.mu.Lock()
	ok := s.replica.HasQuorum(s.now())
	s.mu.Unlock()
	if !ok {
		writeError(w, errNoQuorum)
	}
	return ok
}

// proposeTogether makes a change lasting that depends on all of its registers.
func (s *Server) proposeTogether(ctx context.Context, keys []string, decide quorum.DecideFunc) (map[string]quorum.Value, error) {
	s.counters.proposals.Add(1)
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.WriteAtomic(now, until, keys, decide) })
}

// parseChange reads a configuration and checks what can be said of it by itself.
func parseChange(data []byte) (map[string]quorum.Value, error) {
	call, err := config.ParseChangeRequest(data)
	if err != nil {
		return nil, &config.InvalidError{Err: err}
	}
	values, err := call.Values()
	if err != nil {
		return nil, &config.InvalidError{Err: err}
	}
	return values, nil
}

// handleSettingsChange takes a configuration: whole and lasting, or not at all.
func (s *Server) handleSettingsChange(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, maxCallBytes)
	if !ok {
		return
	}
	values, err := parseChange(data)
	if err != nil {
		writeError(w, err)
		return
	}
	if !s.requireQuorum(w) {
		return
	}
	timeout := callTimeout + time.Duration(len(values))*timePerItem
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	_, err = s.operations.join(ctx, "settings.change "+config.ChangeText(values), len(data), func(ctx context.Context) (uint64, error) {
		return 0, retryWithoutQuorum(ctx, timeout, func(ctx context.Context) error { return s.commitChange(ctx, values) })
	})
	writeResult(w, err)
}

// commitChange has a round decide on a call that may come into force. What is in force is read only where the call's validity
// depends on it: a read costs a message to all members, and by the size of the configuration.
func (s *Server) commitChange(ctx context.Context, values map[string]quorum.Value) error {
	keys := slices.Sorted(maps.Keys(values))
	if !config.DependsOnOtherItems(values) {
		return s.commitWith(ctx, keys, config.Commit(values), values)
	}
	if ended, err := s.commitIndependent(ctx, keys, values); ended {
		return err
	}
	current, err := s.readPrefix(ctx, config.KeyPrefix)
	if err != nil {
		return err
	}
	if err := s.configIndex.check(current, values); err != nil {
		return err
	}
	return s.commitWith(ctx, keys, config.Commit(values), values)
}

// commitIndependent has a round decide on a call that stands alone; ended is false where it doesn't.
func (s *Server) commitIndependent(ctx context.Context, keys []string, values map[string]quorum.Value) (ended bool, err error) {
	missing, independent := config.RequiredServices(s.localValues(keys), values)
	if !independent {
		return false, nil
	}
	var services map[string]quorum.Value
	if len(missing) > 0 {
		if services, err = s.readKeys(ctx, missing); err != nil {
			return true, err
		}
	}
	err = s.commitWith(ctx, keys, config.CommitSelfContained(services, values), values)
	_, inconclusive := errors.Into[*config.IndeterminateError](err)
	return !inconclusive, err
}

// readKeys is what was acknowledged last of some registers.
func (s *Server) readKeys(ctx context.Context, keys []string) (map[string]quorum.Value, error) {
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.ReadKeys(now, until, keys) })
}

func (s *Server) commitWith(ctx context.Context, keys []string, decide quorum.DecideFunc, values map[string]quorum.Value) error {
	chosen, err := s.proposeTogether(ctx, keys, decide)
	if err != nil {
		return err
	}
	return config.Outcome(chosen, values)
}

// localValues is what this member holds of some registers, which others may have changed since.
func (s *Server) localValues(keys []string) map[string]quorum.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]quorum.Value, len(keys))
	for _, key := range keys {
		out[key] = s.replica.Register(key).Value
	}
	return out
}

// sharedIndex is the index of what is in force, for calls that come at once.
type sharedIndex struct {
	mu    sync.Mutex
	index *config.Index
}

func (x *sharedIndex) check(current, values map[string]quorum.Value) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.index == nil {
		x.index = config.NewIndex()
	}
	x.index.Update(current)
	return x.index.Check(values)
}

// handleSettingsRead gives all items that stand, as the last of all that were acknowledged.
func (s *Server) handleSettingsRead(w http.ResponseWriter, r *http.Request) {
	if !s.requireQuorum(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	values, err := s.readPrefix(ctx, config.KeyPrefix)
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := easyjson.Marshal(currentItems(values))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, data)
}

// currentItems are the items that stand, in a fixed order.
func currentItems(values map[string]quorum.Value) config.ItemList {
	out := config.ItemList{Items: []config.Item{}}
	for key, value := range values {
		if kind, name, ok := config.SplitKey(key); ok && !value.Deleted {
			meta := config.Metadata{Name: name, Version: config.FormatVersion(value.Version)}
			out.Items = append(out.Items, config.Item{Type: kind, Metadata: meta, Body: json.RawMessage(value.Body)})
		}
	}
	sort.Slice(out.Items, func(i, j int) bool {
		a, b := out.Items[i], out.Items[j]
		return a.Type < b.Type || a.Type == b.Type && a.Metadata.Name < b.Metadata.Name
	})
	return out
}
