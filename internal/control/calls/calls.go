// Package calls names the calls that the controllers serve to backends and operators.
package calls

// Name is the name of a call: the query parameter "call" of POST /api/rpc. Some calls have a target, the query
// parameter "of".
type Name string

// Calls of backends. Their target is the ID of the backend.
const (
	// Heartbeat reports that a backend is up, and its state: a replication.Heartbeat.
	Heartbeat Name = "servers.pulse"
	// SignOff reports that a backend has left for good.
	SignOff Name = "servers.sign_off"
)

// Calls of operators.
const (
	// SettingsChange puts and removes items of the configuration: a config.ChangeRequest.
	SettingsChange Name = "settings.change"
	// SettingsRead returns the items of the configuration.
	SettingsRead Name = "settings.read"

	// ReleaseBegin starts the release of a version of a service: a release.StartRequest.
	ReleaseBegin Name = "releases.begin"
	// ReleaseRead returns the phase of a release. Its target is the service.
	ReleaseRead Name = "releases.read"

	// EvacuationBegin takes all backends of a zone out of service. Its target is the zone.
	EvacuationBegin Name = "clear_out.begin"
	// EvacuationEnd withdraws one order to clear out a zone. Its target is the zone.
	EvacuationEnd Name = "clear_out.finish"

	// DrainBegin drains a backend, the backends of a service in a zone, or a zone: a drain.BeginRequest, answered by a
	// drain.Response.
	DrainBegin Name = "drains.begin"
	// DrainEnd withdraws a drain. Its target is that of the drain.
	DrainEnd Name = "drains.end"
	// DrainsRead returns how far the drains have come: a drain.ProgressList. It may have the target of one drain.
	DrainsRead Name = "drains.read"
)
