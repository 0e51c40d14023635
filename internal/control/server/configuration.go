package server

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
)

// timePerItem is added to callTimeout for each item of a change: callers wait that much longer for large ones.
const timePerItem = 3 * time.Millisecond

// handleSettingsChange commits a change of the configuration: all of its items, or none.
func (s *Server) handleSettingsChange(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r, maxConfigBytes)
	if err != nil {
		return err
	}
	values, err := parseChange(data)
	if err != nil {
		return err
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	timeout := callTimeout + time.Duration(len(values))*timePerItem
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	key := operationKey(calls.SettingsChange, config.ChangeText(values))
	err = s.operations.run(ctx, key, len(data), func(ctx context.Context) error {
		return retryTooFewResponses(ctx, timeout, func(ctx context.Context) error {
			return s.commitChange(ctx, values)
		})
	})
	if err != nil {
		return err
	}
	writeOK(w)
	return nil
}

// parseChange returns the values that a change gives to registers. It checks what can be checked without knowing the
// current configuration.
func parseChange(data []byte) (map[string]quorum.Value, error) {
	request, err := config.ParseChangeRequest(data)
	if err != nil {
		return nil, invalidRequest(err)
	}
	values, err := request.Values()
	if err != nil {
		return nil, invalidRequest(err)
	}
	return values, nil
}

// commitChange validates a change against the current configuration and commits it. The current configuration is read
// only where validity depends on it, as a read costs a message to all members and grows with the configuration.
func (s *Server) commitChange(ctx context.Context, values map[string]quorum.Value) error {
	keys := slices.Sorted(maps.Keys(values))
	if !config.DependsOnOtherItems(values) {
		return s.commitWith(ctx, keys, config.Commit(values), values)
	}
	if done, err := s.commitSelfContained(ctx, keys, values); done {
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

// commitSelfContained commits a change whose validity depends on no more than the services that it refers to. done is
// false if that is not so, or cannot be told without reading the configuration.
func (s *Server) commitSelfContained(
	ctx context.Context, keys []string, values map[string]quorum.Value,
) (done bool, err error) {
	missing, selfContained := config.RequiredServices(s.localValues(keys), values)
	if !selfContained {
		return false, nil
	}
	var services map[string]quorum.Value
	if len(missing) > 0 {
		if services, err = s.readKeys(ctx, missing); err != nil {
			return true, err
		}
	}
	err = s.commitWith(ctx, keys, config.CommitSelfContained(services, values), values)
	return !isType[*config.IndeterminateError](err), err
}

// commitWith proposes a change by a decision function and returns what became of it.
func (s *Server) commitWith(
	ctx context.Context, keys []string, decide quorum.DecideFunc, values map[string]quorum.Value,
) error {
	chosen, err := s.proposeTogether(ctx, keys, decide)
	if err != nil {
		return err
	}
	return config.Outcome(chosen, values)
}

// handleSettingsRead responds with all items of the current configuration.
func (s *Server) handleSettingsRead(w http.ResponseWriter, r *http.Request) error {
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	values, err := s.readPrefix(ctx, config.KeyPrefix)
	if err != nil {
		return err
	}
	return writeValue(w, http.StatusOK, currentItems(values))
}

// currentItems returns the items that are not deleted, by type and name.
func currentItems(values map[string]quorum.Value) config.ItemList {
	list := config.ItemList{Items: []config.Item{}}
	for key, value := range values {
		kind, name, ok := config.SplitKey(key)
		if !ok || value.Deleted {
			continue
		}
		list.Items = append(list.Items, config.Item{
			Type:     kind,
			Metadata: config.Metadata{Name: name, Version: config.FormatVersion(value.Version)},
			Body:     json.RawMessage(value.Body),
		})
	}
	slices.SortFunc(list.Items, func(a, b config.Item) int {
		if a.Type != b.Type {
			return strings.Compare(a.Type, b.Type)
		}
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return list
}

// sharedIndex is an index of the current configuration that concurrent changes use in turn. It is built by the first
// one and then kept up to date, as building it costs more than a check.
type sharedIndex struct {
	mu    sync.Mutex
	index *config.Index
}

// check validates a change against the current configuration.
func (x *sharedIndex) check(current, values map[string]quorum.Value) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.index == nil {
		x.index = config.NewIndex()
	}
	x.index.Update(current)
	return x.index.Check(values)
}
