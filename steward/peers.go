package steward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/lore"
	"sagelever/pact"
)

// Paths on the port between agents.
const (
	PullPath    = "/pull"
	TallyPath   = "/tally"
	preparePath = "/prepare"
	acceptPath  = "/accept"
	readPath    = "/read"
	refusePath  = "/refuse"
)

const (
	longestAsk = 32 << 20 // bytes of a message between agents: some ten thousand routes
	slowest    = 4 * time.Second
)

// Client is what agents call one another with.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         patience.Dialer(time.Second).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

func (s *Steward) post(ctx context.Context, m Member, path string, in easyjson.Marshaler, out easyjson.Unmarshaler) error {
	body, err := easyjson.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, slowest)
	defer cancel()
	return Post(ctx, s.client, m.Addr, path, body, out)
}

// Post makes one call on the port between agents.
func Post(ctx context.Context, client *http.Client, addr, path string, body []byte, out easyjson.Unmarshaler) error {
	packed, coding := pack(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(packed))
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil
	if coding != "" {
		req.Header.Set("Content-Encoding", coding)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := unpack(resp.Body, resp.Header.Get("Content-Encoding"))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return easyjson.Unmarshal(data, out)
}

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
	serve(PullPath, s.servePull)
	serve(TallyPath, s.serveTally)
	for _, path := range []string{preparePath, acceptPath, readPath, refusePath} {
		serve(path, func(w http.ResponseWriter, r *http.Request) {
			a := &Ask{}
			if !read(w, r, a) {
				return
			}
			got, err := s.answer(path, a)
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

func read(w http.ResponseWriter, r *http.Request, into easyjson.Unmarshaler) bool {
	data, err := unpack(http.MaxBytesReader(w, r.Body, longestAsk), r.Header.Get("Content-Encoding"))
	if err == nil {
		err = easyjson.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func write(w http.ResponseWriter, what easyjson.Marshaler) (size int) {
	body, err := easyjson.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	packed, coding := pack(body)
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, []string{"application/json"}
	if coding != "" {
		h.Set("Content-Encoding", coding)
	}
	w.Write(packed)
	return len(packed)
}

// servePull answers with what is new, at once or when there is some.
func (s *Steward) servePull(w http.ResponseWriter, r *http.Request) {
	p := &Pull{}
	if !read(w, r, p) {
		return
	}
	until := time.NewTimer(time.Duration(max(0, min(p.WaitMs, 10_000))) * time.Millisecond)
	defer until.Stop()
	s.mu.Lock()
	behind := s.meet(p)
	since, knows := p.Vector[s.feed.Source]
	if p.Meet {
		since = s.feed.Seq()
	} else {
		s.reached(p.From.Node+"/"+p.Role, since)
	}
	wanted := s.wantedBy(p.Role)
	items := s.feed.Since(since, wanted)
	sound := s.sound(s.now())
	for len(items) == 0 && knows && !s.leaving && s.sound(s.now()) == sound {
		news := s.news
		s.mu.Unlock()
		select {
		case <-news:
		case <-until.C:
			knows = false
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		items = s.feed.Since(since, wanted)
	}
	n := &News{Source: s.feed.Source, Seq: s.feed.Seq(), Items: items, Whole: since == 0, Sound: s.sound(s.now()),
		Life: behind, Now: s.now().UnixMilli()}
	n.Agents, n.Here = s.roll.Count(p.From.Zone, s.now())
	if p.Meet || p.Role == Edge {
		n.Members = append(n.Members, s.me)
		for _, m := range s.members {
			n.Members = append(n.Members, m.Member)
		}
	}
	s.mu.Unlock()
	s.counts.pulls.Add(1)
	s.sentTo(p.From.Zone, write(w, n))
}

// wantedBy is what a puller is told: edge agents need no leases.
func (s *Steward) wantedBy(role string) func(string) bool {
	if role == Core {
		return nil
	}
	return func(key string) bool { return !strings.HasPrefix(key, lore.LeaseKey) }
}

// reached notes how far a puller has come; under the lock. A waiting acknowledgement looks at it.
func (s *Steward) reached(who string, seq uint64) {
	s.reach[who] = seq
}

// meet takes up who calls: a lease for an edge agent, a member of the core; under the lock.
func (s *Steward) meet(p *Pull) (behind uint64) {
	now := s.now()
	if p.Role == Core {
		s.join(p.From)
		return 0
	}
	l := &lore.Lease{Node: p.From.Node, Role: p.Role, Zone: p.From.Zone, Front: p.Front, Home: s.me.Node, Ended: p.Ended}
	it := l.Item(p.Life << 8)
	old, known := s.feed.Get(it.Key)
	was, read := lore.ReadLease(old)
	if p.Ended {
		if !known || old.Version < p.Life<<8|0xff {
			it.Version = p.Life<<8 | 0xff
			s.tell(it)
		}
		return 0
	}
	s.roll.Renew(it.Key, l.Zone, now)
	if known && read && *was == *l && old.Version>>8 == p.Life {
		return 0
	}
	if known && old.Version >= it.Version {
		if old.Version>>8 > p.Life || old.Version&0xff == 0xff {
			// A word from before, or of an agent whose time of day has gone back: it is told, and comes again.
			return old.Version >> 8
		}
		it.Version = old.Version + 1 // it has moved here, or is back after it lapsed
	}
	s.tell(it)
	return 0
}

func (s *Steward) join(m Member) {
	if m.Node == s.me.Node || m.Node == "" || len(s.members) >= 4*s.n {
		return
	}
	if known := s.members[m.Node]; known != nil {
		known.Member = m
		return
	}
	s.members[m.Node] = &member{Member: m}
	s.notes[memberKey+m.Node] = m.Zone + " " + m.Addr
	s.log.Info("member found", zap.String("member", m.Node), zap.Int("known", len(s.members)+1))
}

func (s *Steward) peers() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Member)
	}
	return out
}

// find keeps a pull going to every member known, and to the first contacts until the core is whole.
func (s *Steward) find(ctx context.Context) {
	pulling := map[string]bool{}
	for ctx.Err() == nil {
		for _, m := range s.peers() {
			if !pulling[m.Addr] {
				pulling[m.Addr] = true
				go s.follow(ctx, m)
			}
		}
		if len(pulling)+1 < s.n {
			s.mu.Lock()
			contacts := s.contacts
			s.mu.Unlock()
			for _, c := range contacts {
				if host, _, err := net.SplitHostPort(c); err == nil && host != s.settings.IP {
					go s.pull(ctx, Member{Addr: net.JoinHostPort(host, s.settings.Peer())}, 0)
				}
			}
		}
		pause := tick
		if len(pulling)+1 >= s.n {
			pause = 8 * tick // the core is whole: only a member at a new address is still to be found
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// follow pulls one member's news for as long as this agent runs.
func (s *Steward) follow(ctx context.Context, m Member) {
	for ctx.Err() == nil {
		if s.pull(ctx, m, coreWait) != nil {
			select {
			case <-time.After(tick):
			case <-ctx.Done():
			}
		}
	}
}

// pull asks one agent once and takes up what it tells.
func (s *Steward) pull(ctx context.Context, from Member, wait time.Duration) error {
	p := &Pull{From: s.me, Role: Core, Vector: map[string]uint64{}, WaitMs: wait.Milliseconds(), Meet: from.Node == ""}
	s.mu.Lock()
	if m := s.members[from.Node]; m != nil && m.source != "" {
		p.Vector[m.source] = m.seq
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	n := &News{}
	if err := s.post(ctx, from, PullPath, p, n); err != nil {
		return err
	}
	s.mu.Lock()
	var changed []pact.Entry
	for _, it := range n.Items {
		changed = append(changed, s.take(it)...)
	}
	for _, m := range n.Members {
		s.join(m)
	}
	if m := s.members[from.Node]; m != nil {
		m.source, m.seq, m.heard = n.Source, n.Seq, s.now()
	}
	word := s.persist(changed, nil)
	s.mu.Unlock()
	return s.lasting(word)
}

// take merges an item that another agent has told; under the lock.
func (s *Steward) take(it lore.Item) (changed []pact.Entry) {
	if strings.HasPrefix(it.Key, lore.RegKey) {
		e := pact.Entry{}
		if easyjson.Unmarshal([]byte(it.Body), &e) == nil && e.Chosen {
			return s.learn([]pact.Entry{e})
		}
		return nil
	}
	if !s.tell(it) {
		return nil
	}
	if id, ok := strings.CutPrefix(it.Key, lore.AppKey); ok {
		a, ok := lore.ReadApp(it)
		if ok && a.Home != s.me.Node {
			s.roll.Unwatch(id)
			delete(s.apps, id)
		}
		if ok && (a.Phase == lore.Left || a.Phase == lore.Silent) {
			s.tombs[it.Key] = s.now().Add(tomb)
		}
	}
	return nil
}

// held waits until another member holds an item too; false where none does in time. One in each zone, so that the loss of
// a zone takes one of them at most.
func (s *Steward) held(ctx context.Context, key string) bool {
	for {
		s.mu.Lock()
		seq := s.feed.SeqOf(key)
		for who, has := range s.reach {
			if has >= seq && seq > 0 && strings.HasSuffix(who, "/"+Core) {
				s.mu.Unlock()
				return true
			}
		}
		s.mu.Unlock()
		select {
		case <-time.After(gather):
		case <-ctx.Done():
			return false
		}
	}
}

// serveTally takes what an edge agent has seen of a release.
func (s *Steward) serveTally(w http.ResponseWriter, r *http.Request) {
	n := &News{}
	if !read(w, r, n) {
		return
	}
	s.mu.Lock()
	for _, it := range n.Items {
		if _, ok := strings.CutPrefix(it.Key, lore.TrialKey); ok {
			s.tell(it)
		}
	}
	s.mu.Unlock()
	s.countVotes()
	w.WriteHeader(http.StatusOK)
}
