package deployment

// parameter describes how a field of the settings is translated to a parameter of the policy.
type parameter struct {
	name         string // the parameter's name in the policy
	milliseconds bool   // the field is a number of milliseconds, to be converted to a time.Duration
}

func plain(name string) parameter { return parameter{name: name} }

func duration(name string) parameter { return parameter{name: name, milliseconds: true} }

// parameters lists the fields that apply to the deployment as a whole, by their paths in the settings.
var parameters = map[string]parameter{
	"balancers":      plain("agents"),
	"position":       plain("number"),
	"az":             plain("place"),
	"areas":          plain("places"),
	"flavors":        plain("kinds"),
	"registryMode":   plain("discovery"),
	"valueBy":        plain("payoff.by"),
	"weights":        plain("share.meaning"),
	"tick":           duration("tick"),
	"overShareWorth": plain("payoff.overshare"),
	"tier":           plain("tier"),
	"tiers":          plain("tiers"),

	"familyInfo.allowance":    plain("trial.allowance"),
	"familyInfo.autoAfter":    duration("trial.auto"),
	"familyInfo.backVotes":    plain("trial.back.votes"),
	"familyInfo.onVotes":      plain("trial.on.votes"),
	"familyInfo.holdVotes":    plain("trial.hold.votes"),
	"familyInfo.callsPerS":    plain("trial.calls"),
	"familyInfo.capScope":     plain("trial.counts"),
	"familyInfo.closedStages": plain("trial.guarded"),
	"familyInfo.damagePrice":  plain("trial.harm"),
	"familyInfo.delayPrice":   plain("trial.delay"),
	"familyInfo.decidedBy":    plain("trial.control"),
	"familyInfo.flagShare":    plain("trial.complaints"),
	"familyInfo.forwardOnly":  plain("trial.oneway"),
	"familyInfo.mostShares":   plain("trial.caps"),
	"familyInfo.waves":        plain("trial.stages"),
	"familyInfo.newsPeriod":   duration("trial.news"),
	"familyInfo.replaceMode":  plain("trial.style"),
	"familyInfo.soak":         duration("trial.soak"),
	"familyInfo.sumsEvery":    duration("tally.every"),
	"familyInfo.tallySample":  plain("tally.sample"),
	"familyInfo.voteTtl":      duration("vote.life"),
	"familyInfo.voteWait":     duration("vote.wait"),
	"familyInfo.warmKeys":     plain("keys.warm"),
	"familyInfo.window":       duration("trial.window"),

	"permissions.maxAttempts":   plain("sends.most"),
	"permissions.maxOpen":       plain("open.most"),
	"permissions.maxRetryAfter": duration("return.most"),
	"permissions.mayCancel":     plain("may.calloff"),
	"permissions.peers":         plain("may.tell"),
	"permissions.probes":        plain("may.probe"),
	"permissions.retryAfter":    plain("may.advise"),
	"permissions.secondCopies":  plain("may.copy"),
	"permissions.connIdle":      duration("link.idle"),
	"permissions.dialTimeout":   duration("link.dial"),
	"permissions.multiplex":     plain("link.sends"),

	"clients.marksRetry": plain("clients.mark"),

	"safety.answerSlack":  duration("answer.slack"),
	"safety.askWithin":    duration("discovery.within"),
	"safety.cold":         duration("cold.time"),
	"safety.coldFrom":     plain("cold.from"),
	"safety.drainGrace":   duration("drain.grace"),
	"safety.fallMultiple": plain("fall.multiple"),
	"safety.tipAfter":     duration("fall.time"),

	"telemetry.fields": plain("load.fields"),
	"telemetry.source": plain("load.source"),

	"scoringMix.tail":      plain("goal.tail"),
	"scoringMix.tailSlack": plain("goal.tail.slack"),
}

// workloadParameters lists the fields of an entry of "classes". The policy's names are workload.NAME.PARAMETER.
var workloadParameters = map[string]parameter{
	"goalTime":   duration("goal"),
	"giveUp":     duration("abandon"),
	"semantics":  plain("effect"),
	"group":      plain("group"),
	"keyTtl":     duration("memory"),
	"worth":      plain("payoff"),
	"lateValue":  plain("late"),
	"streaming":  plain("stream"),
	"aimStretch": plain("stretch"),
}

// tenantParameters lists the fields of an entry of "orgs". The policy's names are customer.NAME.PARAMETER.
var tenantParameters = map[string]parameter{
	"quotaRps": plain("rate"),
	"share":    plain("share"),
}

// enumValues maps enumerated values of the settings to those of the policy. Other strings are passed on unchanged.
var enumValues = map[string]string{
	"free":        "pure",
	"guarded":     "receipted",
	"single_shot": "effectful",
	"automatic":   "pushed",
	"subscribe":   "asked",
}
