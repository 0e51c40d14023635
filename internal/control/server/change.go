package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/internal/rpc"
)

const (
	// timePerItem is added to callTimeout for each item of a change, as callers wait longer for a large change.
	timePerItem = 3 * time.Millisecond

	// maxValidations is how often a change is validated before it pauses.
	maxValidations = 4

	// maxFailedHandOvers is the number of hand-overs without a definite answer after which this controller proposes a
	// change itself.
	maxFailedHandOvers = 2
)

// configChange is a change of the configuration that an operator has requested.
type configChange struct {
	body   []byte // of the request
	values map[string]quorum.Value
	keys   []string // keys of values, sorted

	mayHandOver     bool // the change may be handed over to another controller
	failedHandOvers int  // number of hand-overs without a definite answer
}

// newConfigChange parses the body of a request. It checks everything that doesn't depend on the current configuration.
func newConfigChange(body []byte) (*configChange, error) {
	request, err := config.ParseChangeRequest(body)
	if err != nil {
		return nil, invalidRequest(err)
	}
	values, err := request.Values()
	if err != nil {
		return nil, invalidRequest(err)
	}
	return &configChange{body: body, values: values, keys: slices.Sorted(maps.Keys(values))}, nil
}

// timeout returns how long the caller waits for the change. It also bounds each attempt to commit the change.
func (c *configChange) timeout() time.Duration {
	return callTimeout + time.Duration(len(c.values))*timePerItem
}

// commit validates and commits a change. Concurrent calls with the same change share one operation.
func (s *Server) commit(ctx context.Context, change *configChange) error {
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, change.timeout())
	defer cancel()
	key := operationKey(calls.SettingsChange, config.ChangeText(change.values))
	return s.operations.run(ctx, key, len(change.body), func(ctx context.Context) error {
		return s.newRetryPolicy(change.timeout()).run(ctx, func(ctx context.Context) error {
			return s.attemptChange(ctx, change)
		})
	})
}

// attemptChange makes one attempt to commit a change. If another controller coordinates the competing changes, it hands
// the change over to that controller.
func (s *Server) attemptChange(ctx context.Context, change *configChange) error {
	err := s.contended(change)
	if err == nil {
		err = s.validateAndPropose(ctx, change)
	}
	contended, ok := errors.Into[*replica.ContendedError](err)
	if !ok {
		return err
	}
	s.counters.handedOver.Add(1)
	return s.handOver(ctx, contended.Coordinator, change)
}

// handOver sends a change to the coordinator and returns an error if the coordinator rejects it. If there is no answer,
// or if the answer leaves the outcome open, handOver returns replica.ErrTooFewResponses, so that the change is
// attempted again.
func (s *Server) handOver(ctx context.Context, coordinator message.Member, change *configChange) error {
	body, err := easyjson.Marshal(&message.ChangeRequest{Change: change.body})
	if err != nil {
		return &encodingError{err}
	}
	response := &message.ChangeResponse{}
	err = rpc.Post(ctx, s.peerClient, coordinator.Addr, message.ChangePath, body, response)
	if err == nil && response.Status == http.StatusOK {
		return nil
	}
	if err != nil || response.Status == http.StatusServiceUnavailable {
		change.failedHandOvers++
		return replica.ErrTooFewResponses
	}
	return &coordinatorError{status: response.Status, message: response.Error}
}

// contended returns a *replica.ContendedError if a change is to be handed over without being validated here, as the
// validation may compete with the coordinator's rounds.
func (s *Server) contended(change *configChange) error {
	if !change.canHandOver() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Contended(s.now())
}

// canHandOver reports whether the change may be handed over. It may not after maxFailedHandOvers failed hand-overs.
func (c *configChange) canHandOver() bool {
	return c.mayHandOver && c.failedHandOvers < maxFailedHandOvers
}

// proposer returns the function that proposes a change.
func (s *Server) proposer(change *configChange) proposeFunc {
	if change.canHandOver() {
		return s.proposeOrHandOver
	}
	return s.proposeAtomic
}

// proposeFunc changes registers by one decision and returns the chosen values.
type proposeFunc func(ctx context.Context, keys []string, decide quorum.DecideFunc) (map[string]quorum.Value, error)

// validateAndPropose validates a change against the current configuration and proposes it, again if the configuration has
// changed meanwhile. One of the changes that compete has been committed then.
func (s *Server) validateAndPropose(ctx context.Context, change *configChange) (err error) {
	for range maxValidations {
		err = s.validateAndProposeOnce(ctx, change)
		if !errors.Is(err, errConfigurationChanged) {
			return err
		}
	}
	return err
}

// validateAndProposeOnce reads the current configuration only if the validity of the change depends on it, as a read costs a
// message to all members and grows with the configuration.
func (s *Server) validateAndProposeOnce(ctx context.Context, change *configChange) error {
	propose := s.proposer(change)
	if !config.DependsOnOtherItems(change.values) {
		return commitWith(ctx, propose, change, nil, config.Commit(change.values))
	}
	missing, selfContained := config.RequiredServices(s.localValues(change.keys), change.values)
	if selfContained && len(missing) == 0 { // no service that is named may be removed, as it is in use
		err := commitWith(ctx, propose, change, nil, config.CommitSelfContained(nil, change.values))
		if !isType[*config.IndeterminateError](err) {
			return err
		}
	}
	guards := config.NewGuards(change.values)
	if err := s.readGuards(ctx, guards); err != nil {
		return err
	}
	if selfContained && len(missing) > 0 {
		err := s.commitWithServices(ctx, propose, change, guards, missing)
		if !isType[*config.IndeterminateError](err) {
			return err
		}
	}
	current, err := s.readConfiguration(ctx)
	if err != nil {
		return err
	}
	if err := s.configIndex.check(current, change.values); err != nil {
		return refuseWith(ctx, propose, change, err)
	}
	return commitWith(ctx, propose, change, guards, config.Commit(change.values))
}

// readGuards reads the guards of a change, which must be done before the configuration is read. The values that this replica
// knows to be chosen will do although they may be old: a guard with a newer value is found to have changed.
func (s *Server) readGuards(ctx context.Context, guards *config.Guards) error {
	values, chosen := s.localChosenValues(guards.Keys())
	if !chosen {
		var err error
		if values, err = s.readKeys(ctx, guards.Keys()); err != nil {
			return err
		}
	}
	guards.SetRead(values)
	return nil
}

// refuseWith refuses a change for a reason that depends on the configuration in force. The refusal is definite only once
// it is recorded, so that no other attempt at the change can take effect.
func refuseWith(ctx context.Context, propose proposeFunc, change *configChange, reason error) error {
	if !isType[*config.InvalidError](reason) {
		return reason
	}
	chosen, err := propose(ctx, change.keys, config.Refuse(change.values))
	if err != nil {
		return err
	}
	return config.RefusalOutcome(chosen, change.values, reason)
}

// commitWithServices commits a change whose validity depends only on the services that it names, some of which are missing
// among those that its routes named before.
func (s *Server) commitWithServices(
	ctx context.Context, propose proposeFunc, change *configChange, guards *config.Guards, missing []string,
) error {
	services, err := s.readKeys(ctx, missing)
	if err != nil {
		return err
	}
	return commitWith(ctx, propose, change, guards, config.CommitSelfContained(services, change.values))
}

// commitWith proposes a change with a decision function and returns the outcome. It returns errConfigurationChanged if
// the change has to be validated again, as a change that it may not be valid together with was committed since guards were
// read.
func commitWith(
	ctx context.Context, propose proposeFunc, change *configChange, guards *config.Guards, decide quorum.DecideFunc,
) error {
	keys := change.keys
	if guards != nil {
		keys = slices.Concat(keys, guards.Keys())
		decide = guards.Wrap(decide)
	}
	chosen, err := propose(ctx, keys, decide)
	if err != nil {
		return err
	}
	err = config.Outcome(chosen, change.values)
	if isType[*config.IndeterminateError](err) && guards != nil && guards.Overtaken(chosen) {
		return errConfigurationChanged
	}
	return err
}
