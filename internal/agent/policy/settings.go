package policy

import "time"

// settings are the deployment's settings that the policy goes by. A setting that the deployment does not name has the
// default that newSettings gives it.
type settings struct {
	byName map[string]any // all of them, for those that depend on a workload's name

	tick        time.Duration // the resolution of the agent's clock
	agents      float64       // how many agents there are
	number      int           // this agent's own number, from 0 on
	payoffBy    string        // what payoff is counted by; payoffByWork or by transaction
	maxAttempts float64       // attempts of one transaction

	mayHedge     bool          // two attempts of a transaction may be in flight
	mayCancel    bool          // attempts may be canceled
	mayAdvise    bool          // a deferred client may be told when to return
	mayMessage   bool          // agents may send messages to each other
	maxReturn    time.Duration // the longest time after which a deferred client is told to return
	discovery    string        // discoveryAsked where lists come only on request
	watchUnsure  bool          // a request to discovery may be lost without notice
	watchTimeout time.Duration // an agent that has requested no list for so long counts as informed

	slowStart      time.Duration // how long a backend warms up
	slowStartFrom  float64       // share of its capacity that a backend starts with
	overloadFactor float64       // multiple of its capacity at which a warming backend fails

	trialWindow    time.Duration // over which exposure to the build on trial is counted
	trialAllowance float64       // attempts on top of the cap's share in a window
	trialCaps      []float64     // cap of each stage
	trialCounts    string        // countsPerLane where each workload is counted by itself
	trialGuarded   float64       // stages in which only pure workloads may reach the build on trial
	trialControl   string        // who moves the stages: trialClocked, trialSingle, or a share of all votes
	trialOneWay    bool          // a key that the build on trial has answered stays with it
	trialUnseen    bool          // answers that did not reach the agent count for that, too
	complaintShare float64       // share of wrong answers that clients report
	voteTimeout    time.Duration // how long the platform may take to answer a vote
	voteLifetime   time.Duration // how long a vote counts
	tallyInterval  time.Duration // between the platform's tallies; 0 if it sends none
	tallySample    float64       // size of the platform's sample, for each backend and agent
}

// Values of settings that are strings.
const (
	payoffByWork    = "work"
	discoveryAsked  = "asked"
	countsPerLane   = "per_lane"
	trialClocked    = "clocked"
	trialSingle     = "single"
	effectPure      = "pure"
	effectReceipted = "receipted"
	effectEffectful = "effectful"
	groupAll        = "all"
	groupZone       = "zone"
	groupCell       = "cell"
)

// lookUp reads one setting, or gives the default where the deployment does not name it or names another type.
func lookUp[T any](byName map[string]any, name string, otherwise T) T {
	if value, ok := byName[name].(T); ok {
		return value
	}
	return otherwise
}

func newSettings(byName map[string]any) settings {
	return settings{
		byName:      byName,
		tick:        lookUp(byName, "tick", heartbeatInterval),
		agents:      lookUp(byName, "agents", 1.0),
		number:      int(lookUp(byName, "number", 0.0)),
		payoffBy:    lookUp(byName, "payoff.by", ""),
		maxAttempts: lookUp(byName, "sends.most", 1.0),

		mayHedge:     lookUp(byName, "may.copy", false),
		mayCancel:    lookUp(byName, "may.calloff", false),
		mayAdvise:    lookUp(byName, "may.advise", false),
		mayMessage:   lookUp(byName, "may.tell", false),
		maxReturn:    lookUp(byName, "return.most", time.Duration(0)),
		discovery:    lookUp(byName, "discovery", ""),
		watchUnsure:  lookUp(byName, "discovery.unsure", true),
		watchTimeout: lookUp(byName, "discovery.within", 10*time.Second),

		slowStart:      lookUp(byName, "cold.time", time.Duration(0)),
		slowStartFrom:  lookUp(byName, "cold.from", 1.0),
		overloadFactor: lookUp(byName, "fall.multiple", 2.0),

		trialWindow:    lookUp(byName, "trial.window", time.Minute),
		trialAllowance: lookUp(byName, "trial.allowance", 0.0),
		trialCaps:      lookUp(byName, "trial.caps", []float64{0}),
		trialCounts:    lookUp(byName, "trial.counts", ""),
		trialGuarded:   lookUp(byName, "trial.guarded", 0.0),
		trialControl:   lookUp(byName, "trial.control", ""),
		trialOneWay:    lookUp(byName, "trial.oneway", false),
		trialUnseen:    lookUp(byName, "trial.unseen", true),
		complaintShare: lookUp(byName, "trial.complaints", 1.0),
		voteTimeout:    lookUp(byName, "vote.wait", time.Second),
		voteLifetime:   lookUp(byName, "vote.life", time.Second),
		tallyInterval:  lookUp(byName, "tally.every", time.Duration(0)),
		tallySample:    lookUp(byName, "tally.sample", 0.0),
	}
}

// firstCap is the cap of a trial's first stage, 0 if there are no stages.
func (s *settings) firstCap() float64 {
	if len(s.trialCaps) == 0 {
		return 0
	}
	return s.trialCaps[0]
}
