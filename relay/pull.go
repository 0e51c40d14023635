package relay

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/steward"
)

// call is this relay's word to the core.
func (n *news) call(addr string, wait time.Duration) *replica.Pull {
	front := ""
	if n.r.ready() {
		front = n.r.settings.Listens["front"]
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if front != n.front {
		n.front = front
		n.changed = max(n.changed+1, uint64(time.Now().UnixMilli()))
	}
	p := &replica.Pull{From: replica.Member{Node: n.r.settings.Node, Zone: n.r.settings.Zone}, Role: replica.Edge,
		Wire: replica.Wire, WaitMs: wait.Milliseconds(), Front: n.front, Life: n.changed}
	if time.Since(n.reached) < longAway {
		p.Come = maps.Clone(n.come)
	}
	if addr == n.now {
		p.Count = n.counted
	}
	if source := n.at[addr]; source != "" {
		p.Vector = map[string]uint64{source: n.vector[source]}
	}
	return p
}

// answerTime is how long a member may take for its answer, besides what it waits for news.
const answerTime = time.Second

var (
	errGivenBack = errors.New("the lease is given back")
	errLate      = errors.New("the answer was given too long ago")
)

func (n *news) pull(ctx context.Context, addr string, wait time.Duration) (*replica.News, error) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended {
		return nil, errGivenBack
	}
	p := n.call(addr, wait)
	body, err := easyjson.Marshal(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	got, asked := &replica.News{}, time.Now()
	if err := steward.Post(ctx, n.client, addr, replica.PullPath, body, got); err != nil {
		return nil, err
	}
	if err := n.take(addr, p, got, asked, time.Now()); err != nil {
		return nil, err
	}
	return got, nil
}

// take takes up news: the configuration as a table swapped whole, the appliances, and what others count of releases. News
// that has lain here while the process stood still is not taken: when it was told can't be said any more, and what has been
// forgotten since would stay.
func (n *news) take(addr string, asked *replica.Pull, got *replica.News, at, now time.Time) error {
	if now.Sub(at) > time.Duration(asked.WaitMs)*time.Millisecond+answerTime {
		return errLate
	}
	anew, table := n.learn(addr, asked, got, at)
	r := n.r
	r.mu.Lock()
	r.sway.Count(got.Agents, got.Here, now)
	if got.Sound {
		r.sway.Heard(at)
	}
	if table != nil {
		r.sway.Configure(table, now)
		r.table.Store(table)
	}
	all := n.hear(got, now)
	if anew && got.Sound {
		r.sway.Only(all, now)
	}
	if len(got.Items) > 0 {
		r.sway.ServeAll(now)
	}
	aheads := r.sway.Aheads()
	r.mu.Unlock()
	r.links.ahead(aheads)
	if table != nil && table.Limits != (plan.Bound{}) {
		r.front.serve(table.Limits)
	}
	if got.Sound && !r.trusted.Load() {
		r.trusted.Store(true)
		r.log.Info("the configuration is whole", zap.Int("items", r.table.Load().Items), zap.Int64("sinceStartMs", time.Since(r.begun).Milliseconds()))
	}
	return nil
}

// learn takes up what concerns members and the configuration; table is nil where the latter has not changed.
func (n *news) learn(addr string, asked *replica.Pull, got *replica.News, at time.Time) (anew bool, table *plan.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	anew = n.reach(addr, asked, got, at)
	for _, m := range got.Members {
		n.members[m.Addr] = m
	}
	n.changed = max(n.changed, got.Life+1)
	// A member that has started again may number lower than in its life before, where its time of day has gone back.
	if got.Count != 0 && got.Count != n.counted {
		n.counted = got.Count
		go n.work(addr, got.Count)
	}
	if n.merge(got.Items) || n.r.table.Load() == nil && got.Sound {
		table = plan.NewTable(n.values)
	}
	return anew, table
}

// merge takes up items of the configuration, and tells whether any is newer than what was known; under the lock.
func (n *news) merge(items []lore.Item) (changed bool) {
	for _, it := range items {
		if !strings.HasPrefix(it.Key, lore.RegKey) {
			continue
		}
		e := quorum.Entry{}
		if easyjson.Unmarshal([]byte(it.Body), &e) != nil || !e.Chosen || e.Value.Version <= n.values[e.Key].Version {
			continue // within one life no item goes back
		}
		n.values[e.Key] = e.Value
		changed = true
	}
	return changed
}

// hear takes up appliances and counts of releases, under the relay's lock; all are the appliances that were told.
func (n *news) hear(got *replica.News, now time.Time) (all map[string]bool) {
	all = map[string]bool{}
	for _, it := range got.Items {
		if id, ok := strings.CutPrefix(it.Key, lore.AppKey); ok {
			if a, ok := lore.ReadApp(it); ok {
				inOurTime(a, got, now)
				n.r.sway.Hear(id, it.Version, a, now)
				all[id] = true
			}
		} else if key, ok := strings.CutPrefix(it.Key, lore.TrialKey); ok {
			if t, ok := lore.ReadTally(it); ok {
				n.r.sway.Learn(key, t)
			}
		}
	}
	return all
}

// inOurTime puts the moments that an appliance's entry holds into this machine's time of day: the member's may stand apart.
func inOurTime(a *lore.App, got *replica.News, now time.Time) {
	if got.Now <= 0 {
		return
	}
	off := now.UnixMilli() - got.Now
	a.Heard += off
	if a.Warm != 0 {
		a.Warm += off
	}
}

// reach notes how far this relay has come with what an address has told, and tells whether that takes the place of what it
// knew; under the lock. Several may be asked at once: an answer that builds on what was given up meanwhile claims nothing. It
// tells of the moment at which it was asked for, not of that at which it is read.
func (n *news) reach(addr string, asked *replica.Pull, got *replica.News, at time.Time) (anew bool) {
	stale := len(n.come) == 0 || at.Sub(n.reached) >= longAway
	if addr != n.now {
		n.counted = 0
	}
	n.now = addr
	if at.After(n.reached) {
		n.reached = at
	}
	delete(n.vector, n.at[addr])
	delete(n.at, addr)
	switch {
	case got.Wire < replica.Wire:
		n.at[addr], n.vector[got.Source] = got.Source, got.Seq
		return got.Whole
	case got.Whole && stale:
		n.come = maps.Clone(got.Come)
		return true
	case got.Whole || n.come.Covers(asked.Come):
		n.advance(got)
	}
	return false
}

// advance adds what an answer has told to how far this relay has come; under the lock.
func (n *news) advance(got *replica.News) {
	for origin, x := range got.Come {
		n.come[origin] = max(n.come[origin], x)
	}
	for _, origin := range got.Drop {
		delete(n.come, origin)
	}
}
