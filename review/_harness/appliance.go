package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached an appliance and was not turned away with 421.
type arrival struct {
	at    time.Time
	tryID string
}

// appliance is a stand-in of an appliance, as PROTOCOL describes it.
type appliance struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	work    time.Duration

	server *http.Server
	stop   context.CancelFunc // ends the beats
	slots  chan struct{}
	queued atomic.Int32

	mu       sync.Mutex
	arrivals []arrival
}

const (
	slotCount  = 3
	queueLimit = 12
)

// startAppliance starts an appliance and its beats. number distinguishes the addresses.
func (f *fleet) startAppliance(number int, service, zone string, work time.Duration) (*appliance, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", f.subnet, 100+number))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &appliance{
		fleet: f, id: fmt.Sprintf("i-%s-%d-%08x", service, number, rand.Uint32()), service: service, zone: zone,
		address: listener.Addr().String(), work: work, stop: stop, slots: make(chan struct{}, slotCount),
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(listener) }()
	go a.beat(ctx)
	return a, nil
}

func (a *appliance) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Sagelever-Server-Id", a.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	tryID := r.Header.Get("X-Sagelever-Try-Id")
	w.Header().Set("X-Sagelever-Try-Id", tryID)
	if meant := r.Header.Get("X-Sagelever-Meant-Server"); meant != "" && meant != a.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	a.arrivals = append(a.arrivals, arrival{time.Now(), tryID})
	a.mu.Unlock()
	a.fleet.rec.add("run %s at %s (%s, %s)", tryID, a.id, a.service, a.zone)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if a.queued.Add(1) > slotCount+queueLimit {
		a.queued.Add(-1)
		w.Header().Set("X-Sagelever-Not-Run", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.queued.Add(-1)
	a.slots <- struct{}{}
	time.Sleep(a.work)
	<-a.slots
	w.Header().Set("X-Sagelever-Server-Seal", "seal."+a.id+"."+tryID)
	w.WriteHeader(http.StatusOK)
	fmt.Fprintf(w, "%s %s %s", a.service, a.id, tryID)
}

// beat reports the state to the controllers until ctx ends.
func (a *appliance) beat(ctx context.Context) {
	next := ""
	for count := 1; ctx.Err() == nil; {
		for try := 0; try < 2*len(zones) && ctx.Err() == nil; try++ {
			body, _ := json.Marshal(map[string]any{
				"service": a.service, "address": a.address, "zone": a.zone, "version": "v1", "capacity": slotCount,
				"phase": "ready", "warmLeft": "0ms", "callCount": count,
			})
			count++ // it rises with every call
			address := next
			if address == "" {
				address = a.fleet.address(rand.IntN(len(zones)), "control")
			}
			answer, ok := a.post(ctx, address, "servers.pulse", body)
			next = ""
			if ok {
				next = answer
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		select {
		case <-time.After(pulse):
		case <-ctx.Done():
		}
	}
}

// post makes a call to a controller and returns the address for later beats.
func (a *appliance) post(ctx context.Context, address, call string, body []byte) (next string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + address + "/api/rpc?call=" + call + "&of=" + a.id
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, readerOf(body))
	response, err := orderClient.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil || response.StatusCode/100 != 2 {
		return "", false
	}
	answer := struct {
		Next string `json:"nextBeatTo"`
	}{}
	_ = json.Unmarshal(data, &answer)
	return answer.Next, true
}

// since returns the arrivals after a moment.
func (a *appliance) since(moment time.Time) (late []arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, arrival := range a.arrivals {
		if arrival.at.After(moment) {
			late = append(late, arrival)
		}
	}
	return late
}
