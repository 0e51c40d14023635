package policy

// State of one agent and the loop that reads the tables. Nothing here decides: no tuned value, no choice.

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
	"sagelever/internal/stats/decay"
)

type transition[S, I comparable, T any] struct {
	state  S
	input  I
	next   S
	action func(*Balancer, T)
}

func advance[S, I comparable, T any](b *Balancer, table []transition[S, I, T], state *S, input I, subject T) {
	for _, r := range table {
		if r.state == *state && r.input == input {
			if *state = r.next; r.action != nil {
				r.action(b, subject)
			}
			return
		}
	}
}

type transactionState int // of a transaction

const (
	queued    transactionState = iota // nothing is out
	inFlight                          // one send or more is out
	streaming                         // its answer has begun to stream
	finished                          // it has its final answer
)

type transactionInput int // what befalls a transaction

const (
	accepted          transactionInput = iota
	retryPlacement                     // time to try a held one again
	attemptStarted                     // a send has gone
	attemptsFailed                     // the last send out has failed
	hedgeDue                           // the answer is later than most
	deadlineNear                       // the client's time is nearly up
	responseStarted                    // its answer has begun to stream
	transactionClosed                  // it was satisfied, or its client left
)

type healthState int // of an appliance

const (
	healthy healthState = iota
	ejected             // gets nothing while others are ready
	probing             // gets one send at a time
)

type healthInput int

const (
	foundHealthy healthInput = iota
	foundUnhealthy
	ejectionExpired
	peersFoundUnhealthy // others found it sick
	peerFoundHealthy    // another found it well again
)

type voteState int // of the agent's vote

const (
	voteNone    voteState = iota
	votePending           // the platform has not answered yet
	voteCounted
)

type voteInput int

const (
	verdictChanged voteInput = iota // the verdict is another than the one that stands
	voteAccepted                    // the platform took it
	voteRefused                     // it did not count
	voteOutdated                    // it came too late for its build or stage
	voteExpired                     // no answer came, or it is about to run out
)

// Balancer is one agent.
type Balancer struct {
	settings                       map[string]any
	now                            time.Duration
	actions                        []api.Action
	randomState                    uint64
	workloads                      map[api.Workload]*workload
	backends                       map[api.BackendID]*backend
	listedCount                    int        // appliances listed
	ordered                        []*backend // by id, so that the same events lead to the same actions
	transactions                   map[api.TransactionID]*transaction
	unfinished                     map[api.TransactionID]*transaction // over, with sends still out
	queue                          []*transaction
	timers                         map[api.TimerID]func()
	lastTimer                      api.TimerID
	accepted                       decay.SlidingWindow
	demand                         decay.Sum
	exposure                       map[exposureKey]*decay.SlidingWindow
	keyBuilds                      map[api.AffinityKey]api.Build  // one-way keys: the newest build that has answered
	unconfirmed                    map[api.AffinityKey][]*attempt // sends out that may bind their key
	boundShare                     decay.Mean                     // share of what is taken that is bound to the build on trial
	rollout                        api.RolloutUpdate
	laggingRollout                 api.RolloutUpdate // told after news, of a state before it
	rolloutLags                    bool              // there is such
	stageGuess                     api.Stage         // by which the stage may be past the one told
	rolloutKnown                   bool
	trialBuild                     api.Build
	trialQuota                     float64 // first sends that the trial may get
	arms                           [2]arm
	vote                           vote
	latency                        decay.Mean // of all answers
	lastReport                     time.Duration
	nextWatchAt                    time.Duration // no list is asked for until then
	listReceived                   bool          // a list came in answer
	listReceivedAt                 time.Duration
	watchedAt                      time.Duration
	recentPayoff, baselinePayoff   decay.Mean // payoffs over both arms, and before the trial
	harmSince                      time.Duration
	blamedUntil                    time.Duration
	doubtUntil                     time.Duration
	blamed                         bool          // as last judged
	trialPaused                    bool          // the trial gets nothing, to see what harm goes away
	throughput, baselineThroughput decay.Mean    // answers a second, now and before the trial
	throughputSince                time.Duration // since when answers are summed up
	throughputCount                float64
	flows                          map[flowKey]*flow
	healthReports                  [3][]api.BackendID // found sick, well again, sick by three, and not told
	retries                        struct{ earned, tried, won decay.Sum }
}

type exposureKey struct {
	build    api.Build
	workload api.Workload
}

type workload struct {
	name             api.Workload
	effect, group    string
	goal             time.Duration
	memory           time.Duration
	payoff           float64
	accepted         decay.SlidingWindow
	latencyByMachine map[api.MachineType]*decay.Mean // of the earlier build
	latency          decay.Mean
	baselineLatency  decay.Mean   // the platform's mean time before the trial
	tally            [2]tallySums // what the platform counted, by arm
}

// tallySums are the platform's counts of sends and satisfied ones, and these ones' time.
type tallySums struct{ attempts, succeeded, latencySum float64 }

// flow is what one customer asks of one workload.
type flow struct {
	workload     *workload
	demand       decay.Sum
	inFlight     int        // sends out
	limit        float64    // most sends out at once
	latencyRatio decay.Mean // time of answers by their goal
}

type flowKey struct {
	workload api.Workload
	customer api.Customer
}

// flowOf gives the flow of one transaction; a new one learns its bound from above.
func (b *Balancer) flowOf(w *workload, customer api.Customer) *flow {
	f := b.flows[flowKey{w.name, customer}]
	if f == nil {
		f = &flow{workload: w, limit: math.Inf(1)}
		b.flows[flowKey{w.name, customer}] = f
	}
	return f
}

type backend struct {
	api.Backend
	listed           bool
	stage            api.Stage // as told when it was first listed
	health           healthState
	ejectedUntil     time.Duration // end of its rest
	ejections        int
	inFlight         int
	failureStreak    int // sends in a row without any answer
	lastAnswer       time.Duration
	owesSince        time.Duration // since when it owes an answer
	faultRate        float64       // share of faults in the last few answers
	slowness         decay.Mean    // time of its answers by the workload's mean
	backlog          float64
	loadReportedAt   time.Duration
	counts           arm     // its part of its arm's counts
	unreported       arm     // what other agents have not been told of it
	paceCredit       float64 // sends that its pace allows
	paceCreditAt     time.Duration
	unhealthyReports []unhealthyReport // agents that lately found it sick
	broadcastAt      time.Duration     // when all were last told that it is sick, 0 if not since it was well
}

// unhealthyReport is an agent that found a machine sick.
type unhealthyReport struct {
	from api.PeerNumber
	at   time.Duration
}

type attempt struct {
	backend   *backend
	startedAt time.Duration
	finished  bool
	warmingUp bool
}

type transaction struct {
	api.TransactionAccepted
	workload         *workload
	flow             *flow
	acceptedAt       time.Duration
	state            transactionState
	attempts         []*attempt
	inFlight         int
	mayHaveRunAt     time.Duration // when the first send that may have run was sent, -1 if none
	mayHaveRunOn     *backend
	streamingAttempt api.AttemptNumber
	reason           api.Reason // if it is given up now
}

// arm counts decisions, outcomes and payoffs of one build, as the design has it; own outcomes are those of this
// agent, the others it has heard of.
type arm struct {
	picked, outcomes, payoff, ownOutcomes float64
	faults                                float64 // outcomes that were faults
}

// add puts another arm's outcomes on top, or takes them off.
func (a *arm) add(other arm, times float64) {
	a.outcomes, a.payoff, a.faults = a.outcomes+times*other.outcomes, a.payoff+times*other.payoff, a.faults+times*other.faults
}

// faultsOnly is the arm as it is when only faults count against it.
func (a arm) faultsOnly() arm { return arm{outcomes: a.outcomes, payoff: a.outcomes - a.faults} }

type vote struct {
	state     voteState
	verdict   api.Verdict
	build     api.Build
	stage     api.Stage
	castAt    time.Duration
	notBefore time.Duration
}

// setting reads one of the deployment's terms, or gives what holds where it names none.
func setting[T any](b *Balancer, name string, otherwise T) T {
	if v, ok := b.settings[name].(T); ok {
		return v
	}
	return otherwise
}

// randomBelow is a permuted congruential generator (O'Neill's PCG-XSH-RR), drawn below n.
func (b *Balancer) randomBelow(n int) int {
	old := b.randomState
	b.randomState = old*6364136223846793005 + 1442695040888963407
	x, rot := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return int(uint64(x>>rot|x<<(-rot&31)) * uint64(n) >> 32)
}

// randomFloat is drawn evenly between 0 and 1.
func (b *Balancer) randomFloat() float64 { return float64(b.randomBelow(1<<20)) / (1 << 20) }

func (b *Balancer) emit(a api.Action) { b.actions = append(b.actions, a) }

func (b *Balancer) schedule(delay time.Duration, callback func()) {
	b.lastTimer++
	b.timers[b.lastTimer] = callback
	b.emit(api.SetTimer{After: max(delay, 0), Timer: b.lastTimer})
}

// indicator is 1 for what is so.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Step takes one event and gives the actions that answer it.
func (b *Balancer) Step(now time.Duration, event api.Event) []api.Action {
	b.now, b.actions = now, nil
	if b.lastTimer == 0 {
		b.nextWatchAt, b.watchedAt, b.listReceivedAt = b.watchTimeout(), -b.watchTimeout(), -b.watchTimeout()
		if b.scheduleWatch(); setting(b, "discovery", "") == "asked" && !b.watchUnconfirmed() {
			b.emit(api.WatchBackends{On: true})
		}
		b.heartbeat()
	}
	switch e := event.(type) {
	case api.BackendUpdate:
		b.updateBackends(e)
	case api.TransactionAccepted:
		b.acceptTransaction(e)
	case api.ResponseStarted:
		if tx := b.transactions[e.Transaction]; tx != nil {
			tx.streamingAttempt = e.Attempt
			advance(b, transactionTransitions, &tx.state, responseStarted, tx)
		}
	case api.AttemptEnded:
		b.attemptEnded(e)
	case api.TransactionClosed:
		if tx := b.transactions[e.Transaction]; tx != nil {
			advance(b, transactionTransitions, &tx.state, transactionClosed, tx)
		}
	case api.TimerFired:
		if callback := b.timers[e.Timer]; callback != nil {
			delete(b.timers, e.Timer)
			callback()
		}
	case api.RolloutUpdate:
		b.receiveRollout(e)
	case api.Complaint:
		b.applyComplaint(e)
	case api.ReleaseTally:
		b.addTally(e)
	case api.MessageReceived:
		b.receiveMessage(e)
	}
	return b.actions
}

func (b *Balancer) workloadOf(name api.Workload) *workload {
	w := b.workloads[name]
	if w == nil {
		prefix := "workload." + string(name) + "."
		w = &workload{name: name, effect: setting(b, prefix+"effect", "effectful"), group: setting(b, prefix+"group", ""),
			goal:   setting(b, prefix+"goal", time.Second),
			memory: setting(b, prefix+"memory", time.Duration(0)), payoff: setting(b, prefix+"payoff", 1.0),
			latencyByMachine: map[api.MachineType]*decay.Mean{}}
		b.workloads[name] = w
	}
	return w
}

// exposureCounters gives the count that the exposure rule keeps for sends of this workload at this build.
func (b *Balancer) exposureCounters(build api.Build, w *workload) (*decay.SlidingWindow, *decay.SlidingWindow) {
	key, takes := exposureKey{build: build}, &b.accepted
	if setting(b, "trial.counts", "") == "per_lane" {
		key.workload, takes = w.name, &w.accepted
	}
	if b.exposure[key] == nil {
		b.exposure[key] = &decay.SlidingWindow{}
	}
	return b.exposure[key], takes
}

func (tx *transaction) triedOn(backend *backend) bool {
	for _, attempt := range tx.attempts {
		if attempt.backend == backend {
			return true
		}
	}
	return false
}

// noteMayHaveRun marks the first send still out as one that may have run.
func (tx *transaction) noteMayHaveRun() {
	for _, attempt := range tx.attempts {
		if !attempt.finished && (tx.mayHaveRunAt < 0 || attempt.startedAt < tx.mayHaveRunAt) {
			tx.mayHaveRunAt, tx.mayHaveRunOn = attempt.startedAt, attempt.backend
		}
	}
}

func (a *arm) mean() float64 {
	if a.outcomes == 0 {
		return 0.5
	}
	return a.payoff / a.outcomes
}

func (b *Balancer) armOf(a *backend) int {
	if a.Build == b.trialBuild {
		return 1
	}
	return 0
}

// creditOutcome puts outcomes and their payoffs on an appliance and its arm. Both arms start anew at the trial's first.
func (b *Balancer) creditOutcome(backend *backend, counts arm) {
	i := b.armOf(backend)
	if i == 1 && b.arms[1].outcomes == 0 {
		b.clearArm(0)
	}
	b.arms[i].add(counts, 1)
	backend.counts.add(counts, 1)
}

const recordSize = 10 // bytes for one appliance in a message

const maxReportSize = 256 - 2 - recordSize // bytes after which a message has no room for one more

// reportSize is the size of the message that tells what has not been told, 0 if nothing.
func (b *Balancer) reportSize() int {
	size := 0
	for _, backend := range b.ordered {
		if backend.unreported.outcomes > 0 && size < maxReportSize {
			size += recordSize
		}
	}
	return size
}

// reportMessage holds the build judged, then for each appliance its id, its arm (top bit) and outcomes, twice its
// payoffs, and its faults. What does not fit waits for the next.
func (b *Balancer) reportMessage() []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(b.trialBuild))
	for _, backend := range b.ordered {
		counts := &backend.unreported
		if n := min(counts.outcomes, 1<<14); n > 0 && len(data) <= maxReportSize {
			data = binary.BigEndian.AppendUint32(data, uint32(backend.ID))
			data = binary.BigEndian.AppendUint16(data, uint16(n)|uint16(b.armOf(backend))<<15)
			data = binary.BigEndian.AppendUint16(data, uint16(2*min(counts.payoff, n)))
			data = binary.BigEndian.AppendUint16(data, uint16(min(counts.faults, n)))
			*counts = arm{}
		}
	}
	return data
}

const minHealthMessage = 5 // bytes of the shortest message on health, which are told by their length: a kind, then ids of four bytes

const maxHealthIDs = (256 - 1) / 4

// healthMessage is a message on machines: found sick (kind 0), well again (1), sick by three (2). No message of counts has its length: they
// leave 2 by 10, this an odd number.
func healthMessage(kind int, ids []api.BackendID) []byte {
	data := []byte{byte(kind)}
	for _, id := range ids[:min(len(ids), maxHealthIDs)] {
		data = binary.BigEndian.AppendUint32(data, uint32(id))
	}
	return data
}

// receiveHealthReport takes such a message.
func (b *Balancer) receiveHealthReport(message api.MessageReceived) {
	for rest := message.Data[1:]; len(rest) >= 4; rest = rest[4:] {
		backend := b.backends[api.BackendID(binary.BigEndian.Uint32(rest))]
		switch {
		case backend == nil || !backend.listed:
		case message.Data[0] == 0:
			b.noteUnhealthyReport(backend, message.From)
		case message.Data[0] == 2:
			b.ejectOnReports(backend)
		case message.Data[0] == 1:
			backend.broadcastAt = 0
			advance(b, healthTransitions, &backend.health, peerFoundHealthy, backend)
		}
	}
}

// peerNumber is this agent's own.
func (b *Balancer) peerNumber() api.PeerNumber { return api.PeerNumber(setting(b, "number", 0.0)) }

// watchUnconfirmed tells whether an agent that has asked discovery cannot tell if it was heard: a front whose wire tells says so.
func (b *Balancer) watchUnconfirmed() bool {
	return setting(b, "discovery", "") == "asked" && setting(b, "discovery.unsure", true)
}

// watchTimeout is the time after which an agent that has asked for no list counts as told.
func (b *Balancer) watchTimeout() time.Duration {
	return setting(b, "discovery.within", 10*time.Second)
}

// sendToFirst sends a message to the first agents, but for this one.
func (b *Balancer) sendToFirst(agents int, data []byte) {
	for to := range agents {
		if to != int(b.peerNumber()) {
			b.emit(api.SendMessage{To: api.PeerNumber(to), Data: data})
		}
	}
}

// recentlyBroadcast tells whether all were told just now that a machine is sick.
func (b *Balancer) recentlyBroadcast(backend *backend) bool {
	return backend.broadcastAt > 0 && b.now-backend.broadcastAt <= healthReportWindow
}

// ejectedCount is how many listed machines rest.
func (b *Balancer) ejectedCount() (n int) {
	for _, backend := range b.ordered {
		if backend.listed && backend.health != healthy {
			n++
		}
	}
	return n
}

func (b *Balancer) receiveMessage(message api.MessageReceived) {
	if len(message.Data) >= minHealthMessage && len(message.Data)%4 == 1 {
		b.receiveHealthReport(message)
		return
	}
	if len(message.Data)%recordSize != 2 || api.Build(binary.BigEndian.Uint16(message.Data)) != b.trialBuild || !b.rolloutKnown {
		return
	}
	for record := message.Data[2:]; len(record) > 0; record = record[recordSize:] {
		n, sum := binary.BigEndian.Uint16(record[4:]), float64(binary.BigEndian.Uint16(record[6:]))/2
		faults := float64(binary.BigEndian.Uint16(record[8:]))
		backend := b.backends[api.BackendID(binary.BigEndian.Uint32(record))]
		if outcomes := float64(n & (1<<15 - 1)); backend != nil && outcomes > 0 && b.armOf(backend) == int(n>>15) && sum+faults <= outcomes {
			b.learnFromPeer(backend, arm{outcomes: outcomes, payoff: sum, faults: faults})
		}
	}
}

func (w *workload) latencyOn(k api.MachineType) *decay.Mean {
	if w.latencyByMachine[k] == nil {
		w.latencyByMachine[k] = &decay.Mean{}
	}
	return w.latencyByMachine[k]
}

// New starts an agent.
func New(seed uint64, terms map[string]any) *Balancer {
	b := &Balancer{settings: terms, randomState: seed*2 + 1, workloads: map[api.Workload]*workload{},
		backends: map[api.BackendID]*backend{}, transactions: map[api.TransactionID]*transaction{},
		unfinished: map[api.TransactionID]*transaction{}, timers: map[api.TimerID]func(){},
		exposure: map[exposureKey]*decay.SlidingWindow{}, keyBuilds: map[api.AffinityKey]api.Build{}, unconfirmed: map[api.AffinityKey][]*attempt{},
		flows: map[flowKey]*flow{}}
	return b
}

// stageStart is when the machines of the present stage had started, as far as is known.
func (b *Balancer) stageStart() time.Duration {
	at := time.Duration(0)
	for _, backend := range b.ordered {
		if backend.listed && backend.Build == b.trialBuild {
			at = max(at, backend.Started)
		}
	}
	return at
}

// clearArm drops the outcomes of one arm, also from the appliances that gave them.
func (b *Balancer) clearArm(i int) {
	for _, backend := range b.ordered {
		if b.armOf(backend) == i {
			backend.counts, backend.unreported = arm{}, arm{}
		}
	}
	b.arms[i] = arm{picked: b.arms[i].picked}
}

// applyList brings the list up to date.
func (b *Balancer) applyList(update api.BackendUpdate) {
	if update.Kind != api.UpdateIncremental {
		for _, current := range b.ordered {
			current.listed, current.State = false, api.StateGone // unless named below
		}
	}
	for _, entry := range update.Backends {
		current := b.backends[entry.ID]
		if restarted := current != nil && (current.Started != entry.Started || current.Build != entry.Build); current == nil || restarted {
			// What runs anew, or another build under an old id, is a new machine: what was known of its health is
			// void, and what the old one still owes ends there.
			if restarted {
				b.ordered = slices.DeleteFunc(b.ordered, func(x *backend) bool { return x == current })
			}
			current = &backend{paceCredit: b.randomFloat(), paceCreditAt: b.now, stage: b.rollout.Stage}
			b.backends[entry.ID] = current
			b.ordered = append(b.ordered, current)
		}
		current.Backend, current.listed = entry, entry.State == api.StateUp
	}
	kept := b.ordered[:0]
	b.listedCount = 0
	for _, current := range b.ordered {
		if current.listed {
			b.listedCount++
		}
		if current.listed || current.inFlight > 0 || current.State == api.StateDraining {
			kept = append(kept, current)
		} else {
			delete(b.backends, current.ID)
		}
	}
	b.ordered = kept
	sort.Slice(b.ordered, func(i, j int) bool { return b.ordered[i].ID < b.ordered[j].ID })
}

// logVote leaves a line in the log on the vote just cast.
func (b *Balancer) logVote(vote *vote) {
	baseline, trial := b.withTally(0, b.arms[0]), b.withTally(1, b.arms[1])
	verdict := []string{"no vote", "vote on", "vote hold", "vote back"}[vote.verdict]
	if b.blamed {
		verdict += ", all harmed,"
	}
	b.emit(api.LogLine{Text: fmt.Sprintf("%s: build %d stage %d: %.3f of %.0f, %.3f of %.0f, Z %.1f", verdict,
		vote.build, vote.stage, baseline.mean(), baseline.outcomes, trial.mean(), trial.outcomes, statistic(baseline, trial, 0))})
}

// newestBuild is the highest build that the news or the list names.
func (b *Balancer) newestBuild() api.Build {
	newest := b.rollout.Build
	for _, backend := range b.ordered {
		if backend.listed {
			newest = max(newest, backend.Build)
		}
	}
	return newest
}

// discardCounts takes what an appliance has given out of its arm.
func (b *Balancer) discardCounts(backend *backend) {
	b.creditOutcome(backend, arm{outcomes: -backend.counts.outcomes, payoff: -backend.counts.payoff, faults: -backend.counts.faults})
	backend.counts, backend.unreported = arm{}, arm{}
}

// dropOldKeys forgets keys bound to builds before the one in the news, and sends at them: no rule asks for them again.
func (b *Balancer) dropOldKeys() {
	oldest := b.oldestBuild()
	for k, build := range b.keyBuilds {
		if build < oldest {
			delete(b.keyBuilds, k)
		}
	}
	for l := range b.exposure {
		if l.build < b.rollout.Build {
			delete(b.exposure, l)
		}
	}
}

// meanLoad is the mean burden of the machines that run earlier builds, 0 where there are none.
func (b *Balancer) meanLoad() float64 {
	var sum, n float64
	for _, backend := range b.ordered {
		if backend.listed && backend.health == healthy && b.armOf(backend) == 0 {
			sum, n = sum+b.load(backend), n+1
		}
	}
	return sum / max(n, 1)
}

// armHasWarmBackend tells whether an arm has a listed machine whose outcomes count.
func (b *Balancer) armHasWarmBackend(i int) bool {
	for _, backend := range b.ordered {
		if backend.listed && b.armOf(backend) == i && b.now-backend.Started > minCountedAge {
			return true
		}
	}
	return false
}

// trialCapacityShare is the share of the trial's machines in what all listed ones can do.
func (b *Balancer) trialCapacityShare() float64 {
	var part [2]float64
	for _, backend := range b.ordered {
		if backend.listed {
			part[b.armOf(backend)] += b.capacityShare(backend)
		}
	}
	return part[1] / max(part[0]+part[1], 1)
}

// switchTrialBuild sees whether a later build than the one judged so far has come; both arms then start anew.
func (b *Balancer) switchTrialBuild() {
	newest := b.newestBuild()
	if newest != b.trialBuild && b.rolloutKnown {
		b.clearArm(0)
		b.clearArm(1)
		for _, w := range b.workloads {
			w.tally = [2]tallySums{}
		}
		b.trialBuild, b.arms, b.trialQuota = newest, [2]arm{}, b.randomFloat()
		b.harmSince, b.blamedUntil, b.doubtUntil, b.trialPaused = b.now, 0, 0, false
	}
}

// outdated tells whether a state of the newest build is one that came before another: a higher build is a newer one,
// and a build's stages rise until it is released or, at any time, goes back.
func outdated(old, news api.RolloutUpdate) bool {
	if old.Build != news.Build {
		return old.Build < news.Build
	}
	course := map[api.Phase]int{api.PhaseTrial: 0, api.PhaseReleased: 1, api.PhaseRollingBack: 2, api.PhaseWithdrawn: 3}
	if old.Phase != news.Phase {
		return course[old.Phase] < course[news.Phase]
	}
	return old.Stage < news.Stage
}

// bindingRollouts are those that the rules may go by: the newest, and one told after it that came before.
func (b *Balancer) bindingRollouts() []api.RolloutUpdate {
	switch {
	case !b.rolloutKnown:
		return nil
	case b.rolloutLags:
		return []api.RolloutUpdate{b.rollout, b.laggingRollout}
	}
	return []api.RolloutUpdate{b.rollout}
}

// oldestBuild is the lowest build that a state names.
func (b *Balancer) oldestBuild() api.Build {
	oldest := b.rollout.Build
	for _, n := range b.bindingRollouts() {
		oldest = min(oldest, n.Build)
	}
	return oldest
}

// boundBuild tells the lowest build that a key may go to.
func (b *Balancer) boundBuild(k api.AffinityKey) api.Build {
	build, ok := b.keyBuilds[k]
	for _, attempt := range b.unconfirmed[k] {
		if b.now-attempt.startedAt >= unseenDelay {
			build, ok = max(build, attempt.backend.Build), true
		}
	}
	if !ok {
		return 0
	}
	for _, rollout := range b.bindingRollouts() {
		goes := rollout.Phase == api.PhaseRollingBack || rollout.Phase == api.PhaseWithdrawn
		if build > rollout.Build || build == rollout.Build && !goes {
			return build
		}
	}
	return 0
}

func (b *Balancer) receiveRollout(update api.RolloutUpdate) {
	input := voteRefused
	switch {
	case update.Result == api.VoteCounted:
		input = voteAccepted
	case update.Result == api.VoteStale && b.vote.verdict == api.VerdictAdvance:
		input = voteOutdated
	}
	if update.AnswersVote {
		advance(b, voteTransitions, &b.vote.state, input, &b.vote)
	}
	if input != voteAccepted {
		return
	}
	if b.rolloutLags = b.rolloutKnown && outdated(update, b.rollout); b.rolloutLags {
		b.laggingRollout = update // the rules go by what was told last; decisions do not
	} else {
		b.rollout, b.rolloutKnown, b.stageGuess = update, true, 0
		b.dropOldKeys()
		b.switchTrialBuild()
		b.updateVote()
	}
}

// exposureWindow is that of the exposure rule, and the two ticks by which it is stretched and cut.
func (b *Balancer) exposureWindow() (whole, edge time.Duration) {
	return setting(b, "trial.window", time.Minute), 2 * setting(b, "tick", heartbeatInterval)
}

// rate is how many transactions a second make up a demand.
func (b *Balancer) rate(d *decay.Sum) float64 {
	seen := float64(demandHalfLife) / math.Ln2 * (1 - math.Exp2(-float64(b.now)/float64(demandHalfLife)))
	return d.Value(b.now, demandHalfLife) / max(seen, float64(time.Second)) * float64(time.Second)
}

// forget drops a transaction that is over and calls off what is still out for it.
func (b *Balancer) forget(tx *transaction) {
	delete(b.transactions, tx.ID)
	if tx.inFlight > 0 {
		b.unfinished[tx.ID] = tx
		b.cancelOthers(tx)
	}
}

// cancelOthers calls off what is still out, but for a send whose answer has begun.
func (b *Balancer) cancelOthers(tx *transaction) {
	for i, attempt := range tx.attempts {
		if !attempt.finished && setting(b, "may.calloff", false) && (tx.state != streaming || api.AttemptNumber(i) != tx.streamingAttempt) {
			b.emit(api.CancelAttempt{Transaction: tx.ID, Attempt: api.AttemptNumber(i)})
		}
	}
}

func (b *Balancer) castVote(o *vote) {
	o.castAt = b.now
	b.emit(api.CastVote{Build: o.build, Stage: o.stage, Verdict: o.verdict})
	b.logVote(o)
}

// recordAttempt counts one more send wherever sends are counted.
func (b *Balancer) recordAttempt(tx *transaction, backend *backend) {
	if trial, _ := b.exposureCap(backend.Build); trial {
		sends, _ := b.exposureCounters(backend.Build, tx.workload)
		window, edge := b.exposureWindow()
		sends.Add(b.now, window+edge)
	}
	if len(tx.attempts) == 0 {
		i := b.armOf(backend)
		b.arms[i].picked++
		b.trialQuota -= float64(i)
	} else {
		b.retries.tried.Add(b.now, retryHalfLife, 1)
	}
	if backend.inFlight == 0 {
		backend.owesSince = b.now
	}
	backend.inFlight++
	tx.flow.inFlight++
	backend.paceCredit--
	started := &attempt{backend: backend, startedAt: b.now, warmingUp: b.now-backend.Started < minCountedAge}
	tx.attempts, tx.inFlight = append(tx.attempts, started), tx.inFlight+1
	if tx.Key != "" && b.countsUnseen() && backend.Build >= b.oldestBuild() {
		b.unconfirmed[tx.Key] = append(b.unconfirmed[tx.Key], started)
	}
}

// backendResponded tells whether an outcome shows that the machine lives, whatever it wrote.
func backendResponded(o api.Outcome) bool {
	return o == api.Succeeded || o == api.ErrorResponse || o == api.Rejected || o == api.MalformedResponse || o == api.InvalidRequest
}

// mayHaveAnswered tells whether an outcome leaves it open that the appliance has written a good answer.
func mayHaveAnswered(o api.Outcome) bool {
	return mayHaveRun(o) && o != api.ErrorResponse && o != api.InvalidRequest
}

// mayHaveRun tells whether an outcome leaves it open that the send was carried out.
func mayHaveRun(o api.Outcome) bool {
	return o != api.Rejected && o != api.Unreachable && o != api.NotSent
}

// finishAttempt finds the send that has ended and counts it as no longer out.
func (b *Balancer) finishAttempt(event api.AttemptEnded) (*transaction, *attempt) {
	tx := b.transactions[event.Transaction]
	if tx == nil {
		tx = b.unfinished[event.Transaction]
	}
	if tx == nil || int(event.Attempt) >= len(tx.attempts) || tx.attempts[event.Attempt].finished {
		return nil, nil
	}
	current := tx.attempts[event.Attempt]
	current.finished = true
	if left := slices.DeleteFunc(b.unconfirmed[tx.Key], func(x *attempt) bool { return x == current }); len(left) > 0 {
		b.unconfirmed[tx.Key] = left
	} else {
		delete(b.unconfirmed, tx.Key)
	}
	tx.inFlight--
	current.backend.inFlight--
	tx.flow.inFlight--
	if tx.inFlight == 0 && tx.state == finished {
		delete(b.unfinished, tx.ID)
	}
	return tx, current
}

// countOwn counts one outcome of this agent's own, and keeps it to be told.
func (b *Balancer) countOwn(backend *backend, payoff float64, fault bool) {
	x := arm{outcomes: 1, payoff: payoff, faults: indicator(fault)}
	b.arms[b.armOf(backend)].ownOutcomes++
	b.creditOutcome(backend, x)
	if b.arms[1].ownOutcomes > 0 {
		backend.unreported.add(x, 1)
	}
}

// noteThroughput notes answers a second, a span at a time: as they were before the trial, and as they are now.
func (b *Balancer) noteThroughput(n float64, span time.Duration) {
	if took := b.now - b.throughputSince; took > span {
		b.throughput.Add(b.now, throughputHalfLife, b.throughputCount/took.Seconds())
		if b.arms[1].outcomes == 0 && !b.armHasWarmBackend(1) {
			b.baselineThroughput.Add(b.now, baselineHalfLife, b.throughputCount/took.Seconds())
		}
		b.throughputSince, b.throughputCount = b.now, 0
	}
	b.throughputCount += n
}

// backendsByStage gives an arm's machines with outcomes by the stage they came with, those with the lowest payoffs first.
func (b *Balancer) backendsByStage(i int) (machines [8][]*backend) {
	for _, backend := range b.ordered {
		if s := min(backend.stage, 7); backend.counts.outcomes > 0 && b.armOf(backend) == i {
			machines[s] = append(machines[s], backend)
		}
	}
	for _, group := range machines {
		sort.SliceStable(group, func(i, j int) bool { return group[i].counts.mean() < group[j].counts.mean() })
	}
	return machines
}

// attemptInterval is the mean time between this agent's sends to one appliance.
func (b *Balancer) attemptInterval() time.Duration {
	return time.Duration(float64(b.listedCount) / max(b.rate(&b.demand), 1e-3) * float64(time.Second))
}

// statistic is Z for the two arms, with extra added to the trial's mean.
func statistic(baseline, trial arm, extra float64) float64 {
	return bestarm.LikelihoodRatio(baseline.forStatistic(), trial.forStatistic(), extra)
}

// forStatistic is the arm as the statistic takes it.
func (a arm) forStatistic() bestarm.Arm {
	return bestarm.Arm{Pulls: a.picked, Observations: a.outcomes, Reward: a.payoff}
}

// notePayoff notes a payoff over both arms, as it is lately and as it was before the trial.
func (b *Balancer) notePayoff(payoff float64, baseline bool) {
	b.recentPayoff.Add(b.now, recentHalfLife, payoff)
	if baseline {
		b.baselinePayoff.Add(b.now, baselineHalfLife, payoff)
	}
}

// recordAccepted counts one more transaction wherever they are counted.
func (b *Balancer) recordAccepted(tx *transaction) {
	b.transactions[tx.ID] = tx
	window, edge := b.exposureWindow()
	b.accepted.Add(b.now, window+edge)
	tx.workload.accepted.Add(b.now, window+edge)
	b.demand.Add(b.now, demandHalfLife, 1)
	tx.flow.demand.Add(b.now, demandHalfLife, 1)
}

// usualLatency is the mean time of recent answers; a tenth of a second until there are some.
func (b *Balancer) usualLatency() time.Duration {
	return time.Duration(b.latency.Estimate(b.now, latencyHalfLife, 0.1, 1) * float64(time.Second))
}

func (b *Balancer) meanLatency(w *workload) time.Duration {
	prior := w.goal.Seconds() / 4 // goals are set a few times the usual time
	return time.Duration(w.latency.Estimate(b.now, latencyHalfLife, prior, 2) * float64(time.Second))
}

// judgeCount is how many agents, from number 0, hear all counts and judge: every one where shares of all must
// stand for a vote, else six, of whom some live when half of all die.
func (b *Balancer) judgeCount() int {
	all := int(setting(b, "agents", 1.0))
	shared := setting(b, "may.tell", false) || setting(b, "tally.every", time.Duration(0)) > 0
	if setting(b, "trial.control", "") == "single" && shared {
		return min(all, 6)
	}
	return all
}
