package httpagent

import "sync"

// controlEndpoints is where discovery and the platform are now; both may move while the agent runs.
type controlEndpoints struct {
	mu                          sync.Mutex
	current                     endpointAddresses
	watchChanged, streamChanged chan struct{} // the word that they have moved
}

type endpointAddresses struct{ discovery, platform string }

func (m *controlEndpoints) load() endpointAddresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

func (m *controlEndpoints) discovery() string { return m.load().discovery }
func (m *controlEndpoints) platform() string  { return m.load().platform }

// Reload takes up the addresses of discovery and the platform from a station that has been checked. The watch and the
// stream are opened at the new ones at once, beside the old until they speak; votes go there from now on. What was
// taken and what was told stays. All else in the station holds from the next start on.
func (a *Agent) Reload(station *Station) {
	a.endpoints.mu.Lock()
	a.endpoints.current = endpointAddresses{station.Discovery, station.Platform.Address}
	a.endpoints.mu.Unlock()
	for _, signal := range []chan struct{}{a.endpoints.watchChanged, a.endpoints.streamChanged} {
		notify(signal)
	}
	a.log.Info("reloaded", "discovery", station.Discovery, "platform", station.Platform.Address)
}

// notify leaves word on a channel that holds one; one that has not been heeded yet will do.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
