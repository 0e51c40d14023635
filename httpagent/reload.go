package httpagent

import "sync"

// moved is where discovery and the platform are now; both may move while the agent runs.
type moved struct {
	mu            sync.Mutex
	at            addresses
	watch, stream chan struct{} // the word that they have moved
}

type addresses struct{ discovery, platform string }

func (m *moved) now() addresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

func (m *moved) discovery() string { return m.now().discovery }
func (m *moved) platform() string  { return m.now().platform }

// Reload takes up the addresses of discovery and the platform from a station that has been checked. The watch and the
// stream are opened at the new ones at once, beside the old until they speak; votes go there from now on. What was
// taken and what was told stays. All else in the station holds from the next start on.
func (a *Agent) Reload(s *Station) {
	a.moved.mu.Lock()
	a.moved.at = addresses{s.Discovery, s.Platform.Address}
	a.moved.mu.Unlock()
	for _, word := range []chan struct{}{a.moved.watch, a.moved.stream} {
		nudge(word)
	}
	a.log.Info("reloaded", "discovery", s.Discovery, "platform", s.Platform.Address)
}

// nudge leaves word on a channel that holds one; one that has not been heeded yet will do.
func nudge(word chan<- struct{}) {
	select {
	case word <- struct{}{}:
	default:
	}
}
