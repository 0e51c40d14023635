package steward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/replica"
	"sagelever/lore"
)

const slowest = 4 * time.Second

// inside serves other agents.
func (s *Steward) inside() http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, h http.HandlerFunc) {
		c := &pathCount{}
		s.byPath[path] = c
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			c.calls.Add(1)
			c.in.Add(max(0, r.ContentLength))
			h(&counted{w, c}, r)
		})
	}
	serve(replica.PullPath, s.servePull)
	serve(replica.TallyPath, s.serveTally)
	serve(replica.WorkPath, s.serveWork)
	serve(replica.CensusPath, s.serveCensus)
	for _, path := range []string{replica.PreparePath, replica.AcceptPath, replica.ReadPath, replica.StatePath, replica.GenerationPath} {
		serve(path, func(w http.ResponseWriter, r *http.Request) {
			a := &replica.Ask{}
			if !read(w, r, a) {
				return
			}
			got, err := s.answer(r.Context(), path, a)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			write(w, got)
			s.counts.calls.Add(1)
		})
	}
	return mux
}

// pathCount counts the calls of one path and their bytes, as packed.
type pathCount struct{ calls, in, out atomic.Int64 }

type counted struct {
	http.ResponseWriter
	c *pathCount
}

func (w *counted) Write(p []byte) (int, error) {
	w.c.out.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// servePull answers with what is new, at once or when there is some.
func (s *Steward) servePull(w http.ResponseWriter, r *http.Request) {
	p := &replica.Pull{}
	if !read(w, r, p) {
		return
	}
	end := time.NewTimer(time.Duration(max(0, min(p.WaitMs, 10_000))) * time.Millisecond)
	defer end.Stop()
	var wait *replica.Waiting
	s.step(func(now time.Time) { wait = s.m.Pulled(now, p) })
	s.mu.Lock()
	n, ready := s.m.Answer(s.now(), wait)
	for !ready {
		news := s.news
		s.mu.Unlock()
		ended := false
		select {
		case <-news:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		n, ready = s.m.Answer(s.now(), wait)
		ready = ready || ended
	}
	s.mu.Unlock()
	s.counts.pulls.Add(1)
	s.sentTo(p.From.Zone, write(w, n))
}

// find keeps a pull going to every member known, and to the first contacts until this replica is one of the members and
// hears most of them.
func (s *Steward) find(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		s.mu.Lock()
		members, contacts, sound := s.m.Members(), s.contacts, s.m.Sound(s.now())
		s.mu.Unlock()
		s.followAll(ctx, following, members)
		pause := 8 * tick // only a set of members that all others went on without is still to be heard of
		if !sound {
			pause = tick
		}
		if !sound || len(members) == 0 {
			for _, addr := range s.peerAddresses(contacts) {
				if addr != s.me.Addr {
					go s.pull(ctx, replica.Member{Addr: addr})
				}
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// followAll begins to pull from members that are new, and ends it for those that are none any more.
func (s *Steward) followAll(ctx context.Context, following map[string]context.CancelFunc, members []replica.Member) {
	present := map[string]bool{}
	for _, m := range members {
		present[m.Addr] = true
		if following[m.Addr] == nil {
			one, end := context.WithCancel(ctx)
			following[m.Addr] = end
			go s.follow(one, m)
		}
	}
	for addr, end := range following {
		if !present[addr] {
			end()
			delete(following, addr)
		}
	}
}

// follow pulls one member's news for as long as this agent runs. A member that answers at once without news, twice running,
// is not asked without end.
func (s *Steward) follow(ctx context.Context, m replica.Member) {
	quick := 0
	held := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.Hold(s.now(), m)
	}
	for held() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	for ctx.Err() == nil {
		begun := time.Now()
		one, again := context.WithCancel(ctx)
		s.mu.Lock()
		s.pulls[m.Addr] = again
		s.mu.Unlock()
		items, err := s.pull(one, m)
		if items > 0 || time.Since(begun) > tick {
			quick = 0
		} else {
			quick++
		}
		if err != nil || quick > 1 {
			select {
			case <-time.After(tick):
			case <-one.Done(): // it is known to be up
			}
		}
		again()
	}
}

// pull asks one agent once and takes up what it tells.
func (s *Steward) pull(ctx context.Context, from replica.Member) (items int, err error) {
	s.mu.Lock()
	p := s.m.Ask(s.now(), from)
	s.mu.Unlock()
	body, err := easyjson.Marshal(p)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.WaitMs)*time.Millisecond+time.Second)
	defer cancel()
	n := &replica.News{}
	if err := Post(ctx, s.client, from.Addr, replica.PullPath, body, n); err != nil {
		return 0, err
	}
	s.step(func(now time.Time) { s.m.Told(now, from, p, n) })
	return len(n.Items), nil
}

// spread waits until an item has gone far enough to be acknowledged; false where it does not in time.
func (s *Steward) spread(ctx context.Context, key string) bool {
	for begun := s.now(); ; {
		s.mu.Lock()
		enough := s.m.Spread(s.now(), key, begun)
		s.mu.Unlock()
		if enough {
			return true
		}
		select {
		case <-time.After(15 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// stopTogether puts the word on a removal off until the other members have heard of it, so that no agent goes on when it is
// given; it lasts already, so that the word comes in any case, and within the caller's time.
func (s *Steward) stopTogether(ctx context.Context, register string) {
	ctx, cancel := context.WithTimeout(ctx, replica.Together)
	defer cancel()
	s.spread(ctx, lore.RegKey+register)
}

// serveTally takes what an edge agent has seen of a release.
func (s *Steward) serveTally(w http.ResponseWriter, r *http.Request) {
	n := &replica.News{}
	if !read(w, r, n) {
		return
	}
	s.step(func(now time.Time) { s.m.Tally(now, n.Items) })
	w.WriteHeader(http.StatusOK)
}
