package httpagent

import "sync"

// controlEndpoints holds the current addresses of discovery and the platform. Reload changes them at run time.
type controlEndpoints struct {
	mu                          sync.Mutex
	current                     endpointAddresses
	watchChanged, streamChanged chan struct{} // signaled when an address has changed
}

type endpointAddresses struct{ discovery, platform string }

func (e *controlEndpoints) load() endpointAddresses {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *controlEndpoints) discovery() string { return e.load().discovery }
func (e *controlEndpoints) platform() string  { return e.load().platform }

// Reload applies the addresses of discovery and the platform from a station that has passed Check. The watch and the
// stream are opened at the new addresses immediately; the old ones are closed once the new ones have received
// something. Votes go to the new address. All other changes to the station require a restart.
func (a *Agent) Reload(station *Station) {
	a.endpoints.mu.Lock()
	a.endpoints.current = endpointAddresses{station.Discovery, station.Platform.Address}
	a.endpoints.mu.Unlock()
	notify(a.endpoints.watchChanged)
	notify(a.endpoints.streamChanged)
	a.log.Info("reloaded", "discovery", station.Discovery, "platform", station.Platform.Address)
}
