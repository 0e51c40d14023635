package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
)

// drainTarget is the target of a drain order: a backend, a service in a zone, or a zone.
type drainTarget struct {
	zone  string
	drain drain.Drain
}

// name returns the name that operators use for the target.
func (t drainTarget) name() string { return t.drain.TargetName(t.zone) }

// handleDrainBegin takes backends out of service. It rejects an order that would leave too little capacity, unless the
// order has Force set.
func (s *Server) handleDrainBegin(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r, maxDrainBytes)
	if err != nil {
		return err
	}
	order := &drain.BeginRequest{}
	if err := easyjson.Unmarshal(data, order); err != nil {
		return invalidRequest(err)
	}
	if order.Target == "" || len(order.Target) > maxTargetBytes {
		return invalidParam("target: missing or too long")
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	response, err := s.beginDrain(r.Context(), s.newArrivedOrder(r), order)
	if err != nil {
		return err
	}
	return writeValue(w, http.StatusOK, response)
}

// beginDrain begins a drain. If the drain is active or was begun within the resend window, the order is a repetition
// and has no effect. An order is rejected only if no earlier attempt at it can take effect any more.
func (s *Server) beginDrain(
	ctx context.Context, arrived arrivedOrder, order *drain.BeginRequest,
) (drain.Response, error) {
	response, err := s.attemptDrain(ctx, arrived, order)
	if !isRejection(err) {
		return response, err
	}
	values, settleErr := s.settleDrains(ctx)
	if settleErr != nil {
		return drain.Response{}, settleErr
	}
	if key, _, active := drain.Find(values, order.Target); active {
		s.awaitPropagation(ctx, key)
		return drain.Response{Target: order.Target, AlreadyActive: true}, nil
	}
	return drain.Response{}, err
}

// settleDrains replaces what earlier attempts at orders have left with some of the members, by a round that keeps the
// drains of all zones as they are. It returns their registers. A drain that they don't list begins only with a later
// order.
func (s *Server) settleDrains(ctx context.Context) (map[string]quorum.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var keys []string
	for zone := range s.settings.Zones {
		keys = append(keys, drain.ListKey(zone))
	}
	slices.Sort(keys)
	return s.proposeAtomic(ctx, keys, quorum.Keep)
}

// attemptDrain begins a drain on the basis of the registers that it reads while the caller waits. It gives way to orders
// on the target that were carried out since.
func (s *Server) attemptDrain(
	ctx context.Context, arrived arrivedOrder, order *drain.BeginRequest,
) (drain.Response, error) {
	values, err := s.readDrainBase(ctx, arrived, "")
	if err != nil {
		return drain.Response{}, err
	}
	if key, _, active := drain.Find(values, order.Target); active {
		s.awaitPropagation(ctx, key)
		return drain.Response{Target: order.Target, AlreadyActive: true}, nil
	}
	backends := s.backends()
	target, err := s.findDrainTarget(order.Target, backends)
	if err != nil {
		if drain.AddedRecently(values, order.Target, arrived.receivedAt, s.resendWindow()) {
			return drain.Response{Target: order.Target}, nil // the backend has ended since then, which also ended its drain
		}
		return drain.Response{}, err
	}
	response := drain.Response{Target: target.name()}
	if !order.Force {
		response = s.checkCapacity(ctx, target, values, backends)
		if len(response.Shortfalls) > 0 {
			return drain.Response{}, &insufficientCapacityError{response}
		}
	}
	if err := s.proposeDrain(ctx, target, values, arrived.receivedAt); err != nil {
		return drain.Response{}, err
	}
	s.awaitPropagation(ctx, drain.ListKey(target.zone))
	return response, nil
}

// readDrainBase reads the registers whose keys start with a prefix, on which an order is based.
func (s *Server) readDrainBase(
	ctx context.Context, arrived arrivedOrder, prefix string,
) (values map[string]quorum.Value, err error) {
	err = s.whileAwaited(ctx, arrived, func(ctx context.Context) error {
		values, err = s.readPrefix(ctx, prefix)
		return err
	})
	return values, err
}

// findDrainTarget resolves the name of a target. It returns a *notFoundError if the name is unknown.
func (s *Server) findDrainTarget(name string, backends map[string]*replication.Backend) (drainTarget, error) {
	zone, parsed, err := drain.ParseTarget(name, s.settings.Zones, func(id string) string {
		if backend := backends[id]; backend != nil {
			return backend.Zone
		}
		return ""
	})
	if err != nil {
		return drainTarget{}, &notFoundError{"target: " + err.Error()}
	}
	inService := func(backend *replication.Backend) bool { return backend.Service == parsed.Service }
	if parsed.Service != "" && !slices.ContainsFunc(slices.Collect(maps.Values(backends)), inService) {
		return drainTarget{}, &notFoundError{"target: no backend of this service is known"}
	}
	return drainTarget{zone: zone, drain: parsed}, nil
}

// checkCapacity returns the capacity shortfalls that a drain would cause or, if there are none, the backends that it
// would take out of service.
func (s *Server) checkCapacity(
	ctx context.Context, target drainTarget, values map[string]quorum.Value, backends map[string]*replication.Backend,
) drain.Response {
	survey := s.surveyAll(ctx)
	_, loads := survey.ProgressReports()
	planned := drain.NewActiveDrain(target.zone, target.drain, 0)
	capacities := s.capacities(values, backends)
	response := drain.Response{
		Target:       target.name(),
		Shortfalls:   drain.CapacityShortfalls(loads, capacities, planned.Covers),
		Unresponsive: survey.unresponsive,
	}
	if len(response.Shortfalls) > 0 {
		return response
	}
	for _, capacity := range capacities {
		if planned.Covers(capacity) && capacity.Serving {
			response.Backends = append(response.Backends, capacity.ID)
		}
	}
	return response
}

// proposeDrain adds a drain to the drains of its zone. It returns errTooManyDrains if the zone has the maximum number
// of drains, and errOvertakenOrder if a later order has withdrawn the drain.
func (s *Server) proposeDrain(
	ctx context.Context, target drainTarget, base map[string]quorum.Value, receivedAt time.Time,
) error {
	key := drain.ListKey(target.zone)
	ended := s.endedBackends(drain.ReadList(base[key]))
	isEnded := func(id string) bool { return ended[id] }
	change := drain.AddRecorded(base[key], target.zone, target.drain, isEnded, receivedAt, s.resendWindow())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.operations.runSeparately(ctx, 0, func(ctx context.Context) (uint64, error) {
		chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		if err != nil {
			return 0, err
		}
		if slices.ContainsFunc(drain.ReadList(chosen[key]), target.drain.SameTarget) {
			return chosen[key].Version, nil
		}
		if drain.Overtaken(base[key], chosen[key], target.name()) {
			return 0, errOvertakenOrder
		}
		return 0, errTooManyDrains
	})
	return err
}

// endedBackends returns, by backend ID, whether the drained backends have ended.
func (s *Server) endedBackends(drains []drain.Drain) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := map[string]bool{}
	for _, d := range drains {
		ended[d.ID] = d.ID != "" && s.replica.BackendEnded(d.ID)
	}
	return ended
}

// handleDrainEnd withdraws a drain. It rejects the order if the drain is not active, unless the order is a repetition.
func (s *Server) handleDrainEnd(w http.ResponseWriter, r *http.Request) error {
	name, err := readTarget(r)
	if err != nil {
		return err
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := s.endDrain(ctx, s.newArrivedOrder(r), name); err != nil {
		return err
	}
	return writeValue(w, http.StatusOK, drain.Response{Target: name})
}

// endDrain withdraws a drain. It does nothing if the drain was withdrawn within the resend window. It rejects the order
// only if no earlier attempt to begin the drain can take effect any more.
func (s *Server) endDrain(ctx context.Context, arrived arrivedOrder, name string) error {
	values, err := s.readDrainBase(ctx, arrived, drain.ListKey(""))
	if err != nil {
		return err
	}
	if _, _, found := drain.Find(values, name); found {
		return s.proposeDrainEnd(ctx, name, values, arrived.receivedAt)
	}
	if drain.RemovedRecently(values, name, arrived.receivedAt, s.resendWindow()) {
		return nil
	}
	err = s.whileAwaited(ctx, arrived, func(ctx context.Context) error {
		values, err = s.settleDrains(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if _, _, found := drain.Find(values, name); !found {
		return errNoSuchDrain
	}
	return s.proposeDrainEnd(ctx, name, values, arrived.receivedAt)
}

// proposeDrainEnd removes the drain with a name, which base lists, from the drains of its zone. It returns
// errOvertakenOrder if a later order has begun the drain anew.
func (s *Server) proposeDrainEnd(
	ctx context.Context, name string, base map[string]quorum.Value, receivedAt time.Time,
) error {
	key, active, _ := drain.Find(base, name)
	change := drain.RemoveRecorded(base[key], drain.ZoneOfListKey(key), active, receivedAt, s.resendWindow())
	_, err := s.operations.runSeparately(ctx, 0, func(ctx context.Context) (uint64, error) {
		chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		if err != nil {
			return 0, err
		}
		if slices.ContainsFunc(drain.ReadList(chosen[key]), active.SameTarget) {
			return 0, errOvertakenOrder
		}
		return chosen[key].Version, nil
	})
	return err
}

// backends returns the known backends that have not ended, by ID.
func (s *Server) backends() map[string]*replication.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Backends()
}

// capacities computes the capacity of each backend from the given registers.
func (s *Server) capacities(
	values map[string]quorum.Value, backends map[string]*replication.Backend,
) []drain.BackendCapacity {
	return routing.BackendCapacities(routing.NewTable(values), backends, s.settings.Zones, s.now())
}
