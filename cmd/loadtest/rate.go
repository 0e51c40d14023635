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

// rateReport are messages a second on one core that clients, agent and appliances share.
type rateReport struct {
	http, webSocket float64
	webSocketP99    time.Duration
}

func (r rateReport) String() string {
	return fmt.Sprintf("http=%.0f websocket=%.0f ratio=%.2f p99_websocket=%s", r.http, r.webSocket, r.webSocket/r.http, r.webSocketP99)
}

// runRate asks as many messages over HTTP and over WebSocket, with as many in flight, one after the other and each twice;
// the better of two counts.
func runRate(messages int, log *slog.Logger) (report rateReport, err error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	backends, err := newBackendSet(3)
	if err != nil {
		return report, err
	}
	defer backends.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	address, ended, err := startAgent(ctx, backends.discovery.Address, 1, log)
	if err != nil {
		return report, err
	}
	const clients = 4 // of sixteen in flight each
	for round := range 2 {
		began := time.Now()
		good, err := sendOverHTTP(address, messages, clients*16, round)
		if err != nil {
			return report, err
		}
		report.http = max(report.http, float64(good)/time.Since(began).Seconds())
		var asked atomic.Int64
		var clientGroup sync.WaitGroup
		records := make([]map[string]*answerRecord, clients)
		began = time.Now()
		for c := range clients {
			clientGroup.Go(func() {
				records[c] = sendMessages(address, (round+1)*1000+c, messages/clients, rand.New(rand.NewPCG(1, uint64(c))), &asked)
			})
		}
		clientGroup.Wait()
		took := time.Since(began) - 100*time.Millisecond // that ask waits for a late second answer
		satisfied := 0
		for _, m := range records {
			f := summarize(m, map[string]int{})
			satisfied, report.webSocketP99 = satisfied+f.satisfied, max(report.webSocketP99, f.p99)
		}
		report.webSocket = max(report.webSocket, float64(satisfied)/took.Seconds())
	}
	stop()
	return report, <-ended
}

// sendOverHTTP asks messages over HTTP, some at once.
func sendOverHTTP(address string, messages, concurrency, round int) (good int64, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	var next, satisfied atomic.Int64
	var senders sync.WaitGroup
	for range concurrency {
		senders.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(messages) {
					return
				}
				req, _ := http.NewRequest("GET", "http://"+address+"/look/x", nil)
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
	senders.Wait()
	return satisfied.Load(), nil
}
