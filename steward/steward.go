// Package steward is the control plane of one machine: a member of the core. It keeps the lasting registers (pact, vault),
// hears the appliances' pulses, grants leases, tells news to whoever pulls it, and answers the operator and clients that
// look for agents.
package steward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/lore"
	"sagelever/pact"
	"sagelever/plan"
	"sagelever/strand"
	"sagelever/vault"
)

const (
	leaseTerm = 2500 * time.Millisecond // an agent pulls again at once, and after pullWait at the latest
	pullWait  = 1200 * time.Millisecond // how long an edge agent's pull waits for news
	coreWait  = 2500 * time.Millisecond // the same between members; bytes between regions are dear
	heard     = 3500 * time.Millisecond // a member counts as heard for so long after its last answer: coreWait and a second
	memory    = 30 * time.Second        // an agent that is gone counts into n for so long: longer than a request lasts
	tomb      = 60 * time.Second        // a life that has left is remembered for so long: longer than a late pulse takes
	tick      = 250 * time.Millisecond
	gather    = 15 * time.Millisecond  // news is held for so long, so that what comes together goes together
	company   = 200 * time.Millisecond // the same for what is new and can wait: appliances that came, leases
	unhurried = time.Second            // the same for counts of releases, which come all the time and change little
	patience  = strand.Patience(1500 * time.Millisecond)
)

// Options of a steward.
type Options struct {
	Settings *boot.Settings
	PerZone  int // members of the core in each zone, as the deploy file has it
	Log      *zap.Logger
	Now      func() time.Time // the time of day; time.Now where nil
}

// Steward is one member.
type Steward struct {
	settings *boot.Settings
	log      *zap.Logger
	now      func() time.Time
	n, f     int
	disk     *vault.Vault
	client   *http.Client
	me       Member

	mu        sync.Mutex
	acceptor  *pact.Acceptor
	caught    bool
	leaving   bool
	was       bool                 // sound, when last looked
	open      map[string]time.Time // registers held without a known end, and when to bring them to one
	feed      *lore.Feed
	roll      *lore.Roll
	news      chan struct{} // closed when the feed has news
	wakes     time.Time     // when it will be; zero where nothing is new
	members   map[string]*member
	reach     map[string]uint64 // what each puller, by node and role, has of this feed
	tombs     map[string]time.Time
	apps      map[string]*lore.App // the newest of what pulses here have said
	notes     map[string]string    // to be noted on the disk
	contacts  []string             // control addresses of some members
	deciding  map[string]bool      // services whose release is being decided
	diskFails fails
	counts    counts
	byPath    map[string]*pathCount // of the calls between agents
	noted     uint64                // how far the feed has been noted on the disk
}

type member struct {
	Member
	source string
	seq    uint64
	heard  time.Time
}

// New opens a steward's state. A disk that is empty though the system has run before is one that was lost.
func New(o Options) (*Steward, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := o.Settings
	folder := c.DataFolder
	if folder == "" {
		dir, err := os.MkdirTemp("", "steward")
		if err != nil {
			return nil, err
		}
		folder = dir
	}
	disk, err := vault.Open(folder)
	if err != nil {
		return nil, err
	}
	s := &Steward{settings: c, log: o.Log, now: o.Now, n: c.CoreSize(o.PerZone), f: c.Lost(o.PerZone), disk: disk,
		client: Client(), me: Member{c.Node, c.Zone, net.JoinHostPort(c.IP, c.Peer())},
		open: map[string]time.Time{}, news: make(chan struct{}), members: map[string]*member{},
		reach: map[string]uint64{}, tombs: map[string]time.Time{}, apps: map[string]*lore.App{},
		deciding: map[string]bool{}, contacts: c.FirstContacts, notes: map[string]string{},
		byPath: map[string]*pathCount{}}
	s.diskFails.log = o.Log
	s.feed = lore.NewFeed(c.Node + "@" + strconv.FormatInt(o.Now().UnixNano(), 36))
	s.roll = lore.NewRoll(leaseTerm, memory)
	if most := (s.n - 1) / 2; s.f > most {
		o.Log.Warn("the core is too small for what it should withstand", zap.Int("members", s.n), zap.Int("shouldLose", s.f), zap.Int("mayLose", most))
		s.f = most
	}
	var entries []pact.Entry
	for _, text := range disk.Load(entryKey) {
		e := pact.Entry{}
		if err := easyjson.Unmarshal([]byte(text), &e); err != nil {
			return nil, errors.Wrap(err, "an entry on the disk")
		}
		entries = append(entries, e)
	}
	floor := &Ask{}
	if text, ok := disk.Load(floorKey)[""]; ok {
		if err := easyjson.Unmarshal([]byte(text), floor); err != nil {
			return nil, errors.Wrap(err, "the floor on the disk")
		}
	}
	s.acceptor = pact.NewAcceptor(entries, floor.Ballot)
	_, born := disk.Load(bornKey)[""]
	if !born && c.FreshStart {
		if err := disk.Put(map[string]string{bornKey: "first start"}); err != nil {
			return nil, err
		}
		born = true
	}
	s.caught = born
	for _, e := range s.acceptor.All() {
		if e.Chosen {
			s.publish(e)
		} else {
			s.open[e.Key] = s.now().Add(settle)
		}
	}
	s.recall()
	s.log.Info("state read", zap.Int("registers", len(entries)), zap.Bool("caughtUp", born), zap.Int64("cut", disk.Cut), zap.Bool("putAside", disk.Aside),
		zap.Int("core", s.n), zap.Int("mayLose", s.f))
	return s, nil
}

// Run serves until the context ends, and then for a while, so that callers find others.
func (s *Steward) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var servers []*http.Server
	for name, h := range map[string]http.Handler{
		net.JoinHostPort(s.settings.IP, s.settings.Peer()): s.inside(),
		s.settings.Listens["control"]:                      s.outside(),
		s.settings.Listens["directory"]:                    s.directory(),
	} {
		if name == "" {
			continue
		}
		l, err := patience.Listen(name)
		if err != nil {
			return errors.Wrap(err, "steward")
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: zap.NewStdLog(s.log)}
		servers = append(servers, srv)
		go srv.Serve(l)
	}
	s.mu.Lock()
	caught := s.caught
	s.mu.Unlock()
	if !caught {
		go s.catchUp(work)
	}
	go s.find(work)
	go func() {
		told := time.Now()
		for t := time.NewTicker(tick); ; {
			select {
			case now := <-t.C:
				s.minute()
				s.note()
				if now.Sub(told) > 10*time.Second {
					told = now
					s.counts.write(s.log)
					for path, c := range s.byPath {
						s.log.Info("calls", zap.String("path", path), zap.Int64("calls", c.calls.Load()), zap.Int64("in", c.in.Load()), zap.Int64("out", c.out.Load()))
					}
				}
			case <-work.Done():
				t.Stop()
				return
			}
		}
	}()
	go func() { // apart from the above: a round waits for members that may be silent
		for t := time.NewTicker(tick); ; {
			select {
			case <-t.C:
				s.repair(work)
			case <-work.Done():
				t.Stop()
				return
			}
		}
	}()
	s.log.Info("steward started", zap.String("node", s.settings.Node))
	<-ctx.Done()
	s.mu.Lock()
	s.leaving = true
	s.wakeIn(0) // pulls that wait are answered, so that whoever pulls goes elsewhere
	s.mu.Unlock()
	end, cancel := context.WithTimeout(work, time.Second)
	defer cancel()
	for _, srv := range servers {
		srv.Shutdown(end)
	}
	stop()
	return s.disk.Close()
}

// luck spreads what several members would do at one moment.
func (s *Steward) luck() float64 {
	return rand.Float64()
}

// tell merges an item and wakes those who wait for news; under the lock.
func (s *Steward) tell(it lore.Item) bool {
	if !s.feed.Merge(it) {
		return false
	}
	s.wakeIn(hurry(it))
	return true
}

// hurry is how long an item may wait for others to go with: what agents must stop for goes at once.
func hurry(it lore.Item) time.Duration {
	switch {
	case strings.HasPrefix(it.Key, lore.RegKey):
		return gather
	case strings.HasPrefix(it.Key, lore.AppKey):
		if a, ok := lore.ReadApp(it); ok && (a.Phase == lore.Emptying || a.Phase == lore.Left) {
			return gather
		}
	case strings.HasPrefix(it.Key, lore.TrialKey):
		if t, ok := lore.ReadTally(it); ok && t.Vote != "" {
			return gather
		}
		return unhurried
	}
	return company
}

// wakeIn wakes those who wait for news, in a while; under the lock.
func (s *Steward) wakeIn(wait time.Duration) {
	if at := s.now().Add(wait); s.wakes.IsZero() || at.Before(s.wakes) {
		s.wakes = at
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.wakes.IsZero() || s.now().Before(s.wakes) {
				return // woken already, by what was more urgent
			}
			s.wakes = time.Time{}
			close(s.news)
			s.news = make(chan struct{})
		})
	}
}

// minute does what time brings: leases that ran out, appliances fallen silent, lives long gone.
func (s *Steward) minute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if sound := s.sound(now); sound != s.was {
		s.was = sound
		s.wakeIn(0)
	}
	for _, key := range s.roll.Lapsed(now) {
		if it, ok := s.feed.Get(key); ok {
			if l, ok := lore.ReadLease(it); ok && l.Home == s.me.Node && !l.Ended {
				l.Ended, l.Front = true, ""
				s.tell(l.Item(it.Version + 1))
				s.log.Info("lease ran out", zap.String("agent", l.Node), zap.String("role", l.Role))
			}
		}
	}
	silence := 2*s.settings.Bounds.Pulse + s.settings.Bounds.Pulse/2
	for _, id := range s.roll.Silent(silence, now) {
		key := lore.AppKey + id
		it, ok := s.feed.Get(key)
		a, read := lore.ReadApp(it)
		delete(s.apps, id)
		if !ok || !read || a.Home != s.me.Node || a.Phase == lore.Left {
			continue
		}
		s.tell(a.WithPhase(id, lore.Silent, it.Version|1))
		s.tombs[key] = now.Add(tomb)
	}
	s.feed.Each(lore.LeaseKey, func(it lore.Item) {
		if l, ok := lore.ReadLease(it); ok && !l.Ended && s.heardOf(l.Home, now) && l.Role == Edge {
			s.roll.Hold(it.Key, l.Zone, now)
		}
	})
	s.feed.Each(lore.TrialKey, func(it lore.Item) {
		service, _, _ := strings.Cut(it.Key[len(lore.TrialKey):], "/")
		t, ok := lore.ReadTally(it)
		rel, known := plan.ReadRelease(s.acceptor.Get(plan.ReleaseKey(service)).Value)
		if _, noted := s.tombs[it.Key]; !noted && ok && known && (rel.Phase != plan.InService || rel.Number > t.Number) {
			s.tombs[it.Key] = now.Add(tomb)
		}
	})
	for key, at := range s.tombs {
		if now.After(at) {
			delete(s.tombs, key)
			if strings.HasPrefix(key, lore.TrialKey) {
				s.feed.Drop(key)
				continue
			}
			if it, ok := s.feed.Get(key); ok {
				if a, ok := lore.ReadApp(it); ok && (a.Phase == lore.Left || a.Phase == lore.Silent) {
					s.feed.Drop(key)
				}
			}
		}
	}
}

// heardOf tells whether a member has answered lately; under the lock.
func (s *Steward) heardOf(node string, now time.Time) bool {
	if node == s.me.Node {
		return true
	}
	m := s.members[node]
	return m != nil && now.Sub(m.heard) < heard
}

// sound tells whether what this member says may be relied on: it has caught up, and hears more than half of the core. A
// member that does not may lack what the others have acknowledged. Under the lock.
func (s *Steward) sound(now time.Time) bool {
	near := 1
	for node := range s.members {
		if s.heardOf(node, now) {
			near++
		}
	}
	return s.caught && !s.leaving && 2*near > s.n
}

// Keys in the vault of what is only good to have: where members and appliances were, so that after a loss of power of all
// a core is whole, and requests have somewhere to go, before everyone has been heard of anew.
const (
	memberKey = "m/"
	appKey    = "a/"
	leaseKey  = "l/"
)

// note notes on the disk who and what is known; what has changed since the last time.
func (s *Steward) note() {
	s.mu.Lock()
	if s.feed.Seq() != s.noted {
		for _, it := range s.feed.Since(s.noted, func(key string) bool { return strings.HasPrefix(key, lore.AppKey) }) {
			text := ""
			if a, ok := lore.ReadApp(it); ok && a.Phase == lore.Ready {
				text = strconv.FormatUint(it.Version, 16) + " " + it.Body
			}
			s.notes[appKey+it.Key] = text
		}
		for _, it := range s.feed.Since(s.noted, func(key string) bool { return strings.HasPrefix(key, lore.LeaseKey) }) {
			if l, ok := lore.ReadLease(it); ok && l.Role == Edge {
				s.notes[leaseKey+it.Key] = l.Zone
			}
		}
		s.noted = s.feed.Seq()
	}
	notes := s.notes
	s.notes = map[string]string{}
	s.mu.Unlock()
	s.disk.Note(notes)
}

// recall takes up what was noted. An appliance counts as cold until its pulse says otherwise, and as silent if none
// comes: it may have gone, or gone cold, while this agent was away.
func (s *Steward) recall() {
	for node, text := range s.disk.Load(memberKey) {
		if zone, addr, ok := strings.Cut(text, " "); ok && node != s.me.Node {
			s.members[node] = &member{Member: Member{node, zone, addr}}
		}
	}
	now := s.now()
	for key, zone := range s.disk.Load(leaseKey) {
		s.roll.Hold(key, zone, now) // they may be sending, though they have not called yet
	}
	for key, text := range s.disk.Load(appKey) {
		number, body, _ := strings.Cut(text, " ")
		version, err := strconv.ParseUint(number, 16, 64)
		a, ok := lore.ReadApp(lore.Item{Body: body})
		if err != nil || !ok {
			continue
		}
		a.Home, a.Heard, a.Warm = s.me.Node, now.UnixMilli(), now.Add(2*s.settings.Bounds.Pulse).UnixMilli()
		id := strings.TrimPrefix(key, lore.AppKey)
		s.tell(a.WithPhase(id, lore.Ready, version))
		s.roll.Pulsed(id, now)
	}
}

// counts are told in the log every so often.
type counts struct {
	pulses, pulls, lookups, rounds, calls atomic.Int64
	bytes                                 [3]atomic.Int64 // sent to other agents: in the zone, the region, beyond
}

func (c *counts) write(log *zap.Logger) {
	log.Info("counts", zap.Int64("pulses", c.pulses.Load()), zap.Int64("pulls", c.pulls.Load()), zap.Int64("lookups", c.lookups.Load()),
		zap.Int64("rounds", c.rounds.Load()), zap.Int64("calls", c.calls.Load()),
		zap.Int64s("bytes", []int64{c.bytes[0].Load(), c.bytes[1].Load(), c.bytes[2].Load()}))
}

// sentTo counts what goes to an agent of a zone.
func (s *Steward) sentTo(zone string, n int) {
	far := 2
	switch {
	case zone == s.me.Zone:
		far = 0
	case s.settings.Zones[zone] == s.settings.Region:
		far = 1
	}
	s.counts.bytes[far].Add(int64(n))
}

// fails counts failures of the disk and says when they begin and end.
type fails struct {
	mu  sync.Mutex
	n   int
	log *zap.Logger
}

func (f *fails) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		if f.n > 0 && f.log != nil {
			f.log.Info("the disk takes writes again", zap.Int("failed", f.n))
		}
		f.n = 0
		return
	}
	if f.n++; f.n == 1 && f.log != nil {
		f.log.Warn("the disk takes no writes", zap.Error(err))
	}
}

// Reload takes the first contacts of changed settings; all else is taken at the next start.
func (s *Steward) Reload(c *boot.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts = c.FirstContacts
}
