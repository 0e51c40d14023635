package httpagent

import "sync"

// controlEndpoints are the present addresses of discovery and the platform; both may change while the agent runs.
type controlEndpoints struct {
	mu                          sync.Mutex
	current                     endpointAddresses
	watchChanged, streamChanged chan struct{} // signal that an address has changed
}

type endpointAddresses struct{ discovery, platform string }

func (e *controlEndpoints) load() endpointAddresses {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *controlEndpoints) discovery() string { return e.load().discovery }
func (e *controlEndpoints) platform() string  { return e.load().platform }

// Reload takes up the addresses of discovery and the platform from a station that has been checked. The watch and the
// stream are opened at the new addresses at once, beside the old ones until they have received something; votes go to
// the new address from now on. All else in the station takes effect at the next start.
func (a *Agent) Reload(station *Station) {
	a.endpoints.mu.Lock()
	a.endpoints.current = endpointAddresses{station.Discovery, station.Platform.Address}
	a.endpoints.mu.Unlock()
	notify(a.endpoints.watchChanged)
	notify(a.endpoints.streamChanged)
	a.log.Info("reloaded", "discovery", station.Discovery, "platform", station.Platform.Address)
}
