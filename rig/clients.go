package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// deadline is how long a client waits for what it wants, all its tries together.
const deadline = 3 * time.Second

// Clients ask at random moments, as many a second as the load says, until they are stopped.
type Clients struct {
	h      *House
	rng    *rand.Rand
	kept   *http.Client // connections that are kept for long
	fresh  *http.Client // one for each request
	mu     sync.Mutex
	fronts map[string]*listing // by zone
	asking sync.WaitGroup
	stop   context.CancelFunc
}

type listing struct {
	addresses []string
	at        time.Time
}

// Ask begins to ask, at a share of the room that the appliances together have.
func (h *House) Ask(load float64) *Clients {
	c := &Clients{h: h, rng: rand.New(rand.NewPCG(h.o.Seed, 77)), fronts: map[string]*listing{},
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	rate := load * float64(h.o.Backends*slots) / h.o.Work.Seconds()
	go func() {
		for at := time.Now(); ctx.Err() == nil; {
			at = at.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(at))
			if ctx.Err() != nil {
				return
			}
			service, kind := Services[c.rng.IntN(len(Services))], c.rng.IntN(10)
			zone, keep := zoneNames[c.rng.IntN(len(zoneNames))], c.rng.IntN(2) == 0
			c.asking.Add(1)
			go func() {
				defer c.asking.Done()
				c.one(service, kind >= 6, zone, keep)
			}()
		}
	}()
	return c
}

// Once sends one request and gives its status; 0 where there was no answer.
func (h *House) Once(service, path string, within time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(h.ip(0), frontPort)+path, strings.NewReader("once"))
	if err != nil {
		return 0
	}
	req.Host = service + ".example"
	req.Header.Set("X-Sagelever-Try-Id", "once")
	req.Header.Set("X-Sagelever-Time-Left-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Stop ends the asking, and waits for what was asked.
func (c *Clients) Stop() {
	c.stop()
	c.asking.Wait()
	c.kept.CloseIdleConnections()
}

// front draws an agent's address from what the directory says, but for those that have failed this client.
func (c *Clients) front(zone string, failed map[string]bool) string {
	c.mu.Lock()
	l := c.fronts[zone]
	c.mu.Unlock()
	if l == nil || time.Since(l.at) > time.Second {
		if got := c.lookUp(zone); len(got) > 0 {
			l = &listing{got, time.Now()}
			c.mu.Lock()
			c.fronts[zone] = l
			c.mu.Unlock()
		}
	}
	if l == nil {
		return ""
	}
	var left []string
	for _, a := range l.addresses {
		if !failed[a] {
			left = append(left, a)
		}
	}
	if len(left) == 0 {
		left = l.addresses
	}
	return left[rand.IntN(len(left))]
}

func (c *Clients) lookUp(zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, at := range append([]string{c.h.control(zone)}, c.h.Contacts()...) {
		host, _, _ := net.SplitHostPort(at)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(host, directoryPort)+"/api/lookup?name=x&zone="+zone+"&region="+zones[zone], nil)
		resp, err := c.kept.Do(req)
		if err != nil {
			continue
		}
		got := struct {
			Addresses []string `json:"addresses"`
		}{}
		err = json.NewDecoder(resp.Body).Decode(&got)
		resp.Body.Close()
		if err == nil && len(got.Addresses) > 0 {
			return got.Addresses
		}
	}
	return nil
}

// one wants something done: it tries, and again as the protocol has it, within its deadline.
func (c *Clients) one(service string, risky bool, zone string, keep bool) {
	id, path, method := fmt.Sprint("op", c.h.ops.Add(1)), "/look/", http.MethodGet
	kind := service + "_look"
	if risky {
		path, method, kind = "/change/", http.MethodPost, service+"_change"
	}
	begun := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(deadline))
	defer cancel()
	failed := map[string]bool{}
	client := c.kept
	for n := range 4 {
		front := c.front(zone, failed)
		if n > 0 || !keep { // another try goes on a new connection
			client = c.fresh
		}
		try := fmt.Sprint(id, "-", n)
		c.h.Ledger.Ask(id, try, kind, risky, begun)
		again, wait := c.try(ctx, client, front, service, method, path, try, risky)
		if !again || ctx.Err() != nil {
			break
		}
		failed[front] = true
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	c.h.Ledger.Ended(id, time.Now())
}

// try makes one; it tells whether another may follow, and when.
func (c *Clients) try(ctx context.Context, client *http.Client, front, service, method, path, try string, risky bool) (again bool, wait time.Duration) {
	end, _ := ctx.Deadline()
	body := ""
	if risky {
		body = strings.Repeat("b", 800)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path+try, strings.NewReader(body))
	if err != nil {
		return false, 0
	}
	req.GetBody = nil // the client's own library must not ask twice
	req.Host = service + ".example"
	req.Header.Set("X-Sagelever-Try-Id", try)
	req.Header.Set("X-Sagelever-Time-Left-Ms", strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
	resp, err := client.Do(req)
	inTime := time.Until(end) > 100*time.Millisecond
	if err != nil {
		if op, ok := errors.Into[*net.OpError](err); ok && op.Op == "dial" { // it never got there
			c.h.Ledger.Told(try, http.StatusServiceUnavailable, true, true, inTime)
			return true, 20 * time.Millisecond
		}
		c.h.Ledger.Told(try, 0, false, false, inTime)
		return !risky, 20 * time.Millisecond
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	own := string(data) == fmt.Sprintf("%s of %d bytes", try, len(body)) && resp.Header.Get("X-Sagelever-Server-Seal") != ""
	c.h.Ledger.Told(try, resp.StatusCode, err == nil, own, inTime)
	if resp.StatusCode/100 == 2 && err == nil {
		return false, 0
	}
	promised := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	return !risky || promised, max(wait, 20*time.Millisecond)
}
