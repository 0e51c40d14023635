package server

import (
	"context"
	"net/http"
	"slices"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
)

// handleDrainsRead responds with the progress of all active drains, or of the one that targetParam names.
func (s *Server) handleDrainsRead(w http.ResponseWriter, r *http.Request) error {
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	values, err := s.readPrefix(ctx, drain.ListKey(""))
	if err != nil {
		return err
	}
	active := drain.ActiveDrains(values)
	if name := r.URL.Query().Get(targetParam); name != "" {
		active = slices.DeleteFunc(active, func(d drain.ActiveDrain) bool { return d.Target != name })
		if len(active) == 0 {
			return errNoSuchDrain
		}
	}
	list := drain.ProgressList{Drains: []drain.Progress{}}
	if len(active) > 0 {
		list.Drains = s.measureProgress(r.Context(), active, values)
	}
	return writeValue(w, http.StatusOK, list)
}

// measureProgress surveys the proxies and returns the progress of the active drains.
func (s *Server) measureProgress(
	ctx context.Context, active []drain.ActiveDrain, values map[string]quorum.Value,
) []drain.Progress {
	survey := s.surveyAll(ctx)
	reports, _ := survey.ProgressReports()
	capacities := s.capacities(values, s.backends())
	return drain.MeasureProgress(active, capacities, reports, survey.unresponsive, s.now())
}
