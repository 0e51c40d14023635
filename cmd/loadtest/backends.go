package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/internal/testbed/fakes"
)

const (
	// firstBuild is the build of the backends at the start of an experiment.
	firstBuild = 7
	// backendLatency is how long a fake backend takes to respond.
	backendLatency = 5 * time.Millisecond
	// drainGrace is how long after the announcement of its drain a backend may still receive requests. It must equal
	// safety.drainGrace in agentSettings.
	drainGrace = 500 * time.Millisecond
	// faultDuration is how long a temporary fault lasts.
	faultDuration = 700 * time.Millisecond
	// faultStream selects the random number stream of the faults; those of the clients begin at 0.
	faultStream = 1 << 32
)

// backendSet holds the backends of a run and the discovery service that lists them.
type backendSet struct {
	discovery *fakes.Discovery

	mu         sync.Mutex
	all        []*fakes.Backend
	registered []*fakes.Backend             // listed by discovery and not draining
	drainedAt  map[*fakes.Backend]time.Time // when the drain was announced
}

// newBackendSet starts the discovery service and the given number of backends.
func newBackendSet(count int) (*backendSet, error) {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return nil, err
	}
	set := &backendSet{discovery: discovery, drainedAt: map[*fakes.Backend]time.Time{}}
	for range count {
		if err := set.add(); err != nil {
			set.close()
			return nil, err
		}
	}
	return set, nil
}

// close stops the discovery service and all backends.
func (s *backendSet) close() {
	s.discovery.Close()
	for _, backend := range s.all {
		backend.Close()
	}
}

// add starts a backend and registers it with the discovery service.
func (s *backendSet) add() error {
	backend, err := fakes.NewBackend(fmt.Sprintf("box-%d", len(s.all)), backendLatency)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.all = append(s.all, backend)
	s.registered = append(s.registered, backend)
	s.mu.Unlock()
	s.announce(nil)
	return nil
}

// announce updates the list of the discovery service to the registered backends. The backend draining, if not nil, is
// listed as draining and removed from the registered backends, so that later updates omit it.
func (s *backendSet) announce(draining *fakes.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []fakes.Entry
	for _, backend := range s.registered {
		entries = append(entries, fakes.Entry{
			Name:     backend.Name,
			Address:  backend.Address,
			Build:    firstBuild,
			Draining: backend == draining,
		})
	}
	s.discovery.SetEntries(entries)
	if draining != nil {
		s.drainedAt[draining] = time.Now()
		s.registered = slices.DeleteFunc(s.registered, func(b *fakes.Backend) bool { return b == draining })
	}
}

// observation holds the records of all backends of a run.
type observation struct {
	runs           map[string]int // number of executions by message ID
	truncated      int            // messages that arrived incomplete and were not executed
	lateAfterDrain int            // backends that executed a message more than drainGrace after their drain was announced
}

// observe collects the records of all backends.
func (s *backendSet) observe() observation {
	result := observation{runs: map[string]int{}}
	for _, backend := range s.all {
		runs, lastRun, truncated := backend.Observed()
		for id, count := range runs {
			result.runs[id] += count
		}
		result.truncated += truncated
		if drainedAt, drained := s.drainedAt[backend]; drained && lastRun.After(drainedAt.Add(drainGrace)) {
			result.lateAfterDrain++
		}
	}
	return result
}

// faultKind is a kind of fault that is injected into a backend.
type faultKind int

const (
	faultSilent     faultKind = iota // responds to nothing for faultDuration
	faultPingOnly                    // responds only to pings for faultDuration
	faultOverloaded                  // rejects all messages for faultDuration
	faultKilled                      // closes all its connections
	faultDrained                     // drains and is replaced by another backend
)

// behaviors are the backend behaviors of the temporary faults.
var behaviors = map[faultKind]fakes.Behavior{
	faultSilent:     fakes.Silent,
	faultPingOnly:   fakes.PingOnly,
	faultOverloaded: fakes.Overloaded,
}

// faultSchedule returns the faults of a run in random order.
func faultSchedule(rng *rand.Rand) []faultKind {
	kinds := []faultKind{
		faultSilent, faultPingOnly, faultKilled, faultDrained, faultOverloaded,
		faultSilent, faultDrained, faultKilled, faultPingOnly, faultDrained,
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// injectFaults injects the faults of a run one after another while clients send messages, evenly spaced by the number
// of sent messages. The seed determines the order and the backends. It returns how often each fault was injected.
func (s *backendSet) injectFaults(messages int, seed uint64, sent *atomic.Int64) (map[faultKind]int, error) {
	rng := rand.New(rand.NewPCG(seed, faultStream))
	injected := map[faultKind]int{}
	kinds := faultSchedule(rng)
	for i, kind := range kinds {
		due := int64(messages * (i + 1) / (len(kinds) + 2))
		for sent.Load() < due {
			time.Sleep(time.Millisecond)
		}
		backend := s.registered[rng.IntN(len(s.registered))]
		if err := s.inject(kind, backend); err != nil {
			return injected, err
		}
		injected[kind]++
	}
	return injected, nil
}

// inject injects a fault into a backend.
func (s *backendSet) inject(kind faultKind, backend *fakes.Backend) error {
	switch kind {
	case faultKilled:
		backend.BreakConnections()
	case faultDrained:
		s.announce(backend)
		return s.add()
	default:
		backend.SetBehavior(behaviors[kind], backendLatency)
		time.AfterFunc(faultDuration, func() { backend.SetBehavior(fakes.Healthy, backendLatency) })
	}
	return nil
}
