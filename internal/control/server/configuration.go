package server

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/rpc"
)

// handleSettingsChange commits a change of the configuration atomically: all of its items or none.
func (s *Server) handleSettingsChange(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r, maxConfigBytes)
	if err != nil {
		return err
	}
	change, err := newConfigChange(data)
	if err != nil {
		return err
	}
	change.mayHandOver = true
	if err := s.commit(r.Context(), change); err != nil {
		return err
	}
	writeOK(w)
	return nil
}

// handleHandedOverChange commits a change that another controller has handed over to this one.
func (s *Server) handleHandedOverChange(w http.ResponseWriter, r *http.Request) {
	request := &message.ChangeRequest{}
	if !rpc.ReadRequest(w, r, request) {
		return
	}
	response := &message.ChangeResponse{Status: http.StatusOK}
	change, err := newConfigChange(request.Change)
	if err == nil {
		err = s.commit(r.Context(), change)
	}
	if err != nil {
		response.Status, response.Error = statusOf(err), err.Error()
	}
	rpc.WriteResponse(w, response)
}

// handleSettingsRead responds with all items of the current configuration.
func (s *Server) handleSettingsRead(w http.ResponseWriter, r *http.Request) error {
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	values, err := s.readConfiguration(ctx)
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

// sharedIndex is an index of the current configuration that concurrent changes use one at a time. The first check
// builds it and later checks update it, as building it costs more than a check.
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
