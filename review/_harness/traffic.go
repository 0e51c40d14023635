package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func readerOf(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// answer is what a client got.
type answer struct {
	sentAt  time.Time
	proxy   string // address of the machine that took the request
	status  int    // 0: none
	service string // first word of the body
}

// traffic holds what clients sent and got, by try id.
type traffic struct {
	fleet   *fleet
	mu      sync.Mutex
	answers map[string]answer
	stop    context.CancelFunc
	ctx     context.Context
	clients sync.WaitGroup
}

func (f *fleet) newTraffic() *traffic {
	ctx, stop := context.WithCancel(context.Background())
	return &traffic{fleet: f, answers: map[string]answer{}, stop: stop, ctx: ctx}
}

// lookup asks the directory for addresses, the near ones first.
func (t *traffic) lookup(host, zone string) ([]string, time.Duration) {
	for try := range 3 {
		machine := rand.IntN(len(zones))
		if try == 0 {
			machine = zoneIndex(zone)
		}
		ctx, cancel := context.WithTimeout(t.ctx, time.Second)
		url := fmt.Sprintf("http://%s/api/lookup?name=%s&region=%s&zone=%s",
			t.fleet.address(machine, "directory"), host, regionOf[zone], zone)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		response, err := orderClient.Do(request)
		if err == nil {
			list := struct {
				Addresses []string
				Valid     string
			}{}
			err = json.NewDecoder(response.Body).Decode(&list)
			response.Body.Close()
			if valid, parseErr := time.ParseDuration(list.Valid); err == nil && parseErr == nil && len(list.Addresses) > 0 {
				cancel()
				return list.Addresses, min(valid, 5*time.Second)
			}
		}
		cancel()
	}
	return nil, 0
}

func zoneIndex(zone string) int {
	for i, name := range zones {
		if name == zone {
			return i
		}
	}
	return 0
}

// runClients starts clients of a zone, each of which sends one request after the other with a pause between them.
func (t *traffic) runClients(count int, host, method, path, zone string, pause time.Duration) {
	for range count {
		t.clients.Add(1)
		go func() {
			defer t.clients.Done()
			var list []string
			var until time.Time
			for t.ctx.Err() == nil {
				if time.Now().After(until) {
					if addresses, valid := t.lookup(host, zone); addresses != nil {
						list, until = addresses, time.Now().Add(valid)
					}
				}
				if len(list) > 0 {
					t.send(list[rand.IntN(len(list))], host, method, path)
				}
				select {
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
				case <-t.ctx.Done():
				}
			}
		}()
	}
}

// send sends one request on a new connection and records the answer.
func (t *traffic) send(proxy, host, method, path string) answer {
	tryID := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+proxy+path, nil)
	request.Host = host
	request.Header.Set("X-Sagelever-Try-Id", tryID)
	request.Header.Set("X-Sagelever-Time-Left-Ms", "1500")
	got := answer{sentAt: time.Now(), proxy: proxy}
	t.fleet.rec.add("send %s %s %s%s to %s", tryID, method, host, path, proxy)
	response, err := orderClient.Do(request)
	if err == nil {
		got.status = response.StatusCode
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			got.service, _, _ = strings.Cut(string(body), " ")
		}
	}
	t.fleet.rec.add("answer %s %d %s", tryID, got.status, got.service)
	t.mu.Lock()
	t.answers[tryID] = got
	t.mu.Unlock()
	return got
}

// sentBy returns the answer to a try, with the machine that took it.
func (t *traffic) sentBy(tryID string) (answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	got, ok := t.answers[tryID]
	return got, ok
}

// count returns how many requests were sent in a span, and how many of them were answered with success.
func (t *traffic) count(from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, got := range t.answers {
		if got.sentAt.After(from) && got.sentAt.Before(to) {
			sent++
			if got.status == http.StatusOK {
				served++
			}
		}
	}
	return sent, served
}

func (t *traffic) end() {
	t.stop()
	t.clients.Wait()
}
