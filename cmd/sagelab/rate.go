package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// rates are messages a second on one core that clients, agent and appliances share.
type rates struct {
	http, webSocket float64
	p99WS           time.Duration
}

func (r rates) String() string {
	return fmt.Sprintf("http=%.0f websocket=%.0f ratio=%.2f p99_websocket=%s", r.http, r.webSocket, r.webSocket/r.http, r.p99WS)
}

// rate asks as many messages over HTTP and over WebSocket, with as many in flight, one after the other and each twice;
// the better of two counts.
func rate(messages int, log *slog.Logger) (r rates, err error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	boxes, err := newFleet(3)
	if err != nil {
		return r, err
	}
	defer boxes.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	at, ended, err := startAgent(ctx, boxes.discovery.Address, 1, log)
	if err != nil {
		return r, err
	}
	const clients = 4 // of sixteen in flight each
	for round := range 2 {
		began := time.Now()
		good, err := overHTTP(at, messages, clients*16, round)
		if err != nil {
			return r, err
		}
		r.http = max(r.http, float64(good)/time.Since(began).Seconds())
		var asked atomic.Int64
		var asking sync.WaitGroup
		told := make([]map[string]*answered, clients)
		began = time.Now()
		for c := range clients {
			asking.Go(func() {
				told[c] = ask(at, (round+1)*1000+c, messages/clients, rand.New(rand.NewPCG(1, uint64(c))), &asked)
			})
		}
		asking.Wait()
		took := time.Since(began) - 100*time.Millisecond // that ask waits for a late second answer
		satisfied := 0
		for _, m := range told {
			f := check(m, map[string]int{})
			satisfied, r.p99WS = satisfied+f.satisfied, max(r.p99WS, f.p99)
		}
		r.webSocket = max(r.webSocket, float64(satisfied)/took.Seconds())
	}
	stop()
	return r, <-ended
}

// overHTTP asks messages over HTTP, some at once.
func overHTTP(at string, messages, atOnce, round int) (good int64, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}}
	defer client.CloseIdleConnections()
	var next, satisfied atomic.Int64
	var asking sync.WaitGroup
	for range atOnce {
		asking.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(messages) {
					return
				}
				req, _ := http.NewRequest("GET", "http://"+at+"/look/x", nil)
				req.Header.Set("Request-Id", fmt.Sprintf("h%d-%d", round, i))
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				io.Copy(io.Discard, resp.Body)
				if resp.Body.Close(); resp.StatusCode == http.StatusOK {
					satisfied.Add(1)
				}
			}
		})
	}
	asking.Wait()
	return satisfied.Load(), nil
}
