package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/httpagent"
	"sagelever/internal/testbed/fakes"
)

// soakReport are what a long run over HTTP leaves behind: memory in use at the end of each quarter, after a collection.
type soakReport struct {
	sent, satisfied, deferred, other int64
	builds                           int
	memoryByQuarter                  [4]float64 // bytes of heap and stacks, clients and stand-ins included
	goroutinesByQuarter              [4]int
}

func (f soakReport) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("asked=%d satisfied=%d deferred=%d other=%d builds=%d mb_by_quarter=%.2f,%.2f,%.2f,%.2f goroutines=%d,%d,%d,%d",
		f.sent, f.satisfied, f.deferred, f.other, f.builds, f.memoryByQuarter[0]/mb, f.memoryByQuarter[1]/mb, f.memoryByQuarter[2]/mb, f.memoryByQuarter[3]/mb,
		f.goroutinesByQuarter[0], f.goroutinesByQuarter[1], f.goroutinesByQuarter[2], f.goroutinesByQuarter[3])
}

// maxMemoryGrowth is what the second half of a run may add: what the runtime keeps moves by some hundred kilobytes.
const maxMemoryGrowth = 2 << 20

// check is an error where memory grew through the second half, or nothing was served.
func (f soakReport) check() error {
	switch {
	case f.satisfied == 0 || f.satisfied+f.deferred+f.other != f.sent:
		return errors.New("not every request was answered, or none served")
	case f.memoryByQuarter[3]-f.memoryByQuarter[1] > maxMemoryGrowth:
		return fmt.Errorf("memory grew by %.2f MB through the second half", (f.memoryByQuarter[3]-f.memoryByQuarter[1])/(1<<20))
	}
	return nil
}

// startHTTPBackend answers by HTTP after some time.
func startHTTPBackend(delay time.Duration) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(delay)
		w.Header().Set("Server-Load", "queue=0")
		io.WriteString(w, strings.Repeat("x", 200))
	})}
	go server.Serve(listener)
	return server, listener.Addr().String(), nil
}

// runSoak asks an agent over HTTP for a long time. Every id is new, most keys are, a third of the clients keep a connection
// for one request only, and every twentieth of the run a new build takes the place of the old, under new names.
func runSoak(duration time.Duration, rate int, seed uint64, log *slog.Logger) (report soakReport, err error) {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return report, err
	}
	defer discovery.Close()
	var backends []*http.Server
	defer func() {
		for _, b := range backends {
			b.Close()
		}
	}()
	replaceBackends := func(build int) error {
		old := backends
		backends = nil
		var lines []fakes.Entry
		for i := range 8 {
			b, at, err := startHTTPBackend(2 * time.Millisecond)
			if err != nil {
				return err
			}
			backends = append(backends, b)
			lines = append(lines, fakes.Entry{Name: fmt.Sprintf("box-%d-%d", build, i), Address: at, Build: build})
		}
		discovery.SetEntries(lines)
		time.AfterFunc(time.Second, func() {
			for _, b := range old {
				b.Close()
			}
		})
		return nil
	}
	if err := replaceBackends(7); err != nil {
		return report, err
	}
	s, err := newStation(discovery.Address, 1000, log)
	if err != nil {
		return report, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- httpagent.New(s).Run(ctx) }()
	if err := waitReady(s.Listen); err != nil {
		return report, err
	}

	var sent, satisfied, deferred, other atomic.Int64
	rng := rand.New(rand.NewPCG(seed, 1))
	keepAliveTransport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}
	oneShotTransport := &http.Transport{DisableKeepAlives: true}
	var requests sync.WaitGroup
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for quarter, build := 0, 7; quarter < 4; {
		<-tick.C
		n := sent.Add(1)
		transport := keepAliveTransport
		if n%3 == 0 {
			transport = oneShotTransport
		}
		path, method := "/look/x", http.MethodGet
		if n%4 == 0 {
			path, method = "/rollout-step/x", http.MethodPost
		}
		req, _ := http.NewRequest(method, "http://"+s.Listen+path, nil)
		req.Header.Set("Request-Id", fmt.Sprintf("soak-%d", n))
		req.Header.Set("Request-Timeout", "700m")
		req.AddCookie(&http.Cookie{Name: "k", Value: fmt.Sprint(rng.Uint32())})
		requests.Go(func() {
			resp, err := transport.RoundTrip(req)
			if err != nil {
				other.Add(1)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch resp.StatusCode {
			case http.StatusOK:
				satisfied.Add(1)
			case http.StatusServiceUnavailable:
				deferred.Add(1)
			default:
				other.Add(1)
			}
		})
		elapsed := time.Since(began)
		if b := 7 + int(20*elapsed/duration); b > build && b < 7+20 {
			build = b
			report.builds++
			if err := replaceBackends(build); err != nil {
				return report, err
			}
		}
		if elapsed >= duration*time.Duration(quarter+1)/4 {
			report.memoryByQuarter[quarter], report.goroutinesByQuarter[quarter] = memoryInUse(), runtime.NumGoroutine()
			quarter++
		}
	}
	requests.Wait()
	report.sent, report.satisfied, report.deferred, report.other = sent.Load(), satisfied.Load(), deferred.Load(), other.Load()
	stop()
	return report, <-ended
}
