// Package calls defines the names of the API calls that controllers serve to backends and operators.
package calls

// Name is the name of a call, which is the query parameter "call" of POST /api/rpc. Some calls have a target, which is
// the query parameter "of".
type Name string

// Calls of backends. Their target is the ID of the backend.
const (
	// Heartbeat reports that a backend is alive, and its state. The body is a replication.Heartbeat.
	Heartbeat Name = "servers.pulse"
	// SignOff reports that a backend has left permanently.
	SignOff Name = "servers.sign_off"
)

// Calls of operators.
const (
	// SettingsChange sets and removes items of the configuration. The body is a config.ChangeRequest.
	SettingsChange Name = "settings.change"
	// SettingsRead returns the items of the configuration.
	SettingsRead Name = "settings.read"

	// ReleaseBegin starts the release of a version of a service. The body is a release.StartRequest.
	ReleaseBegin Name = "releases.begin"
	// ReleaseRead returns the phase of a release. Its target is the service.
	ReleaseRead Name = "releases.read"

	// EvacuationBegin orders the evacuation of a zone: no backend there gets traffic. Its target is the zone.
	EvacuationBegin Name = "clear_out.begin"
	// EvacuationEnd withdraws one evacuation order. Its target is the zone.
	EvacuationEnd Name = "clear_out.finish"

	// DrainBegin drains a backend, the backends of a service in a zone, or a zone. The body is a drain.BeginRequest,
	// the response a drain.Response.
	DrainBegin Name = "drains.begin"
	// DrainEnd withdraws a drain. Its target is that of the drain.
	DrainEnd Name = "drains.end"
	// DrainsRead returns the progress of the drains as a drain.ProgressList. Its target is optional and selects one
	// drain.
	DrainsRead Name = "drains.read"
)
