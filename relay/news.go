package relay

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
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
	ended   bool   // the lease is given back: no pull may ask for it again
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
	list := make([]string, 0, len(n.members))
	far := map[string]int{}
	for addr, m := range n.members {
		list = append(list, addr)
		if far[addr] = n.distance(m); now.Before(n.passed[addr]) {
			far[addr] += farthest + 1
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return far[list[i]] < far[list[j]] || far[list[i]] == far[list[j]] && list[i] < list[j]
	})
	return list
}

// farthest is the distance of a member of which nothing but its address is known.
const farthest = 3

// distance is 0 for a member in this zone, 1 in the region, 2 beyond it.
func (n *news) distance(m replica.Member) int {
	switch {
	case m.Zone == "":
		return farthest
	case m.Zone == n.r.settings.Zone:
		return 0
	case n.r.settings.Zones[m.Zone] == n.r.settings.Region:
		return 1
	}
	return 2
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
