package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/rpc"
)

const (
	surveyTimeout = 500 * time.Millisecond // for agents to answer a census: a call each in the zone, two between regions
	maxDrainBytes = 4 << 10                // bytes of an operator's word on a drain
)

// handleInFlightReport takes an agent's answer to a census.
func (s *Server) handleInFlightReport(w http.ResponseWriter, r *http.Request) {
	report := &message.InFlightReport{}
	if !rpc.ReadRequest(w, r, report) {
		return
	}
	s.mu.Lock()
	s.replica.RecordInFlightReport(report)
	s.mu.Unlock()
}

// handleInFlightSurvey counts among the agents that hold a lease from here.
func (s *Server) handleInFlightSurvey(w http.ResponseWriter, r *http.Request) {
	survey := s.surveyLocal(r.Context())
	rpc.WriteResponse(w, &survey)
}

// surveyLocal waits until all have answered, or for surveyTimeout.
func (s *Server) surveyLocal(ctx context.Context) (survey message.InFlightSurvey) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	s.step(func(now time.Time) { s.replica.StartInFlightSurvey(now) })
	for {
		s.mu.Lock()
		survey = s.replica.SurveyResult()
		s.mu.Unlock()
		if len(survey.Missing) == 0 {
			return survey
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return survey
		}
	}
}

// surveyAll asks every member for what its agents say. Unheard are agents that may have something out and have not answered.
func (s *Server) surveyAll(ctx context.Context) (survey message.InFlightSurvey, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout+callTimeout/2) // a member that hangs holds up no operator
	defer cancel()
	s.mu.Lock()
	members := s.replica.OtherMembers()
	s.mu.Unlock()
	surveys := make(chan message.InFlightSurvey, len(members)+1)
	var wg sync.WaitGroup
	for _, member := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := message.InFlightSurvey{}
			if rpc.Post(ctx, s.peerClient, member.Addr, message.InFlightSurveyPath, []byte("{}"), &c) == nil {
				surveys <- c
			}
		}()
	}
	surveys <- s.surveyLocal(ctx)
	wg.Wait()
	close(surveys)
	for c := range surveys {
		survey.Reports = append(survey.Reports, c.Reports...)
	}
	s.mu.Lock()
	proxies := s.replica.RecentProxies(s.now())
	s.mu.Unlock()
	for _, node := range proxies {
		if !slices.ContainsFunc(survey.Reports, func(w message.InFlightReport) bool { return w.From.Node == node }) {
			unreachable = append(unreachable, node)
		}
	}
	return survey, unreachable
}

// handleDrainBegin takes an operator's word that something gets no new work. Where too little room would be left it is refused
// with the figures, unless it is to be done all the same.
func (s *Server) handleDrainBegin(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, maxDrainBytes)
	if !ok {
		return
	}
	order := &drain.BeginRequest{}
	if err := easyjson.Unmarshal(data, order); err != nil {
		writeInvalid(w, err)
		return
	}
	if order.Target == "" || len(order.Target) > maxIDBytes {
		writeError(w, invalidRequest("target: missing or too long"))
		return
	}
	if !s.requireQuorum(w) {
		return
	}
	response, err := s.startDrain(r.Context(), order)
	if err != nil {
		writeError(w, err)
		return
	}
	writeValue(w, http.StatusOK, response)
}

// startDrain begins a drain, unless it stands or was begun lately: then the order is the same one again.
func (s *Server) startDrain(ctx context.Context, order *drain.BeginRequest) (drain.Response, error) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	values, err := s.readPrefix(readCtx, "")
	if err != nil {
		return drain.Response{}, err
	}
	if key, _, exists := drain.Find(values, order.Target); exists {
		s.awaitPropagation(ctx, key)
		return drain.Response{Target: order.Target, AlreadyActive: true}, nil
	}
	s.mu.Lock()
	backends := s.replica.Backends()
	s.mu.Unlock()
	zone, drainOrder, err := s.parseDrainTarget(order.Target, backends)
	if err != nil {
		if drain.AddedRecently(values, order.Target, s.now(), s.resendWindow()) {
			return drain.Response{Target: order.Target}, nil // it has left since, and its drain with it
		}
		return drain.Response{}, err
	}
	response := drain.Response{Target: drainOrder.TargetName(zone)}
	if !order.Force {
		response = s.checkCapacity(ctx, zone, drainOrder, values, backends)
		if len(response.Shortfalls) > 0 {
			return drain.Response{}, &insufficientCapacityError{response}
		}
	}
	key := drain.ListKey(zone)
	if err := s.proposeDrain(ctx, zone, drainOrder, values); err != nil {
		return drain.Response{}, err
	}
	s.awaitPropagation(ctx, key)
	return response, nil
}

// parseDrainTarget reads what a word is about; *notFoundError where there is no such thing.
func (s *Server) parseDrainTarget(name string, backends map[string]*replication.Backend) (zone string, drainOrder drain.Drain, err error) {
	zone, drainOrder, err = drain.ParseTarget(name, s.settings.Zones, func(id string) string {
		if a := backends[id]; a != nil {
			return a.Zone
		}
		return ""
	})
	if err != nil {
		return "", drainOrder, &notFoundError{"target: " + err.Error()}
	}
	serves := func(a *replication.Backend) bool { return a.Service == drainOrder.Service }
	if drainOrder.Service != "" && !slices.ContainsFunc(slices.Collect(maps.Values(backends)), serves) {
		return "", drainOrder, &notFoundError{"target: no appliance of such a service is known"}
	}
	return zone, drainOrder, nil
}

// checkCapacity tells what would be short, and which appliances go, if a drain were begun.
func (s *Server) checkCapacity(ctx context.Context, zone string, drainOrder drain.Drain, values map[string]quorum.Value, backends map[string]*replication.Backend) drain.Response {
	survey, unreachable := s.surveyAll(ctx)
	_, loads := survey.ProgressReports()
	order := drain.NewActiveDrain(zone, drainOrder, 0)
	capacities := routing.BackendCapacities(routing.NewTable(values), backends, s.settings.Zones, s.now())
	response := drain.Response{Target: drainOrder.TargetName(zone), Shortfalls: drain.CapacityShortfalls(loads, capacities, order.Covers), Unresponsive: unreachable}
	if len(response.Shortfalls) == 0 {
		return response
	}
	for _, capacity := range capacities {
		if order.Covers(capacity) && capacity.Serving {
			response.Backends = append(response.Backends, capacity.ID)
		}
	}
	return response
}

// proposeDrain has a drain's beginning decided.
func (s *Server) proposeDrain(ctx context.Context, zone string, drainOrder drain.Drain, values map[string]quorum.Value) error {
	key, now := drain.ListKey(zone), s.now()
	ended := s.endedBackends(drain.ReadList(values[key]))
	change := drain.AddRecorded(zone, drainOrder, func(id string) bool { return ended[id] }, now, s.resendWindow())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.operations.join(ctx, "drains.begin "+zone+" "+drainOrder.TargetName(zone), 0, func(ctx context.Context) (uint64, error) {
		chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		if err == nil && !slices.ContainsFunc(drain.ReadList(chosen[key]), drainOrder.SameTarget) {
			err = &tooManyDrainsError{}
		}
		return 0, err
	})
	return err
}

// endedBackends tells of which drains the appliance's life is over.
func (s *Server) endedBackends(drains []drain.Drain) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := map[string]bool{}
	for _, drainOrder := range drains {
		ended[drainOrder.ID] = drainOrder.ID != "" && s.replica.BackendEnded(drainOrder.ID)
	}
	return ended
}

// handleDrainEnd withdraws a drain; 404 where none of that name stands, nor did lately.
func (s *Server) handleDrainEnd(w http.ResponseWriter, r *http.Request) {
	name, ok := targetParam(w, r)
	if !ok || !s.requireQuorum(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := s.stopDrain(ctx, name); err != nil {
		writeError(w, err)
		return
	}
	writeValue(w, http.StatusOK, drain.Response{Target: name})
}

// stopDrain has the end of a drain decided; one that was withdrawn lately is withdrawn.
func (s *Server) stopDrain(ctx context.Context, name string) error {
	values, err := s.readPrefix(ctx, drain.ListKey(""))
	if err != nil {
		return err
	}
	now := s.now()
	key, drainOrder, exists := drain.Find(values, name)
	if !exists {
		if drain.RemovedRecently(values, name, now, s.resendWindow()) {
			return nil
		}
		return &notFoundError{"of: no such drain stands"}
	}
	change := drain.RemoveRecorded(drain.ZoneOfListKey(key), drainOrder, now, s.resendWindow())
	_, err = s.operations.join(ctx, "drains.end "+name, 0, func(ctx context.Context) (uint64, error) {
		_, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		return 0, err
	})
	return err
}

// handleDrainsRead tells how far the drains have come: all, or the one that is named.
func (s *Server) handleDrainsRead(w http.ResponseWriter, r *http.Request) {
	if !s.requireQuorum(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	values, err := s.readPrefix(ctx, drain.ListKey(""))
	if err != nil {
		writeError(w, err)
		return
	}
	orders := drain.ActiveDrains(values)
	if name := r.URL.Query().Get("of"); name != "" {
		orders = slices.DeleteFunc(orders, func(o drain.ActiveDrain) bool { return o.Target != name })
		if len(orders) == 0 {
			writeError(w, &notFoundError{"of: no such drain stands"})
			return
		}
	}
	response := drain.ProgressList{Drains: []drain.Progress{}}
	if len(orders) > 0 {
		survey, unreachable := s.surveyAll(r.Context())
		reports, _ := survey.ProgressReports()
		s.mu.Lock()
		backends := s.replica.Backends()
		s.mu.Unlock()
		capacities := routing.BackendCapacities(routing.NewTable(values), backends, s.settings.Zones, s.now())
		response.Drains = drain.MeasureProgress(orders, capacities, reports, unreachable, s.now())
	}
	writeValue(w, http.StatusOK, response)
}
