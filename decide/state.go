package decide

// State of one agent and the loop that reads the tables. Nothing here decides: no tuned value, no choice.

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"sagelever/agent"
	"sagelever/arms"
	"sagelever/gauge"
)

type row[S, I comparable, T any] struct {
	state  S
	input  I
	next   S
	effect func(*Balancer, T)
}

func run[S, I comparable, T any](b *Balancer, table []row[S, I, T], state *S, input I, of T) {
	for _, r := range table {
		if r.state == *state && r.input == input {
			if *state = r.next; r.effect != nil {
				r.effect(b, of)
			}
			return
		}
	}
}

type course int // of a transaction

const (
	held    course = iota // nothing is out
	out                   // one send or more is out
	flowing               // its answer has begun to stream
	over                  // it has its final answer
)

type turn int // what befalls a transaction

const (
	taken    turn = iota
	poll          // time to try a held one again
	sent          // a send has gone
	lost          // the last send out has failed
	lag           // the answer is later than most
	lastCall      // the client's time is nearly up
	begun         // its answer has begun to stream
	closed        // it was satisfied, or its client left
)

type health int // of an appliance

const (
	fit     health = iota
	resting        // gets nothing while others are ready
	trying         // gets one send at a time
)

type symptom int

const (
	well symptom = iota
	sick
	rested
	doubted // others found it sick
	cleared // another found it well again
)

type casting int // of the agent's vote

const (
	silent casting = iota
	asked          // the platform has not answered yet
	standing
)

type reply int

const (
	wish    reply = iota // the verdict is another than the one that stands
	counted              // the platform took it
	refused              // it did not count
	moot                 // it came too late for its build or stage
	lapse                // no answer came, or it is about to run out
)

// Balancer is one agent.
type Balancer struct {
	terms          map[string]any
	now            time.Duration
	actions        []agent.Action
	dice           uint64
	work           map[agent.Workload]*workload
	fleet          map[agent.ApplianceID]*appliance
	up             int          // appliances listed
	order          []*appliance // by id, so that the same events lead to the same actions
	open           map[agent.TransactionID]*transaction
	late           map[agent.TransactionID]*transaction // over, with sends still out
	waiting        []*transaction
	timers         map[agent.TimerID]func()
	timer          agent.TimerID
	takes          gauge.Sliding
	demand         gauge.Decaying
	exposure       map[lane]*gauge.Sliding
	keys           map[agent.Key]agent.Build // one-way keys: the newest build that has answered
	unsure         map[agent.Key][]*send     // sends out that may bind their key
	boundIn        gauge.Mean                // share of what is taken that is bound to the build on trial
	news           agent.TrialNews
	last           agent.TrialNews // told after news, of a state before it
	lateNews       bool            // there is such
	ahead          agent.Stage     // by which the stage may be past the one told
	told           bool
	subject        agent.Build
	ration         float64 // first sends that the trial may get
	arms           [2]arm
	ballot         ballot
	times          gauge.Mean // of all answers
	toldAt         time.Duration
	askTill        time.Duration // no list is asked for until then
	heeded         bool          // a list came in answer
	heededAt       time.Duration
	askedAt        time.Duration
	lately, before gauge.Mean // payoffs over both arms, and before the trial
	harmSince      time.Duration
	blamedTill     time.Duration
	doubtTill      time.Duration
	blamed         bool          // as last judged
	abstain        bool          // the trial gets nothing, to see what harm goes away
	pace, paceWas  gauge.Mean    // answers a second, now and before the trial
	lap            time.Duration // since when answers are summed up
	laps           float64
	flows          map[flowID]*flow
	cries          [3][]agent.ApplianceID // found sick, well again, sick by three, and not told
	further        struct{ earned, tried, won gauge.Decaying }
}

type lane struct {
	build    agent.Build
	workload agent.Workload
}

type workload struct {
	name          agent.Workload
	effect, group string
	goal          time.Duration
	memory        time.Duration
	payoff        float64
	takes         gauge.Sliding
	times         map[agent.MachineKind]*gauge.Mean // of the earlier build
	all           gauge.Mean
	tallied       gauge.Mean // the platform's mean time before the trial
	tally         [2]sums    // what the platform counted, by arm
}

// sums are the platform's counts of sends and satisfied ones, and these ones' time.
type sums struct{ n, sum, time float64 }

// flow is what one customer asks of one workload.
type flow struct {
	work   *workload
	demand gauge.Decaying
	out    int        // sends out
	most   float64    // most sends out at once
	fill   gauge.Mean // time of answers by their goal
}

type flowID struct {
	workload agent.Workload
	customer agent.Customer
}

// flow gives the flow of one transaction; a new one learns its bound from above.
func (b *Balancer) flow(w *workload, c agent.Customer) *flow {
	f := b.flows[flowID{w.name, c}]
	if f == nil {
		f = &flow{work: w, most: math.Inf(1)}
		b.flows[flowID{w.name, c}] = f
	}
	return f
}

type appliance struct {
	agent.Appliance
	listed   bool
	stage    agent.Stage // as told when it was first listed
	health   health
	until    time.Duration // end of its rest
	rests    int
	out      int
	streak   int // sends in a row without any answer
	heard    time.Duration
	asked    time.Duration // since when it owes an answer
	faulty   float64       // share of faults in the last few answers
	slowness gauge.Mean    // time of its answers by the workload's mean
	backlog  float64
	reported time.Duration
	given    arm     // its part of its arm's counts
	untold   arm     // what other agents have not been told of it
	credit   float64 // sends that its pace allows
	creditAt time.Duration
	criers   []crier       // agents that lately found it sick
	knownAt  time.Duration // when all were last told that it is sick, 0 if not since it was well
}

// crier is an agent that found a machine sick.
type crier struct {
	by agent.PeerNo
	at time.Duration
}

type send struct {
	to   *appliance
	at   time.Duration
	over bool
	cold bool
}

type transaction struct {
	agent.Taken
	work   *workload
	flow   *flow
	at     time.Duration
	course course
	sends  []*send
	out    int
	ran    time.Duration // when the first send that may have run was sent, -1 if none
	ranAt  *appliance
	stream agent.SendNo
	why    agent.Why // if it is given up now
}

// arm counts decisions, outcomes and payoffs of one build, as the design has it; own outcomes are those of this
// agent, the others it has heard of.
type arm struct {
	picked, n, sum, own float64
	faults              float64 // outcomes that were faults
}

// add puts another arm's outcomes on top, or takes them off.
func (a *arm) add(x arm, times float64) {
	a.n, a.sum, a.faults = a.n+times*x.n, a.sum+times*x.sum, a.faults+times*x.faults
}

// sound is the arm as it is when only faults count against it.
func (a arm) sound() arm { return arm{n: a.n, sum: a.n - a.faults} }

type ballot struct {
	state   casting
	verdict agent.Verdict
	build   agent.Build
	stage   agent.Stage
	at      time.Duration
	notTill time.Duration
}

// term reads one of the deployment's terms, or gives what holds where it names none.
func term[T any](b *Balancer, name string, otherwise T) T {
	if v, ok := b.terms[name].(T); ok {
		return v
	}
	return otherwise
}

// roll is a permuted congruential generator (O'Neill's PCG-XSH-RR), drawn below n.
func (b *Balancer) roll(n int) int {
	old := b.dice
	b.dice = old*6364136223846793005 + 1442695040888963407
	x, rot := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return int(uint64(x>>rot|x<<(-rot&31)) * uint64(n) >> 32)
}

// luck is drawn evenly between 0 and 1.
func (b *Balancer) luck() float64 { return float64(b.roll(1<<20)) / (1 << 20) }

func (b *Balancer) do(a agent.Action) { b.actions = append(b.actions, a) }

func (b *Balancer) after(d time.Duration, f func()) {
	b.timer++
	b.timers[b.timer] = f
	b.do(agent.Wake{After: max(d, 0), Timer: b.timer})
}

// unit is 1 for what is so.
func unit(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Step takes one event and gives the actions that answer it.
func (b *Balancer) Step(now time.Duration, event agent.Event) []agent.Action {
	b.now, b.actions = now, nil
	if b.timer == 0 {
		b.askTill, b.askedAt, b.heededAt = b.within(), -b.within(), -b.within()
		if b.askSoon(); term(b, "discovery", "") == "asked" && !b.unheard() {
			b.do(agent.Subscribe{On: true})
		}
		b.heartbeat()
	}
	switch e := event.(type) {
	case agent.ListNews:
		b.follow(e)
	case agent.Taken:
		b.take(e)
	case agent.Begun:
		if t := b.open[e.ID]; t != nil {
			t.stream = e.Send
			run(b, courses, &t.course, begun, t)
		}
	case agent.Ended:
		b.ended(e)
	case agent.ClientLeft:
		if t := b.open[e.ID]; t != nil {
			run(b, courses, &t.course, closed, t)
		}
	case agent.Due:
		if f := b.timers[e.Timer]; f != nil {
			delete(b.timers, e.Timer)
			f()
		}
	case agent.TrialNews:
		b.hearNews(e)
	case agent.Complaint:
		b.complain(e)
	case agent.Tally:
		b.count(e)
	case agent.Heard:
		b.hear(e)
	}
	return b.actions
}

func (b *Balancer) workload(name agent.Workload) *workload {
	w := b.work[name]
	if w == nil {
		p := "workload." + string(name) + "."
		w = &workload{name: name, effect: term(b, p+"effect", "effectful"), group: term(b, p+"group", ""),
			goal:   term(b, p+"goal", time.Second),
			memory: term(b, p+"memory", time.Duration(0)), payoff: term(b, p+"payoff", 1.0),
			times: map[agent.MachineKind]*gauge.Mean{}}
		b.work[name] = w
	}
	return w
}

// lane gives the count that the exposure rule keeps for sends of this workload at this build.
func (b *Balancer) lane(build agent.Build, w *workload) (*gauge.Sliding, *gauge.Sliding) {
	l, takes := lane{build: build}, &b.takes
	if term(b, "trial.counts", "") == "per_lane" {
		l.workload, takes = w.name, &w.takes
	}
	if b.exposure[l] == nil {
		b.exposure[l] = &gauge.Sliding{}
	}
	return b.exposure[l], takes
}

func (t *transaction) uses(a *appliance) bool {
	for _, s := range t.sends {
		if s.to == a {
			return true
		}
	}
	return false
}

// noteRan marks the first send still out as one that may have run.
func (t *transaction) noteRan() {
	for _, s := range t.sends {
		if !s.over && (t.ran < 0 || s.at < t.ran) {
			t.ran, t.ranAt = s.at, s.to
		}
	}
}

func (a *arm) mean() float64 {
	if a.n == 0 {
		return 0.5
	}
	return a.sum / a.n
}

func (b *Balancer) armOf(a *appliance) int {
	if a.Build == b.subject {
		return 1
	}
	return 0
}

// credit puts outcomes and their payoffs on an appliance and its arm. Both arms start anew at the trial's first.
func (b *Balancer) credit(a *appliance, x arm) {
	i := b.armOf(a)
	if i == 1 && b.arms[1].n == 0 {
		b.clear(0)
	}
	b.arms[i].add(x, 1)
	a.given.add(x, 1)
}

const line = 10 // bytes for one appliance in a message

const mostTold = 256 - 2 - line // bytes after which a message has no room for one more

// untold is the size of the message that tells what has not been told, 0 if nothing.
func (b *Balancer) untold() int {
	size := 0
	for _, a := range b.order {
		if a.untold.n > 0 && size < mostTold {
			size += line
		}
	}
	return size
}

// message holds the build judged, then for each appliance its id, its arm (top bit) and outcomes, twice its
// payoffs, and its faults. What does not fit waits for the next.
func (b *Balancer) message() []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(b.subject))
	for _, a := range b.order {
		u := &a.untold
		if n := min(u.n, 1<<14); n > 0 && len(data) <= mostTold {
			data = binary.BigEndian.AppendUint32(data, uint32(a.ID))
			data = binary.BigEndian.AppendUint16(data, uint16(n)|uint16(b.armOf(a))<<15)
			data = binary.BigEndian.AppendUint16(data, uint16(2*min(u.sum, n)))
			data = binary.BigEndian.AppendUint16(data, uint16(min(u.faults, n)))
			*u = arm{}
		}
	}
	return data
}

const cry = 5 // bytes of the shortest message on health, which are told by their length: a kind, then ids of four bytes

const mostCried = (256 - 1) / 4

// cryData is a message on machines: found sick (kind 0), well again (1), sick by three (2). No message of counts has its length: they
// leave 2 by 10, this an odd number.
func cryData(kind int, ids []agent.ApplianceID) []byte {
	data := []byte{byte(kind)}
	for _, id := range ids[:min(len(ids), mostCried)] {
		data = binary.BigEndian.AppendUint32(data, uint32(id))
	}
	return data
}

// hearCry takes such a message.
func (b *Balancer) hearCry(e agent.Heard) {
	for d := e.Data[1:]; len(d) >= 4; d = d[4:] {
		a := b.fleet[agent.ApplianceID(binary.BigEndian.Uint32(d))]
		switch {
		case a == nil || !a.listed:
		case e.Data[0] == 0:
			b.doubt(a, e.From)
		case e.Data[0] == 2:
			b.avoid(a)
		case e.Data[0] == 1:
			a.knownAt = 0
			run(b, healths, &a.health, cleared, a)
		}
	}
}

// number is this agent's own.
func (b *Balancer) number() agent.PeerNo { return agent.PeerNo(term(b, "number", 0.0)) }

// unheard tells whether an agent that has asked discovery cannot tell if it was heard: a front whose wire tells says so.
func (b *Balancer) unheard() bool {
	return term(b, "discovery", "") == "asked" && term(b, "discovery.unsure", true)
}

// within is the time after which an agent that has asked for no list counts as told.
func (b *Balancer) within() time.Duration { return term(b, "discovery.within", 10*time.Second) }

// tellFirst sends a message to the first agents, but for this one.
func (b *Balancer) tellFirst(agents int, data []byte) {
	for to := range agents {
		if to != int(b.number()) {
			b.do(agent.Tell{To: agent.PeerNo(to), Data: data})
		}
	}
}

// known tells whether all were told just now that a machine is sick.
func (b *Balancer) known(a *appliance) bool { return a.knownAt > 0 && b.now-a.knownAt <= cried }

// restful is how many listed machines rest.
func (b *Balancer) restful() (n int) {
	for _, a := range b.order {
		if a.listed && a.health != fit {
			n++
		}
	}
	return n
}

func (b *Balancer) hear(e agent.Heard) {
	if len(e.Data) >= cry && len(e.Data)%4 == 1 {
		b.hearCry(e)
		return
	}
	if len(e.Data)%line != 2 || agent.Build(binary.BigEndian.Uint16(e.Data)) != b.subject || !b.told {
		return
	}
	for d := e.Data[2:]; len(d) > 0; d = d[line:] {
		n, sum := binary.BigEndian.Uint16(d[4:]), float64(binary.BigEndian.Uint16(d[6:]))/2
		faults := float64(binary.BigEndian.Uint16(d[8:]))
		a := b.fleet[agent.ApplianceID(binary.BigEndian.Uint32(d))]
		if of := float64(n & (1<<15 - 1)); a != nil && of > 0 && b.armOf(a) == int(n>>15) && sum+faults <= of {
			b.learn(a, arm{n: of, sum: sum, faults: faults})
		}
	}
}

func (w *workload) timesOn(k agent.MachineKind) *gauge.Mean {
	if w.times[k] == nil {
		w.times[k] = &gauge.Mean{}
	}
	return w.times[k]
}

// New starts an agent.
func New(seed uint64, terms map[string]any) *Balancer {
	b := &Balancer{terms: terms, dice: seed*2 + 1, work: map[agent.Workload]*workload{},
		fleet: map[agent.ApplianceID]*appliance{}, open: map[agent.TransactionID]*transaction{},
		late: map[agent.TransactionID]*transaction{}, timers: map[agent.TimerID]func(){},
		exposure: map[lane]*gauge.Sliding{}, keys: map[agent.Key]agent.Build{}, unsure: map[agent.Key][]*send{},
		flows: map[flowID]*flow{}}
	return b
}

// stageStart is when the machines of the present stage had started, as far as is known.
func (b *Balancer) stageStart() time.Duration {
	at := time.Duration(0)
	for _, a := range b.order {
		if a.listed && a.Build == b.subject {
			at = max(at, a.Started)
		}
	}
	return at
}

// clear drops the outcomes of one arm, also from the appliances that gave them.
func (b *Balancer) clear(i int) {
	for _, a := range b.order {
		if b.armOf(a) == i {
			a.given, a.untold = arm{}, arm{}
		}
	}
	b.arms[i] = arm{picked: b.arms[i].picked}
}

// enlist brings the list up to date.
func (b *Balancer) enlist(e agent.ListNews) {
	if e.Kind != agent.Changes {
		for _, a := range b.order {
			a.listed, a.Standing = false, agent.Gone // unless named below
		}
	}
	for _, n := range e.Entries {
		a := b.fleet[n.ID]
		if again := a != nil && (a.Started != n.Started || a.Build != n.Build); a == nil || again {
			// What runs anew, or another build under an old id, is a new machine: what was known of its health is
			// void, and what the old one still owes ends there.
			if again {
				b.order = slices.DeleteFunc(b.order, func(x *appliance) bool { return x == a })
			}
			a = &appliance{credit: b.luck(), creditAt: b.now, stage: b.news.Stage}
			b.fleet[n.ID] = a
			b.order = append(b.order, a)
		}
		a.Appliance, a.listed = n, n.Standing == agent.Up
	}
	kept := b.order[:0]
	b.up = 0
	for _, a := range b.order {
		if a.listed {
			b.up++
		}
		if a.listed || a.out > 0 || a.Standing == agent.Draining {
			kept = append(kept, a)
		} else {
			delete(b.fleet, a.ID)
		}
	}
	b.order = kept
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].ID < b.order[j].ID })
}

// note leaves a line in the log on the vote just cast.
func (b *Balancer) note(o *ballot) {
	early, trial := b.tallied(0, b.arms[0]), b.tallied(1, b.arms[1])
	word := []string{"no vote", "vote on", "vote hold", "vote back"}[o.verdict]
	if b.blamed {
		word += ", all harmed,"
	}
	b.do(agent.Log{Text: fmt.Sprintf("%s: build %d stage %d: %.3f of %.0f, %.3f of %.0f, Z %.1f", word,
		o.build, o.stage, early.mean(), early.n, trial.mean(), trial.n, statistic(early, trial, 0))})
}

// newest is the highest build that the news or the list names.
func (b *Balancer) newest() agent.Build {
	newest := b.news.Build
	for _, a := range b.order {
		if a.listed {
			newest = max(newest, a.Build)
		}
	}
	return newest
}

// disown takes what an appliance has given out of its arm.
func (b *Balancer) disown(a *appliance) {
	b.credit(a, arm{n: -a.given.n, sum: -a.given.sum, faults: -a.given.faults})
	a.given, a.untold = arm{}, arm{}
}

// unbind forgets keys bound to builds before the one in the news, and sends at them: no rule asks for them again.
func (b *Balancer) unbind() {
	oldest := b.oldest()
	for k, build := range b.keys {
		if build < oldest {
			delete(b.keys, k)
		}
	}
	for l := range b.exposure {
		if l.build < b.news.Build {
			delete(b.exposure, l)
		}
	}
}

// level is the mean burden of the machines that run earlier builds, 0 where there are none.
func (b *Balancer) level() float64 {
	var sum, n float64
	for _, a := range b.order {
		if a.listed && a.health == fit && b.armOf(a) == 0 {
			sum, n = sum+b.burden(a), n+1
		}
	}
	return sum / max(n, 1)
}

// stands tells whether an arm has a listed machine whose outcomes count.
func (b *Balancer) stands(i int) bool {
	for _, a := range b.order {
		if a.listed && b.armOf(a) == i && b.now-a.Started > coldFor {
			return true
		}
	}
	return false
}

// trialPart is the share of the trial's machines in what all listed ones can do.
func (b *Balancer) trialPart() float64 {
	var part [2]float64
	for _, a := range b.order {
		if a.listed {
			part[b.armOf(a)] += b.warmth(a)
		}
	}
	return part[1] / max(part[0]+part[1], 1)
}

// newSubject sees whether a later build than the one judged so far has come; both arms then start anew.
func (b *Balancer) newSubject() {
	newest := b.newest()
	if newest != b.subject && b.told {
		b.clear(0)
		b.clear(1)
		for _, w := range b.work {
			w.tally = [2]sums{}
		}
		b.subject, b.arms, b.ration = newest, [2]arm{}, b.luck()
		b.harmSince, b.blamedTill, b.doubtTill, b.abstain = b.now, 0, 0, false
	}
}

// outdated tells whether a state of the newest build is one that came before another: a higher build is a newer one,
// and a build's stages rise until it is released or, at any time, goes back.
func outdated(old, news agent.TrialNews) bool {
	if old.Build != news.Build {
		return old.Build < news.Build
	}
	course := map[agent.Phase]int{agent.OnTrial: 0, agent.Released: 1, agent.GoingBack: 2, agent.Withdrawn: 3}
	if old.Phase != news.Phase {
		return course[old.Phase] < course[news.Phase]
	}
	return old.Stage < news.Stage
}

// states are those that the rules may go by: the newest, and one told after it that came before.
func (b *Balancer) states() []agent.TrialNews {
	switch {
	case !b.told:
		return nil
	case b.lateNews:
		return []agent.TrialNews{b.news, b.last}
	}
	return []agent.TrialNews{b.news}
}

// oldest is the lowest build that a state names.
func (b *Balancer) oldest() agent.Build {
	oldest := b.news.Build
	for _, n := range b.states() {
		oldest = min(oldest, n.Build)
	}
	return oldest
}

// oneWay tells the lowest build that a key may go to.
func (b *Balancer) oneWay(k agent.Key) agent.Build {
	build, ok := b.keys[k]
	for _, s := range b.unsure[k] {
		if b.now-s.at >= unseen {
			build, ok = max(build, s.to.Build), true
		}
	}
	if !ok {
		return 0
	}
	for _, n := range b.states() {
		goes := n.Phase == agent.GoingBack || n.Phase == agent.Withdrawn
		if build > n.Build || build == n.Build && !goes {
			return build
		}
	}
	return 0
}

func (b *Balancer) hearNews(e agent.TrialNews) {
	took := refused
	switch {
	case e.Answer == agent.Counted:
		took = counted
	case e.Answer == agent.Moot && b.ballot.verdict == agent.On:
		took = moot
	}
	if e.ToVote {
		run(b, votes, &b.ballot.state, took, &b.ballot)
	}
	if took != counted {
		return
	}
	if b.lateNews = b.told && outdated(e, b.news); b.lateNews {
		b.last = e // the rules go by what was told last; decisions do not
	} else {
		b.news, b.told, b.ahead = e, true, 0
		b.unbind()
		b.newSubject()
		b.judge()
	}
}

// window is that of the exposure rule, and the two ticks by which it is stretched and cut.
func (b *Balancer) window() (whole, edge time.Duration) {
	return term(b, "trial.window", time.Minute), 2 * term(b, "tick", beat)
}

// rate is how many transactions a second make up a demand.
func (b *Balancer) rate(d *gauge.Decaying) float64 {
	seen := float64(demandHalf) / math.Ln2 * (1 - math.Exp2(-float64(b.now)/float64(demandHalf)))
	return d.Read(b.now, demandHalf) / max(seen, float64(time.Second)) * float64(time.Second)
}

// forget drops a transaction that is over and calls off what is still out for it.
func (b *Balancer) forget(t *transaction) {
	delete(b.open, t.ID)
	if t.out > 0 {
		b.late[t.ID] = t
		b.dropCopies(t)
	}
}

// dropCopies calls off what is still out, but for a send whose answer has begun.
func (b *Balancer) dropCopies(t *transaction) {
	for i, s := range t.sends {
		if !s.over && term(b, "may.calloff", false) && (t.course != flowing || agent.SendNo(i) != t.stream) {
			b.do(agent.CallOff{ID: t.ID, Send: agent.SendNo(i)})
		}
	}
}

func (b *Balancer) cast(o *ballot) {
	o.at = b.now
	b.do(agent.Vote{Build: o.build, Stage: o.stage, Verdict: o.verdict})
	b.note(o)
}

// noteSend counts one more send wherever sends are counted.
func (b *Balancer) noteSend(t *transaction, a *appliance) {
	if trial, _ := b.onTrial(a.Build); trial {
		sends, _ := b.lane(a.Build, t.work)
		window, edge := b.window()
		sends.Add(b.now, window+edge)
	}
	if len(t.sends) == 0 {
		i := b.armOf(a)
		b.arms[i].picked++
		b.ration -= float64(i)
	} else {
		b.further.tried.Add(b.now, furtherHalf, 1)
	}
	if a.out == 0 {
		a.asked = b.now
	}
	a.out++
	t.flow.out++
	a.credit--
	s := &send{to: a, at: b.now, cold: b.now-a.Started < coldFor}
	t.sends, t.out = append(t.sends, s), t.out+1
	if t.Key != "" && b.feared() && a.Build >= b.oldest() {
		b.unsure[t.Key] = append(b.unsure[t.Key], s)
	}
}

// answered tells whether an outcome shows that the machine lives, whatever it wrote.
func answered(o agent.Outcome) bool {
	return o == agent.Satisfied || o == agent.Fault || o == agent.Rejected || o == agent.Spoilt || o == agent.Unfit
}

// mayBeAnswered tells whether an outcome leaves it open that the appliance has written a good answer.
func mayBeAnswered(o agent.Outcome) bool {
	return mayHaveRun(o) && o != agent.Fault && o != agent.Unfit
}

// mayHaveRun tells whether an outcome leaves it open that the send was carried out.
func mayHaveRun(o agent.Outcome) bool {
	return o != agent.Rejected && o != agent.Unreachable && o != agent.NotSent
}

// settle finds the send that has ended and counts it as no longer out.
func (b *Balancer) settle(e agent.Ended) (*transaction, *send) {
	t := b.open[e.ID]
	if t == nil {
		t = b.late[e.ID]
	}
	if t == nil || int(e.Send) >= len(t.sends) || t.sends[e.Send].over {
		return nil, nil
	}
	s := t.sends[e.Send]
	s.over = true
	if left := slices.DeleteFunc(b.unsure[t.Key], func(x *send) bool { return x == s }); len(left) > 0 {
		b.unsure[t.Key] = left
	} else {
		delete(b.unsure, t.Key)
	}
	t.out--
	s.to.out--
	t.flow.out--
	if t.out == 0 && t.course == over {
		delete(b.late, t.ID)
	}
	return t, s
}

// own counts one outcome of this agent's own, and keeps it to be told.
func (b *Balancer) own(a *appliance, worth float64, fault bool) {
	x := arm{n: 1, sum: worth, faults: unit(fault)}
	b.arms[b.armOf(a)].own++
	b.credit(a, x)
	if b.arms[1].own > 0 {
		a.untold.add(x, 1)
	}
}

// served notes answers a second, a span at a time: as they were before the trial, and as they are now.
func (b *Balancer) served(n float64, span time.Duration) {
	if took := b.now - b.lap; took > span {
		b.pace.Add(b.now, paceHalf, b.laps/took.Seconds())
		if b.arms[1].n == 0 && !b.stands(1) {
			b.paceWas.Add(b.now, parHalf, b.laps/took.Seconds())
		}
		b.lap, b.laps = b.now, 0
	}
	b.laps += n
}

// byStage gives an arm's machines with outcomes by the stage they came with, those with the lowest payoffs first.
func (b *Balancer) byStage(i int) (machines [8][]*appliance) {
	for _, a := range b.order {
		if s := min(a.stage, 7); a.given.n > 0 && b.armOf(a) == i {
			machines[s] = append(machines[s], a)
		}
	}
	for _, group := range machines {
		sort.SliceStable(group, func(i, j int) bool { return group[i].given.mean() < group[j].given.mean() })
	}
	return machines
}

// visit is the mean time between this agent's sends to one appliance.
func (b *Balancer) visit() time.Duration {
	return time.Duration(float64(b.up) / max(b.rate(&b.demand), 1e-3) * float64(time.Second))
}

// statistic is Z for the two arms, with extra added to the trial's mean.
func statistic(x, y arm, extra float64) float64 {
	return arms.Statistic(x.counted(), y.counted(), extra)
}

// counted is the arm as the statistic takes it.
func (a arm) counted() arms.Arm { return arms.Arm{Picked: a.picked, N: a.n, Sum: a.sum} }

// felt notes a payoff over both arms, as it is lately and as it was before the trial.
func (b *Balancer) felt(good float64, before bool) {
	b.lately.Add(b.now, latelyHalf, good)
	if before {
		b.before.Add(b.now, parHalf, good)
	}
}

// noteTaken counts one more transaction wherever they are counted.
func (b *Balancer) noteTaken(t *transaction) {
	b.open[t.ID] = t
	window, edge := b.window()
	b.takes.Add(b.now, window+edge)
	t.work.takes.Add(b.now, window+edge)
	b.demand.Add(b.now, demandHalf, 1)
	t.flow.demand.Add(b.now, demandHalf, 1)
}

// usual is the mean time of recent answers; a tenth of a second until there are some.
func (b *Balancer) usual() time.Duration {
	return time.Duration(b.times.Read(b.now, timesHalf, 0.1, 1) * float64(time.Second))
}

func (b *Balancer) mean(w *workload) time.Duration {
	prior := w.goal.Seconds() / 4 // goals are set a few times the usual time
	return time.Duration(w.all.Read(b.now, timesHalf, prior, 2) * float64(time.Second))
}

// hearers is how many agents, from number 0, hear all counts and judge: every one where shares of all must
// stand for a vote, else six, of whom some live when half of all die.
func (b *Balancer) hearers() int {
	all := int(term(b, "agents", 1.0))
	shared := term(b, "may.tell", false) || term(b, "tally.every", time.Duration(0)) > 0
	if term(b, "trial.control", "") == "single" && shared {
		return min(all, 6)
	}
	return all
}
