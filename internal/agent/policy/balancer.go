package policy

import (
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// Balancer is the state of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings    settings
	now         time.Duration // time of the current event
	actions     []api.Action  // returned for the current event
	randomState uint64
	timers      map[api.TimerID]func()
	lastTimer   api.TimerID // 0 before the first event

	// Backends. ordered is sorted by ID, so that the same events lead to the same actions.
	backends      map[api.BackendID]*backend
	ordered       []*backend
	listedCount   int
	healthReports [healthReportKinds][]api.BackendID // pending

	// Discovery.
	nextWatchAt    time.Duration // earliest next watch request
	watchedAt      time.Duration // last watch request
	listReceived   bool          // since the last watch request
	listReceivedAt time.Duration

	// Transactions.
	workloads    map[api.Workload]*workload
	flows        map[flowKey]*flow
	transactions map[api.TransactionID]*transaction // without a final answer
	unfinished   map[api.TransactionID]*transaction // answered, but with attempts in flight
	queue        []*transaction
	demand       decay.Sum
	latency      decay.Mean // of all responses
	retries      retryBudget

	// The exposure rule.
	accepted    decay.SlidingWindow // transactions
	exposure    map[exposureKey]*decay.SlidingWindow
	keyBuilds   map[api.AffinityKey]api.Build  // newest build that served a key
	unconfirmed map[api.AffinityKey][]*attempt // attempts in flight whose responses may bind the key
	boundShare  decay.Mean                     // share of transactions whose key is bound
	trialQuota  float64                        // first attempts that the trial may get

	// The rollout by the platform's updates.
	rolloutKnown      bool
	rollout           api.RolloutUpdate
	olderRolloutBinds bool // an older state was received after the newest one
	olderRollout      api.RolloutUpdate
	trialBuild        api.Build // compared with the earlier builds
	stageOffset       api.Stage // added to the stage to vote on, after a stale vote

	// The comparison of the builds and the vote.
	arms                           [2]arm
	vote                           vote
	lastReport                     time.Duration // of counts, to the voting agents
	recentPayoff, baselinePayoff   decay.Mean    // of both arms: recent, and before the trial
	throughput, baselineThroughput decay.Mean    // responses a second: recent, and before the trial
	throughputSince                time.Duration // start of the current span
	throughputCount                float64       // responses in the current span
	degradedSince                  time.Duration // time of the last verdict without degradation
	trialDegradesFleet             bool          // result of the last detectFleetDegradation
	degradesFleetUntil             time.Duration
	suspectUntil                   time.Duration // earliest next vote to advance
	trialPaused                    bool          // the trial gets no first attempts, to find the cause of degradation
}

// retryBudget counts the retries earned by transactions, those started and those that succeeded.
type retryBudget struct{ earned, started, succeeded decay.Sum }

// New returns a Balancer. The same seed, settings and events always lead to the same actions.
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

// Step handles one event and returns the resulting actions, to be executed in order. now is the time of the event since
// the agent's start and must not decrease between calls.
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

// stepTransaction handles events of a single transaction.
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

// start requests the first list and starts the heartbeat.
func (b *Balancer) start() {
	timeout := b.settings.watchTimeout
	b.nextWatchAt, b.watchedAt, b.listReceivedAt = timeout, -timeout, -timeout
	b.scheduleWatch()
	if b.settings.discovery == discoveryOnRequest && !b.watchUnconfirmed() {
		b.emit(api.WatchBackends{On: true})
	}
	b.heartbeat()
}

// watchUnconfirmed reports whether a watch request may be lost without an error and therefore has to be repeated.
func (b *Balancer) watchUnconfirmed() bool {
	return b.settings.discovery == discoveryOnRequest && b.settings.watchMayBeLost
}

func (b *Balancer) emit(action api.Action) { b.actions = append(b.actions, action) }

// schedule runs callback after a delay.
func (b *Balancer) schedule(delay time.Duration, callback func()) {
	b.lastTimer++
	b.timers[b.lastTimer] = callback
	b.emit(api.SetTimer{After: max(delay, 0), Timer: b.lastTimer})
}

// rate returns the transactions a second of a demand, corrected for the time since the agent's start.
func (b *Balancer) rate(demand *decay.Sum) float64 {
	return ratePerSecond(demand.Value(b.now, demandHalfLife), b.now)
}

// mean returns a decaying mean as of now, 0 if it is empty.
func (b *Balancer) mean(m *decay.Mean, halfLife time.Duration) float64 {
	return m.Estimate(b.now, halfLife, 0, 0)
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
