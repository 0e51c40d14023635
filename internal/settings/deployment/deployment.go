// Package terms turns the settings of a deployment, as JSON, into the plain map of names to values that the module
// reads. The simulator's adapter and the agent on sockets are handed the same object, so both use it.
package deployment

import (
	"encoding/json"
	"math"
	"strings"
	"time"
)

// Parse flattens the settings into our names; what is unknown is passed over.
func Parse(text []byte) (map[string]any, error) {
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	parameters := map[string]any{}
	for path, name := range parameterNames {
		var v any = raw
		for _, step := range strings.Split(path, ".") {
			m, _ := v.(map[string]any)
			v = m[step]
		}
		putValue(parameters, name, v)
	}
	objectsAt := func(path string) []any { l, _ := raw[path].([]any); return l }
	var workloads, tenants []string
	for _, row := range objectsAt("classes") {
		m, _ := row.(map[string]any)
		name, _ := m["name"].(string)
		workloads = append(workloads, name)
		for key, field := range workloadParameters {
			putValue(parameters, strings.Replace(field, "workload.", "workload."+name+".", 1), m[key])
		}
	}
	for _, row := range objectsAt("orgs") {
		m, _ := row.(map[string]any)
		name, _ := m["name"].(string)
		tenants = append(tenants, name)
		putValue(parameters, "customer."+name+".rate", m["quotaRps"])
		putValue(parameters, "customer."+name+".share", m["share"])
	}
	parameters["workloads"], parameters["customers"] = workloads, tenants
	return parameters, nil
}

// putValue keeps one value; a name that ends in a bar stands for a time in milliseconds.
func putValue(parameters map[string]any, name string, v any) {
	name, isTime := strings.CutSuffix(name, "|")
	switch v := v.(type) {
	case float64:
		if isTime {
			parameters[name] = FromMilliseconds(v)
		} else {
			parameters[name] = v
		}
	case bool:
		parameters[name] = v
	case string:
		if w, ok := enumValues[v]; ok {
			v = w
		}
		parameters[name] = v
	case []any:
		var nums []float64
		var words []string
		for _, x := range v {
			switch x := x.(type) {
			case float64:
				nums = append(nums, x)
			case string:
				words = append(words, x)
			}
		}
		if nums != nil {
			parameters[name] = nums
		} else {
			parameters[name] = words
		}
	}
}

var enumValues = map[string]string{"free": "pure", "guarded": "receipted", "single_shot": "effectful",
	"automatic": "pushed", "subscribe": "asked"}

var workloadParameters = map[string]string{"goalTime": "workload.goal|", "giveUp": "workload.abandon|",
	"semantics": "workload.effect", "group": "workload.group", "keyTtl": "workload.memory|",
	"worth": "workload.payoff", "lateValue": "workload.late", "streaming": "workload.stream",
	"aimStretch": "workload.stretch"}

var parameterNames = map[string]string{"balancers": "agents", "position": "number", "az": "place", "areas": "places",
	"flavors": "kinds", "registryMode": "discovery", "valueBy": "payoff.by", "weights": "share.meaning",
	"tick": "tick|", "overShareWorth": "payoff.overshare", "tier": "tier", "tiers": "tiers",
	"familyInfo.allowance": "trial.allowance", "familyInfo.autoAfter": "trial.auto|",
	"familyInfo.backVotes": "trial.back.votes", "familyInfo.onVotes": "trial.on.votes",
	"familyInfo.holdVotes": "trial.hold.votes", "familyInfo.callsPerS": "trial.calls",
	"familyInfo.capScope": "trial.counts", "familyInfo.closedStages": "trial.guarded",
	"familyInfo.damagePrice": "trial.harm", "familyInfo.delayPrice": "trial.delay",
	"familyInfo.decidedBy": "trial.control", "familyInfo.flagShare": "trial.complaints",
	"familyInfo.forwardOnly": "trial.oneway", "familyInfo.mostShares": "trial.caps",
	"familyInfo.waves": "trial.stages", "familyInfo.newsPeriod": "trial.news|",
	"familyInfo.replaceMode": "trial.style", "familyInfo.soak": "trial.soak|",
	"familyInfo.sumsEvery": "tally.every|", "familyInfo.tallySample": "tally.sample",
	"familyInfo.voteTtl": "vote.life|", "familyInfo.voteWait": "vote.wait|",
	"familyInfo.warmKeys": "keys.warm", "familyInfo.window": "trial.window|",
	"permissions.maxAttempts": "sends.most", "permissions.maxOpen": "open.most",
	"permissions.maxRetryAfter": "return.most|", "permissions.mayCancel": "may.calloff",
	"permissions.peers": "may.tell", "permissions.probes": "may.probe",
	"permissions.retryAfter": "may.advise", "permissions.secondCopies": "may.copy",
	"permissions.connIdle": "link.idle|", "permissions.dialTimeout": "link.dial|",
	"permissions.multiplex": "link.sends", "clients.marksRetry": "clients.mark",
	"safety.answerSlack": "answer.slack|", "safety.askWithin": "discovery.within|",
	"safety.cold": "cold.time|", "safety.coldFrom": "cold.from", "safety.drainGrace": "drain.grace|",
	"safety.fallMultiple": "fall.multiple", "safety.tipAfter": "fall.time|",
	"telemetry.fields": "load.fields", "telemetry.source": "load.source",
	"scoringMix.tail": "goal.tail", "scoringMix.tailSlack": "goal.tail.slack"}

// FromMilliseconds is a time that the wires write in milliseconds, to the microsecond.
func FromMilliseconds(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds*1000)) * time.Microsecond
}
