package relay

import (
	"context"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/replica"
	"sagelever/steward"
)

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
	n.ended = true
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
