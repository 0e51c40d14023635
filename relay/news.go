package relay

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/steward"
)

const (
	retry    = 100 * time.Millisecond
	down     = 2 * time.Second        // a member that can't be reached is passed over for so long
	unsure   = 500 * time.Millisecond // and one that does not hear the core: at a start that is soon over
	atOnce   = 4                      // members asked in a round at the start
	longAway = 30 * time.Second       // after which it asks for all: stewards forget lives that have left a minute ago
)

// news pulls from the core what this relay lacks, by the number that it has seen of each source, and holds the lease.
type news struct {
	r      *Relay
	client *http.Client
	life   string
	wait   time.Duration // how long a pull waits for news

	mu      sync.Mutex
	members map[string]replica.Member // by address
	reached time.Time                 // when it last heard news
	come    lore.Vector               // how far this relay has come, by every source's numbers
	vector  map[string]uint64         // the same for a source that speaks the version before, by its own
	at      map[string]string         // which such a source an address was last
	passed  map[string]time.Time      // until when an address is passed over
	now     string                    // the address pulled from
	values  map[string]quorum.Value
	front   string
	changed uint64
	told    map[string]string
	turns   uint64
	counted uint64 // the last census that was answered, of the address pulled from
}

func newNews(r *Relay) *news {
	n := &news{r: r, wait: ebb.Wait(r.settings.Bounds.Empty), life: r.settings.Node + "@" + strconv.FormatInt(time.Now().UnixNano(), 36),
		members: map[string]replica.Member{}, come: lore.Vector{}, vector: map[string]uint64{}, at: map[string]string{}, passed: map[string]time.Time{},
		values: map[string]quorum.Value{}, told: map[string]string{}, changed: uint64(time.Now().UnixMilli())}
	n.client = steward.Client(r.dial)
	n.reload(append([]string{net.JoinHostPort(r.settings.IP, "0")}, r.settings.FirstContacts...)) // there may be a steward here
	return n
}

// reload takes up control addresses of members.
func (n *news) reload(contacts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range contacts {
		if host, _, err := net.SplitHostPort(c); err == nil {
			addr := net.JoinHostPort(host, n.r.settings.Peer())
			if _, known := n.members[addr]; !known {
				n.members[addr] = replica.Member{Addr: addr}
			}
		}
	}
}

// order lists the members to pull from: those that have not just failed, the near ones first.
func (n *news) order() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	type place struct {
		addr string
		far  int
	}
	var list []place
	for addr, m := range n.members {
		far := 3
		switch {
		case m.Zone == n.r.settings.Zone:
			far = 0
		case m.Zone != "" && n.r.settings.Zones[m.Zone] == n.r.settings.Region:
			far = 1
		case m.Zone != "":
			far = 2
		}
		if now.Before(n.passed[addr]) {
			far += 10
		}
		list = append(list, place{addr, far})
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].far < list[j].far || list[i].far == list[j].far && list[i].addr < list[j].addr
	})
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = p.addr
	}
	return out
}

// run pulls for as long as the relay works. A source that can't be reached, or does not hear most of the core, is left for
// the next; it is come back to when it is near and some seconds have passed.
func (n *news) run(ctx context.Context) {
	n.first(ctx)
	var unsound string
	for ctx.Err() == nil {
		list := n.order()
		if len(list) == 0 {
			return
		}
		addr, begun := list[0], time.Now()
		got, err := n.pull(ctx, addr, n.wait)
		if err != nil {
			n.fail(addr, down)
			n.pause(ctx)
			continue
		}
		if !got.Sound {
			if unsound == "" {
				n.r.log.Warn("the source does not hear most of the core", zap.String("source", got.Source))
			}
			unsound = addr
			n.fail(addr, unsure)
			n.pause(ctx)
			continue
		}
		unsound = ""
		if len(got.Items) == 0 && time.Since(begun) < retry { // a source that answers at once without news must not be asked without end
			n.pause(ctx)
		}
	}
}

// first finds a sound source at the start. Where many start at once some are down, and some do not hear the core yet: one
// after the other is asked, and none is waited for long.
func (n *news) first(ctx context.Context) {
	for ctx.Err() == nil && !n.r.trusted.Load() {
		list := n.order()
		for _, addr := range list[:min(len(list), atOnce)] {
			asked := make(chan struct{})
			go func() {
				defer close(asked)
				if _, err := n.pull(ctx, addr, 0); err != nil {
					n.fail(addr, down)
				}
			}()
			select {
			case <-asked:
			case <-time.After(retry):
			case <-ctx.Done():
			}
			if n.r.trusted.Load() {
				return
			}
		}
		n.pause(ctx)
	}
}

func (n *news) pause(ctx context.Context) {
	select {
	case <-time.After(retry):
	case <-ctx.Done():
	}
}

// fail passes an address over for a while.
func (n *news) fail(addr string, pass time.Duration) {
	n.mu.Lock()
	n.passed[addr] = time.Now().Add(pass)
	n.mu.Unlock()
}

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

func (n *news) pull(ctx context.Context, addr string, wait time.Duration) (*replica.News, error) {
	p := n.call(addr, wait)
	body, err := easyjson.Marshal(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	got, asked := &replica.News{}, time.Now()
	if err := steward.Post(ctx, n.client, addr, replica.PullPath, body, got); err != nil {
		return nil, err
	}
	n.take(addr, p, got, asked)
	return got, nil
}

// take takes up news: the configuration as a table swapped whole, the appliances, and what others count of releases.
func (n *news) take(addr string, asked *replica.Pull, got *replica.News, at time.Time) {
	now := time.Now()
	n.mu.Lock()
	anew := n.reach(addr, asked, got)
	for _, m := range got.Members {
		n.members[m.Addr] = m
	}
	n.changed = max(n.changed, got.Life+1)
	if got.Count > n.counted {
		n.counted = got.Count
		go n.work(addr, got.Count)
	}
	changed := false
	for _, it := range got.Items {
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
	var table *plan.Table
	if changed || n.r.table.Load() == nil && got.Sound {
		table = plan.NewTable(n.values)
	}
	n.mu.Unlock()
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
	all := map[string]bool{}
	for _, it := range got.Items {
		if id, ok := strings.CutPrefix(it.Key, lore.AppKey); ok {
			if a, ok := lore.ReadApp(it); ok {
				if off := now.UnixMilli() - got.Now; got.Now > 0 { // its clock and ours may stand apart
					a.Heard += off
					if a.Warm != 0 {
						a.Warm += off
					}
				}
				r.sway.Hear(id, it.Version, a, now)
				all[id] = true
			}
		} else if key, ok := strings.CutPrefix(it.Key, lore.TrialKey); ok {
			if t, ok := lore.ReadTally(it); ok {
				r.sway.Learn(key, t)
			}
		}
	}
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
}

// reach notes how far this relay has come with what an address has told, and tells whether that takes the place of what it
// knew; under the lock. Several may be asked at once: an answer that builds on what was given up meanwhile claims nothing.
func (n *news) reach(addr string, asked *replica.Pull, got *replica.News) (anew bool) {
	stale := len(n.come) == 0 || time.Since(n.reached) >= longAway
	if addr != n.now {
		n.counted = 0
	}
	n.now, n.reached = addr, time.Now()
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
		for origin, x := range got.Come {
			n.come[origin] = max(n.come[origin], x)
		}
		for _, origin := range got.Drop {
			delete(n.come, origin)
		}
	}
	return false
}

// announce tells the core at once that the lease has changed.
func (n *news) announce(ctx context.Context) {
	n.mu.Lock()
	addr := n.now
	n.mu.Unlock()
	if addr != "" {
		go n.pull(ctx, addr, 0)
	}
}

// end gives the lease back.
func (n *news) end(ctx context.Context) {
	n.mu.Lock()
	addr := n.now
	n.mu.Unlock()
	if addr == "" {
		return
	}
	p := n.call(addr, 0)
	p.Ended = true
	if body, err := easyjson.Marshal(p); err == nil {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_ = steward.Post(ctx, n.client, addr, replica.PullPath, body, nil)
	}
}

// work answers a census of the core: what is out at appliances that leave, and what traffic is carried.
func (n *news) work(addr string, count uint64) {
	w := &replica.Work{From: replica.Member{Node: n.r.settings.Node, Zone: n.r.settings.Zone}, Count: count}
	n.r.mu.Lock()
	w.Rows, w.Loads, w.Drains = n.r.sway.Census(time.Now())
	n.r.mu.Unlock()
	body, err := easyjson.Marshal(w)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = steward.Post(ctx, n.client, addr, replica.WorkPath, body, nil) // one that is lost is told as unheard
}

// tell tells this relay's counts of releases, where they have changed.
func (n *news) tell(ctx context.Context) {
	n.r.mu.Lock()
	tallies := n.r.sway.Tallies(n.life, time.Now())
	n.r.mu.Unlock()
	if len(tallies) == 0 {
		return
	}
	n.mu.Lock()
	addr := n.now
	out := &replica.News{}
	for service, t := range tallies {
		n.turns++
		it := t.Item(service, n.turns)
		if n.told[service] != it.Body {
			n.told[service] = it.Body
			out.Items = append(out.Items, it)
		}
	}
	n.mu.Unlock()
	if addr == "" || len(out.Items) == 0 {
		return
	}
	body, err := easyjson.Marshal(out)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if steward.Post(ctx, n.client, addr, replica.TallyPath, body, nil) != nil {
		n.mu.Lock()
		clear(n.told)
		n.mu.Unlock()
	}
}
