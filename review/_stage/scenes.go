package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const host = "ficu95.example"

// smallBuffer is the size of the receive buffers of clients and appliances: the pages give links small windows.
const smallBuffer = 4096

// calm is a little more than inTouch: how long the machines run undisturbed before anything is judged.
const calm = 5500 * time.Millisecond

// pool calls do for 0 to count-1 at the same time.
func pool(count int, do func(i int)) {
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			do(i)
		}()
	}
	all.Wait()
}

// warmRequests sends requests to a proxy until one is served.
func (f *fleet) warmRequests(machine int, path string) {
	for i := range 100 {
		c := dialClient(f.rec, "warm-up", f.front(machine), 0)
		got := c.request("GET", host, path, fmt.Sprintf("warm-%d-%d", machine, i), "", "", 5*time.Second, 0)
		c.conn.Close()
		if got.status == 200 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("no request is served")
}

// stalledReaders: in the middle of an answer, clients read nothing for a while, around a SIGHUP of the proxy's machine. The
// requests are like the filing-submit of cotton-row-south: risky, answers of up to 30,000 bytes, a deadline of 6 s.
func stalledReaders(f *fleet, trouble bool) (breaks []string) {
	const clients, wait = 6, 6 * time.Second
	relays := f.begin(change(
		limitsItem(1, 16384), serviceItem("desk"),
		routeItem("r-look", host, "/job/", "harmless", "desk", "6000ms", 1),
		routeItem("r-file", host, "/filing/", "risky", "desk", "6000ms", 1)))
	var desk []*appliance
	for i := range clients {
		a := f.addAppliance(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "desk", zones[0], i, 0)
		a.answerBytes, a.work = 30000, 290*time.Millisecond
		defer a.close()
		desk = append(desk, a)
	}
	f.warmRequests(0, "/job/warm")
	time.Sleep(calm)
	f.rec.say("platform: SIGHUP to %s", relays[0].name)
	relays[0].signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	readPause := 3 * time.Second
	if !trouble {
		readPause = 0
	}
	results := make([]answer, clients)
	pool(clients, func(i int) {
		c := dialClient(f.rec, fmt.Sprintf("reader-%d", i), f.front(0), smallBuffer)
		defer c.conn.Close()
		results[i] = c.request("POST", host, "/filing/2f", fmt.Sprintf("file-%d", i), "", strings.Repeat("filing. ", 500), wait, readPause)
	})
	for i, got := range results {
		tryID := fmt.Sprintf("file-%d", i)
		ran := false
		for _, a := range desk {
			ran = ran || strings.HasPrefix(a.outcome(tryID), "run whole")
		}
		if ran && !got.complete() {
			breaks = append(breaks, fmt.Sprintf(
				"LOST: %s, sent after the SIGHUP, was run and answered by its appliance; the connection ended after %d of %d bytes: %v",
				tryID, got.received, got.length, got.err))
		} else if !ran {
			fail("%s was not run", tryID)
		}
	}
	return breaks
}

// stalledAppliances: appliances begin their work and leave the rest of a request's body unread for a while, around a SIGTERM
// of the proxy's machine.
func stalledAppliances(f *fleet, trouble bool) (breaks []string) {
	const pause, wait = 3 * time.Second, 8 * time.Second
	relays := f.begin(change(
		limitsItem(1, 16384), serviceItem("desk"),
		routeItem("r-look", host, "/job/", "harmless", "desk", "8000ms", 1),
		routeItem("r-file", host, "/filing/", "risky", "desk", "8000ms", 1)))
	var desk []*appliance
	for i := range 4 {
		a := f.addAppliance(fmt.Sprintf("i-%08x", 0x52c10000+i), "desk", zones[0], i, smallBuffer)
		a.answerBytes, a.work = 400, time.Second
		defer a.close()
		desk = append(desk, a)
	}
	f.warmRequests(0, "/job/warm")
	time.Sleep(calm)
	relay := relays[0]
	if trouble {
		for _, a := range desk {
			a.readPause = pause
		}
	}
	termAt := make(chan time.Time, 1)
	time.AfterFunc(500*time.Millisecond, func() {
		f.rec.say("platform: SIGTERM to %s", relay.name)
		termAt <- time.Now()
		relay.signal(syscall.SIGTERM)
	})
	results := make([]answer, len(desk))
	ended := make([]time.Time, len(desk))
	pool(len(desk), func(i int) {
		c := dialClient(f.rec, fmt.Sprintf("filer-%d", i), f.front(0), 0)
		defer c.conn.Close()
		body := strings.Repeat("filing. ", 3000) // 24,000 bytes
		results[i] = c.request("POST", host, "/filing/2f", fmt.Sprintf("file-%d", i), "", body, wait, 0)
		ended[i] = time.Now()
	})
	time.Sleep(pause + time.Second)
	term := <-termAt
	for i, got := range results {
		tryID := fmt.Sprintf("file-%d", i)
		for _, a := range desk {
			outcome := a.outcome(tryID)
			if strings.HasPrefix(outcome, "broken off") && got.seal == "" && ended[i].After(term) {
				breaks = append(breaks, fmt.Sprintf(
					"LOST: %.1f s after the SIGTERM, %s got %d of the proxy's own while appliance %s worked on it (%s)",
					ended[i].Sub(term).Seconds(), tryID, got.status, a.id, outcome))
			}
		}
	}
	return breaks
}

// keptLimits: the limits are raised while clients keep their connections.
func keptLimits(f *fleet, trouble bool) (breaks []string) {
	const clients, wait = 10, 5 * time.Second
	before, after := 16384, 65536
	first := before
	if !trouble {
		first = after
	}
	f.begin(change(
		limitsItem(1, first), serviceItem("press"),
		routeItem("r-fetch", host, "/proof/", "harmless", "press", "5000ms", 1)))
	a := f.addAppliance("i-7f3a91c2", "press", zones[0], 0, 0)
	a.answerBytes = 400
	defer a.close()
	f.warmRequests(0, "/proof/warm")
	time.Sleep(calm)
	kept := make([]*client, clients)
	for i := range kept {
		kept[i] = dialClient(f.rec, fmt.Sprintf("client-%d", i), f.front(0), 0)
		defer kept[i].conn.Close()
		if got := kept[i].request("GET", host, "/proof/2f", fmt.Sprintf("small-%d", i), "", "", wait, 0); got.status != 200 {
			fail("a usual request got %d", got.status)
		}
	}
	if trouble {
		f.order(fmt.Sprintf("limits version 2: headSizeBytes %d", after), change(limitsItem(2, after)), 0)
	}
	time.Sleep(4 * time.Second) // apply is 3 s
	fresh := dialClient(f.rec, "client-new", f.front(0), 0)
	got := fresh.request("GET", host, "/proof/2f", "long-new", longHeader(30000), "", wait, 0)
	fresh.conn.Close()
	if got.status != 200 {
		fail("on a new connection the long header got %d", got.status)
	}
	for i, c := range kept {
		got := c.request("GET", host, "/proof/2f", fmt.Sprintf("long-%d", i), longHeader(30000), "", wait, 0)
		if got.status == 431 || !got.complete() {
			breaks = append(breaks, fmt.Sprintf(
				"CONFIG, DENIED: long-%d, sent 4 s after the acknowledgement of headSizeBytes %d, got %d (%v), as only version 1 says",
				i, after, got.status, got.err))
		}
	}
	return breaks
}

// steadyUploads: clients whose link is slow send a body without a pause that is longer than half a second.
func steadyUploads(f *fleet, trouble bool) (breaks []string) {
	const clients, wait, chunks = 12, 40 * time.Second, 45
	gap := 400 * time.Millisecond
	if !trouble {
		gap = 0
	}
	f.begin(change(
		limitsItem(1, 16384), serviceItem("desk"),
		routeItem("r-look", host, "/job/", "harmless", "desk", "8000ms", 1),
		routeItem("r-file", host, "/filing/", "risky", "desk", "40000ms", 1)))
	a := f.addAppliance("i-52c10000", "desk", zones[0], 0, 0)
	a.answerBytes = 400
	defer a.close()
	f.warmRequests(0, "/job/warm")
	time.Sleep(calm)
	results := make([]answer, clients)
	pool(clients, func(i int) {
		c := dialClient(f.rec, fmt.Sprintf("filer-%d", i), f.front(0), 0)
		defer c.conn.Close()
		c.gap, c.chunks = gap, chunks
		results[i] = c.request("POST", host, "/filing/2f", fmt.Sprintf("file-%d", i), "", strings.Repeat("filing. ", 3000), wait, 0)
	})
	denied := 0
	for _, got := range results {
		if got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
			denied++
		}
	}
	if denied > 5 {
		breaks = append(breaks, fmt.Sprintf("DENIED: %d of %d proper requests ended with a 4xx of the proxy's own", denied, clients))
	}
	return breaks
}

// foreignText: an operator sends a route whose prefix is written in Latin-1, and sends the call again unchanged. Without
// the disruption the same prefix is written in UTF-8.
func foreignText(f *fleet, trouble bool) (breaks []string) {
	prefix := "/caf\xc3\xa9/"
	if trouble {
		prefix = "/caf\xe9/"
	}
	f.begin(change(limitsItem(1, 16384), serviceItem("press"),
		routeItem("r-fetch", host, "/proof/", "harmless", "press", "20000ms", 1)))
	time.Sleep(calm)
	route := strings.Replace(routeItem("r-menu", host, "/PREFIX/", "harmless", "press", "5000ms", 2), "/PREFIX/", prefix, 1)
	body := change(route)
	acknowledged := false
	for try := range 2 * len(zones) {
		machine := try % len(zones)
		status, answer := f.call(machine, "settings.change", body)
		f.rec.say("operator: the call, time %d, to %s: %d %q", try+1, f.control(machine), status, strings.TrimSpace(answer))
		switch {
		case status == 200:
			acknowledged = true
		case status >= 400 && status < 500 && !acknowledged:
			f.rec.say("the call was refused; nothing of it may come into force")
		case status >= 400 && status < 500:
			breaks = append(breaks, fmt.Sprintf(
				"CONFIG: the change was acknowledged, sent again with no other change since, and refused: %d %s", status, strings.TrimSpace(answer)))
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(calm)
	for machine := range zones {
		status, answer := f.call(machine, "settings.read", "")
		f.rec.say("operator: reads back at %s: %d %q", f.control(machine), status, answer)
		if status != 200 {
			continue
		}
		at := strings.Index(answer, `"name":"r-menu"`)
		switch {
		case at < 0 && acknowledged:
			breaks = append(breaks, "CONFIG: read back, the acknowledged route is absent")
		case at >= 0 && !acknowledged:
			breaks = append(breaks, "CONFIG: read back, the refused route is in force")
		case at >= 0 && !strings.Contains(answer[at:], prefix):
			breaks = append(breaks, fmt.Sprintf("CONFIG: read back, the route differs from what was sent: no pathStart %q", prefix))
		}
	}
	if trouble && acknowledged {
		breaks = append(breaks, "CONFIG: a call that is no JSON text, as it is not in UTF-8, was acknowledged")
	}
	return breaks
}
