package rig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// Ledger is what happened, as appliances and clients saw it. It knows nothing of what the system thinks.
type Ledger struct {
	mu    sync.Mutex
	ops   map[string]*op
	tries map[string]*op // by try id
	leave map[string]*leave
}

// op is what a client wants done once: all its tries together.
type op struct {
	kind    string
	risky   bool
	asked   time.Time
	runs    int           // whole
	cut     int           // begun, and ended by a connection that closed before its client's time was over
	work    time.Duration // of the last whole run
	told    outcome
	broken  int // tries that ended without a complete answer while there was time
	foreign int // answers that were not this one's
	promise int // tries that were refused with the promise that they never run
	ended   time.Time
}

type outcome uint8

const (
	untold  outcome = iota
	done            // a success
	refused         // a promise that it has not run
	failed
)

// leave is one removal of an appliance.
type leave struct {
	how    string
	notice time.Time // when it was acknowledged
	last   time.Time // the last new arrival
	late   int       // new arrivals later than the bound
}

// NewLedger begins an empty one.
func NewLedger() *Ledger {
	return &Ledger{ops: map[string]*op{}, tries: map[string]*op{}, leave: map[string]*leave{}}
}

// Ask notes a client's try for what it wants done.
func (l *Ledger) Ask(id, try, kind string, risky bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		o = &op{kind: kind, risky: risky, asked: at}
		l.ops[id] = o
	}
	l.tries[try] = o
}

// Arrived notes that an appliance has a request that is meant for it.
func (l *Ledger) Arrived(app string, at time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.leave[app]; x != nil {
		x.last = at
		if at.Sub(x.notice) > bound {
			x.late++
		}
	}
}

// Ran notes a whole run.
func (l *Ledger) Ran(try string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.tries[try]; o != nil {
		o.runs++
		o.work = work
	}
}

// Cut notes a run that was broken off before its client's time was over.
func (l *Ledger) Cut(try string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.tries[try]; o != nil {
		o.cut++
	}
}

// Told notes how a try ended for its client; whole says whether the answer was complete, own whether it was this try's.
func (l *Ledger) Told(try string, status int, whole, own bool, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.tries[try]
	switch {
	case !whole:
		if inTime {
			o.broken++
		}
		o.told = failed
	case status/100 == 2 && !own:
		o.foreign++
	case status/100 == 2:
		o.told = done
	case status == 429 || status == 503:
		o.told = refused
		o.promise++
	default:
		o.told = failed
	}
}

// Ended notes that a client is done with what it wanted.
func (l *Ledger) Ended(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops[id].ended = at
}

// Notice notes that the removal of an appliance was acknowledged.
func (l *Ledger) Notice(app, how string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave[app] = &leave{how: how, notice: at}
}

// Back notes that it may have new work again: what came before is kept under another name.
func (l *Ledger) Back(app string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.leave[app]; x != nil {
		delete(l.leave, app)
		l.leave[fmt.Sprint(app, "/", at.UnixNano())] = x
	}
}

// Figures are what a ledger says of a span.
type Figures struct {
	Requests, Served, Refused, Failed int
	Lost                              int // told done, and never run
	Doubled                           int // risky, and run twice, or run though its refusal promised that it never would
	Late                              int // arrivals at one that leaves, later than the bound after its notice
	Cut                               int // runs broken off
	Dropped                           int // tries that ended without a complete answer
	Mixed                             int // answers that were another's
	Removals                          int
	StopP50, StopMax                  time.Duration            // from the notice to the last new arrival
	Ways                              map[string]time.Duration // the same by the way of leaving, at most
	Kinds                             map[string]Kind
}

// Kind is what a ledger says of one kind of request.
type Kind struct {
	Requests, Served, Wrong int           // wrong: any of lost, doubled, cut, dropped and mixed
	Waited                  time.Duration // 99 of 100 waited no longer than that beyond their work
}

// Read sums up what was asked from a moment on, until another; zero: without an end.
func (l *Ledger) Read(from, to time.Time) Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := Figures{Kinds: map[string]Kind{}, Ways: map[string]time.Duration{}}
	waits := map[string][]time.Duration{}
	for _, o := range l.ops {
		if o.asked.Before(from) || !to.IsZero() && !o.asked.Before(to) {
			continue
		}
		f.Requests++
		k, wrong := f.Kinds[o.kind], o.cut+o.broken+o.foreign
		k.Requests++
		switch o.told {
		case done:
			f.Served++
			k.Served++
			if o.runs == 0 {
				f.Lost++
				wrong++
			}
			waits[o.kind] = append(waits[o.kind], o.ended.Sub(o.asked)-o.work)
		case refused:
			f.Refused++
		default:
			f.Failed++
		}
		if o.risky && (o.runs+o.cut > 1 || o.told == refused && o.runs+o.cut > 0) {
			f.Doubled++
			wrong++
		}
		f.Cut += o.cut
		f.Dropped += o.broken
		f.Mixed += o.foreign
		k.Wrong += wrong
		f.Kinds[o.kind] = k
	}
	for kind, w := range waits {
		k := f.Kinds[kind]
		k.Waited = quantile(w, 0.99)
		f.Kinds[kind] = k
	}
	var stops []time.Duration
	for _, x := range l.leave {
		if x.notice.Before(from) || !to.IsZero() && !x.notice.Before(to) {
			continue
		}
		f.Removals++
		f.Late += x.late
		last := max(0, x.last.Sub(x.notice))
		stops = append(stops, last)
		f.Ways[x.how] = max(f.Ways[x.how], last)
	}
	f.StopP50, f.StopMax = quantile(stops, 0.5), quantile(stops, 1)
	return f
}

func quantile(w []time.Duration, q float64) time.Duration {
	if len(w) == 0 {
		return 0
	}
	sort.Slice(w, func(i, j int) bool { return w[i] < w[j] })
	return w[min(len(w)-1, int(q*float64(len(w))))]
}

// Verdict is an error where anything was lost, doubled, late, cut, dropped or mixed up, or nothing was served.
func (f Figures) Verdict() error {
	switch {
	case f.Served == 0:
		return errors.New("nothing was served")
	case f.Lost+f.Doubled+f.Late+f.Cut+f.Dropped+f.Mixed > 0:
		return fmt.Errorf("lost=%d doubled=%d late_after_notice=%d cut=%d dropped=%d mixed=%d", f.Lost, f.Doubled, f.Late, f.Cut, f.Dropped, f.Mixed)
	}
	return nil
}

func (f Figures) String() string {
	s := fmt.Sprintf("requests=%d served=%d refused=%d failed=%d lost=%d doubled=%d late_after_notice=%d cut=%d dropped=%d mixed=%d",
		f.Requests, f.Served, f.Refused, f.Failed, f.Lost, f.Doubled, f.Late, f.Cut, f.Dropped, f.Mixed)
	if f.Removals > 0 {
		s += fmt.Sprintf(" removals=%d last_arrival_p50=%v last_arrival_max=%v", f.Removals, f.StopP50.Round(time.Millisecond), f.StopMax.Round(time.Millisecond))
	}
	for _, how := range slices.Sorted(maps.Keys(f.Ways)) {
		s += fmt.Sprintf("\n  %s: last_arrival_max=%v", how, f.Ways[how].Round(time.Millisecond))
	}
	return s
}

// ByKind are the figures of each kind of request, and by how much longer than before 99 of 100 have waited.
func (f Figures) ByKind(before Figures) (s string) {
	for _, name := range slices.Sorted(maps.Keys(f.Kinds)) {
		k, was := f.Kinds[name], before.Kinds[name]
		s += fmt.Sprintf("\n  %s: requests=%d served=%d wrong=%d waited_p99=%v added_p99=%v", name, k.Requests, k.Served, k.Wrong,
			k.Waited.Round(time.Millisecond), (k.Waited - was.Waited).Round(time.Millisecond))
	}
	return s
}
