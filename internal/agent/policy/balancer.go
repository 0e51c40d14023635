package policy

import (
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// Balancer is the state of one agent. It is not safe for use by several goroutines.
type Balancer struct {
	settings    settings
	now         time.Duration // of the event that is being handled
	actions     []api.Action  // that answer the event so far
	randomState uint64
	timers      map[api.TimerID]func()
	lastTimer   api.TimerID // 0 before the first event

	// Backends. ordered holds them by id, so that the same events lead to the same actions.
	backends      map[api.BackendID]*backend
	ordered       []*backend
	listedCount   int
	healthReports [healthReportKinds][]api.BackendID // not sent yet

	// Discovery.
	nextWatchAt    time.Duration // no list is requested before
	watchedAt      time.Duration // when a list was last requested
	listReceived   bool          // a list has come since
	listReceivedAt time.Duration

	// Transactions.
	workloads    map[api.Workload]*workload
	flows        map[flowKey]*flow
	transactions map[api.TransactionID]*transaction // without a final answer
	unfinished   map[api.TransactionID]*transaction // answered, with attempts still in flight
	queue        []*transaction
	demand       decay.Sum
	latency      decay.Mean // of all responses
	retries      retryBudget

	// The exposure rule.
	accepted    decay.SlidingWindow // transactions
	exposure    map[exposureKey]*decay.SlidingWindow
	keyBuilds   map[api.AffinityKey]api.Build  // the newest build that has answered a key
	unconfirmed map[api.AffinityKey][]*attempt // attempts in flight whose answer may bind their key
	boundShare  decay.Mean                     // share of transactions that are bound to the build on trial
	trialQuota  float64                        // first attempts that the trial may get

	// The rollout as the platform tells it.
	rolloutKnown   bool
	rollout        api.RolloutUpdate
	rolloutLags    bool              // an older state was told after the newest one
	laggingRollout api.RolloutUpdate // that older state
	trialBuild     api.Build         // the build that the arms compare with the earlier ones
	stageGuess     api.Stage         // by which the stage may be past the one told

	// The comparison of the builds, and the vote.
	arms                           [2]arm
	vote                           vote
	lastReport                     time.Duration // of counts, to the agents that judge
	recentPayoff, baselinePayoff   decay.Mean    // over both arms: lately, and before the trial
	throughput, baselineThroughput decay.Mean    // responses a second: lately, and before the trial
	throughputSince                time.Duration // since when responses are being counted
	throughputCount                float64       // of responses since then
	harmSince                      time.Duration // until when nothing was harmed
	blamed                         bool          // the trial harms all backends alike, as last judged
	blamedUntil                    time.Duration
	doubtUntil                     time.Duration // no vote to advance is cast before
	trialPaused                    bool          // the trial gets nothing, to see which harm goes away
}

// retryBudget counts retries: those that transactions have earned, those started, and those that succeeded.
type retryBudget struct{ earned, tried, won decay.Sum }

// New makes an agent. The same seed, settings and events always lead to the same actions.
func New(seed uint64, deploymentSettings map[string]any) *Balancer {
	return &Balancer{
		settings:     newSettings(deploymentSettings),
		randomState:  seed*2 + 1,
		workloads:    map[api.Workload]*workload{},
		backends:     map[api.BackendID]*backend{},
		transactions: map[api.TransactionID]*transaction{},
		unfinished:   map[api.TransactionID]*transaction{},
		timers:       map[api.TimerID]func(){},
		exposure:     map[exposureKey]*decay.SlidingWindow{},
		keyBuilds:    map[api.AffinityKey]api.Build{},
		unconfirmed:  map[api.AffinityKey][]*attempt{},
		flows:        map[flowKey]*flow{},
	}
}

// Step takes one event, which happened at now since the agent's start, and returns the actions that answer it, to be
// carried out in order. Calls come one at a time, and now never goes back.
func (b *Balancer) Step(now time.Duration, event api.Event) []api.Action {
	b.now, b.actions = now, nil
	if b.lastTimer == 0 {
		b.start()
	}
	switch e := event.(type) {
	case api.BackendUpdate:
		b.updateBackends(e)
	case api.MessageReceived:
		b.receiveMessage(e)
	case api.RolloutUpdate:
		b.receiveRollout(e)
	case api.Complaint:
		b.applyComplaint(e)
	case api.ReleaseTally:
		b.addTally(e)
	case api.TimerFired:
		if callback := b.timers[e.Timer]; callback != nil {
			delete(b.timers, e.Timer)
			callback()
		}
	default:
		b.stepTransaction(event)
	}
	return b.actions
}

// stepTransaction handles the events that belong to one transaction.
func (b *Balancer) stepTransaction(event api.Event) {
	switch e := event.(type) {
	case api.TransactionAccepted:
		b.acceptTransaction(e)
	case api.AttemptEnded:
		b.attemptEnded(e)
	case api.ResponseStarted:
		if tx := b.transactions[e.Transaction]; tx != nil {
			tx.streamingAttempt = e.Attempt
			b.advanceTransaction(tx, responseStarted)
		}
	case api.TransactionClosed:
		if tx := b.transactions[e.Transaction]; tx != nil {
			b.advanceTransaction(tx, transactionClosed)
		}
	}
}

// start requests the first list and begins the heartbeat.
func (b *Balancer) start() {
	timeout := b.settings.watchTimeout
	b.nextWatchAt, b.watchedAt, b.listReceivedAt = timeout, -timeout, -timeout
	b.scheduleWatch()
	if b.settings.discovery == discoveryAsked && !b.watchUnconfirmed() {
		b.emit(api.WatchBackends{On: true})
	}
	b.heartbeat()
}

// watchUnconfirmed reports whether a request to discovery may be lost without notice, so that it has to be repeated.
func (b *Balancer) watchUnconfirmed() bool {
	return b.settings.discovery == discoveryAsked && b.settings.watchUnsure
}

func (b *Balancer) emit(action api.Action) { b.actions = append(b.actions, action) }

// schedule has a callback run after a delay.
func (b *Balancer) schedule(delay time.Duration, callback func()) {
	b.lastTimer++
	b.timers[b.lastTimer] = callback
	b.emit(api.SetTimer{After: max(delay, 0), Timer: b.lastTimer})
}

// rate is how many transactions a second a demand has, also when less time has passed than its sum reaches back.
func (b *Balancer) rate(demand *decay.Sum) float64 {
	return ratePerSecond(demand.Value(b.now, demandHalfLife), b.now)
}

// mean is a decaying mean as of now, 0 if nothing has been added to it.
func (b *Balancer) mean(m *decay.Mean, halfLife time.Duration) float64 {
	return m.Estimate(b.now, halfLife, 0, 0)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
