package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// appliance is a stand-in of a server that behaves as the protocol says.
type appliance struct {
	s                 *system
	id, service, zone string
	address           string
	work              func(r *http.Request) time.Duration
	slots             chan struct{}
	server            *http.Server

	mu   sync.Mutex
	runs map[string]int // runs begun, by try id
}

// capacity is the number of requests on which an appliance works at once.
const capacity = 3

// startAppliance starts an appliance in the zone with an index, and waits until its first beat is acknowledged.
func (s *system) startAppliance(service string, zone int, work func(r *http.Request) time.Duration) (*appliance, error) {
	listener, err := net.Listen("tcp4", s.subnet+"200:0")
	if err != nil {
		return nil, err
	}
	a := &appliance{
		s: s, service: service, zone: zones[zone], address: listener.Addr().String(), work: work,
		slots: make(chan struct{}, capacity), runs: map[string]int{},
	}
	a.id = fmt.Sprintf("i-%s-%d", service, listener.Addr().(*net.TCPAddr).Port)
	a.server = &http.Server{Handler: a, IdleTimeout: 10 * time.Second}
	s.mu.Lock()
	s.appliances = append(s.appliances, a)
	s.mu.Unlock()
	ctx := context.Background()
	go func() { _ = a.server.Serve(listener) }()
	first := make(chan struct{})
	go a.beat(ctx, zone, first)
	select {
	case <-first:
		return a, nil
	case <-time.After(15 * time.Second):
		return nil, fmt.Errorf("no beat of %s is acknowledged", a.id)
	}
}

// beat sends the appliance's beats until ctx ends, to one controller as long as it answers.
func (a *appliance) beat(ctx context.Context, controller int, first chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	target := a.s.control(controller)
	for count := 0; ctx.Err() == nil; count++ {
		body, _ := json.Marshal(map[string]any{
			"service": a.service, "address": a.address, "zone": a.zone, "version": "v1", "capacity": capacity,
			"phase": "ready", "warmLeft": "0ms", "callCount": count,
		})
		resp, err := client.Post("http://"+target+"/api/rpc?call=servers.pulse&of="+a.id, "application/json",
			bytes.NewReader(body))
		acknowledged := false
		if err == nil {
			acknowledged = resp.StatusCode/100 == 2
			answer := struct {
				Next string `json:"nextBeatTo"`
			}{}
			_ = json.NewDecoder(resp.Body).Decode(&answer)
			resp.Body.Close()
			if answer.Next != "" {
				target = answer.Next
			}
		}
		pause := pulse
		if acknowledged && first != nil {
			close(first)
			first = nil
		}
		if !acknowledged {
			controller++
			target = a.s.control(controller % len(zones))
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (a *appliance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("X-Sagelever-Server-Id", a.id)
		return
	}
	tryID := r.Header.Get("X-Sagelever-Try-Id")
	header.Set("X-Sagelever-Try-Id", tryID)
	decline := func(status int) {
		header.Set("X-Sagelever-Not-Run", "1")
		w.WriteHeader(status)
	}
	meant := r.Header.Get("X-Sagelever-Meant-Server")
	if meant != "" && meant != a.id {
		decline(http.StatusMisdirectedRequest)
		return
	}
	if tryID == "" {
		decline(http.StatusBadRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Sagelever-Time-Left-Ms"))
	if err != nil {
		left = 60000
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-deadline.C:
		decline(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	a.runs[tryID]++
	a.mu.Unlock()
	work := a.work(r)
	a.log("%s begins to run %s %s %s, %d bytes, %v left, will take %v", a.id, tryID, r.Method, r.URL.Path, size,
		time.Duration(left)*time.Millisecond, work)
	select {
	case <-time.After(work):
	case <-deadline.C:
		a.log("%s: the deadline of %s has passed", a.id, tryID)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		a.log("%s: the connection of %s was closed while it was at work", a.id, tryID)
		return
	}
	a.log("%s has finished %s", a.id, tryID)
	header.Set("X-Sagelever-Server-Seal", "seal."+a.id)
	fmt.Fprintf(w, "%s by %s", tryID, a.id)
}

func (a *appliance) log(format string, arguments ...any) { a.s.note(format, arguments...) }

// passedOn reports whether an appliance has begun to run a request.
func (s *system) passedOn(tryID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.appliances {
		a.mu.Lock()
		runs := a.runs[tryID]
		a.mu.Unlock()
		if runs > 0 {
			return true
		}
	}
	return false
}
