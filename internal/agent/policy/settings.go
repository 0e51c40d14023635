package policy

import "time"

// settings are the deployment's settings that the policy uses. newSettings defines the defaults.
type settings struct {
	byName map[string]any // all settings, for those whose name includes a workload

	tick        time.Duration // resolution of the agent's clock
	agents      float64       // number of agents
	number      int           // this agent's number, from 0 on
	payoffBy    string        // unit of payoff: payoffByWork, or otherwise by transaction
	maxAttempts float64       // of one transaction

	mayHedge       bool          // two attempts of a transaction may be in flight
	mayCancel      bool          // attempts may be canceled
	sendRetryAfter bool          // deferrals may include a retry delay
	mayMessage     bool          // agents may exchange messages
	maxRetryAfter  time.Duration // longest retry delay in a deferral
	discovery      string        // discoveryOnRequest if lists are sent only on request
	watchMayBeLost bool          // a watch request may be lost without an error
	watchTimeout   time.Duration // an agent without a watch request in this period counts as up to date

	slowStart      time.Duration // warm-up period of a backend
	slowStartFrom  float64       // share of its capacity at the start
	overloadFactor float64       // multiple of its capacity at which a warming backend fails

	trialWindow     time.Duration // of the exposure rule
	trialAllowance  float64       // attempts in a window in addition to the cap
	trialCaps       []float64     // exposure cap of each stage
	exposureScope   string        // scopePerWorkload if each workload is counted separately
	guardedStages   float64       // first stages, in which the build on trial gets only pure workloads
	trialControl    string        // what advances stages: controlByClock, controlBySingleVote, or a share of all votes
	bindKeys        bool          // keys served by the build on trial must not go to earlier builds
	bindUnconfirmed bool          // responses that may not have reached the agent bind keys, too
	complaintShare  float64       // share of wrong responses that clients report
	voteTimeout     time.Duration // for the platform's answer to a vote
	voteLifetime    time.Duration // period in which a vote counts
	tallyInterval   time.Duration // between the platform's tallies, 0 if there are none
	tallySample     float64       // platform's sample size for each backend and agent
}

// Values of string settings.
const (
	payoffByWork        = "work"
	discoveryOnRequest  = "asked"
	scopePerWorkload    = "per_lane"
	controlByClock      = "clocked"
	controlBySingleVote = "single"
	effectPure          = "pure"
	effectReceipted     = "receipted"
	effectEffectful     = "effectful"
	groupAll            = "all"
	groupZone           = "zone"
	groupCell           = "cell"
)

// lookUp returns a setting, or defaultValue if it is missing or of another type.
func lookUp[T any](byName map[string]any, name string, defaultValue T) T {
	if value, ok := byName[name].(T); ok {
		return value
	}
	return defaultValue
}

func newSettings(byName map[string]any) settings {
	return settings{
		byName:      byName,
		tick:        lookUp(byName, "tick", heartbeatInterval),
		agents:      lookUp(byName, "agents", 1.0),
		number:      int(lookUp(byName, "number", 0.0)),
		payoffBy:    lookUp(byName, "payoff.by", ""),
		maxAttempts: lookUp(byName, "sends.most", 1.0),

		mayHedge:       lookUp(byName, "may.copy", false),
		mayCancel:      lookUp(byName, "may.calloff", false),
		sendRetryAfter: lookUp(byName, "may.advise", false),
		mayMessage:     lookUp(byName, "may.tell", false),
		maxRetryAfter:  lookUp(byName, "return.most", time.Duration(0)),
		discovery:      lookUp(byName, "discovery", ""),
		watchMayBeLost: lookUp(byName, "discovery.unsure", true),
		watchTimeout:   lookUp(byName, "discovery.within", 10*time.Second),

		slowStart:      lookUp(byName, "cold.time", time.Duration(0)),
		slowStartFrom:  lookUp(byName, "cold.from", 1.0),
		overloadFactor: lookUp(byName, "fall.multiple", 2.0),

		trialWindow:     lookUp(byName, "trial.window", time.Minute),
		trialAllowance:  lookUp(byName, "trial.allowance", 0.0),
		trialCaps:       lookUp(byName, "trial.caps", []float64{0}),
		exposureScope:   lookUp(byName, "trial.counts", ""),
		guardedStages:   lookUp(byName, "trial.guarded", 0.0),
		trialControl:    lookUp(byName, "trial.control", ""),
		bindKeys:        lookUp(byName, "trial.oneway", false),
		bindUnconfirmed: lookUp(byName, "trial.unseen", true),
		complaintShare:  lookUp(byName, "trial.complaints", 1.0),
		voteTimeout:     lookUp(byName, "vote.wait", time.Second),
		voteLifetime:    lookUp(byName, "vote.life", time.Second),
		tallyInterval:   lookUp(byName, "tally.every", time.Duration(0)),
		tallySample:     lookUp(byName, "tally.sample", 0.0),
	}
}

// firstCap returns the exposure cap of the first stage, 0 if there are no stages.
func (s *settings) firstCap() float64 {
	if len(s.trialCaps) == 0 {
		return 0
	}
	return s.trialCaps[0]
}

// usesTallies reports whether the platform's tallies replace the agent's own outcomes, which are too few.
func (b *Balancer) usesTallies() bool { return b.sparse() && b.settings.tallyInterval > 0 }

// bindsUnconfirmed reports whether a response that may not have reached the agent binds its key. That is needed
// on networks but not in the simulator. It confines hedges to the few trial backends, which then look slow.
func (b *Balancer) bindsUnconfirmed() bool { return b.settings.bindKeys && b.settings.bindUnconfirmed }
