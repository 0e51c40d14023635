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
	// backendLatency is how long a fake backend works on a request.
	backendLatency = 5 * time.Millisecond
	// drainGrace is how long after the notice of its drain a backend may still receive requests. The settings of the
	// agents name the same time.
	drainGrace = 500 * time.Millisecond
	// faultDuration is how long a backend misbehaves.
	faultDuration = 700 * time.Millisecond
)

// backendSet holds the backends of a run, and the discovery service that lists them.
type backendSet struct {
	discovery *fakes.Discovery

	mu         sync.Mutex
	all        []*fakes.Backend
	registered []*fakes.Backend             // listed by discovery and not draining
	drainedAt  map[*fakes.Backend]time.Time // when the drain was announced
}

// newBackendSet starts a number of backends and the discovery service.
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

// close ends the discovery service and all backends.
func (s *backendSet) close() {
	s.discovery.Close()
	for _, backend := range s.all {
		backend.Close()
	}
}

// add starts a backend and announces it.
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

// announce makes discovery list the registered backends. If one of them is to drain, it is announced as draining, and
// missing from later announcements.
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

// observation is what the backends of a run have seen.
type observation struct {
	runs           map[string]int // how often each message was run, by id
	truncated      int            // messages that arrived incomplete and were not run
	lateAfterDrain int            // backends that ran a message later than drainGrace after their drain was announced
}

// observe collects what all backends have seen.
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

// faultKind is a fault that is injected into one backend.
type faultKind int

const (
	faultSilent     faultKind = iota // answers nothing for a while
	faultPingOnly                    // answers pings only for a while
	faultOverloaded                  // rejects everything for a while
	faultKilled                      // breaks all its connections
	faultDrained                     // drains, and another backend takes its place
)

// behaviors are those of the faults that last for a while.
var behaviors = map[faultKind]fakes.Behavior{
	faultSilent:     fakes.Silent,
	faultPingOnly:   fakes.PingOnly,
	faultOverloaded: fakes.Overloaded,
}

// faultSchedule returns the faults of a run in an order that the random source determines.
func faultSchedule(rng *rand.Rand) []faultKind {
	kinds := []faultKind{
		faultSilent, faultPingOnly, faultKilled, faultDrained, faultOverloaded,
		faultSilent, faultDrained, faultKilled, faultPingOnly, faultDrained,
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// injectFaults injects one fault after another while clients send a number of messages, at even intervals of the count
// of sent messages. The seed determines the order and the backends. It returns how often each fault was injected.
func (s *backendSet) injectFaults(messages int, seed uint64, sent *atomic.Int64) (map[faultKind]int, error) {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
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
