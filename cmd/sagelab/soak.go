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
	"sagelever/standin"
)

// soakFigures are what a long run over HTTP leaves behind: memory in use at the end of each quarter, after a collection.
type soakFigures struct {
	asked, satisfied, deferred, other int64
	builds                            int
	quarters                          [4]float64 // bytes of heap and stacks, clients and stand-ins included
	routines                          [4]int
}

func (f soakFigures) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("asked=%d satisfied=%d deferred=%d other=%d builds=%d mb_by_quarter=%.2f,%.2f,%.2f,%.2f goroutines=%d,%d,%d,%d",
		f.asked, f.satisfied, f.deferred, f.other, f.builds, f.quarters[0]/mb, f.quarters[1]/mb, f.quarters[2]/mb, f.quarters[3]/mb,
		f.routines[0], f.routines[1], f.routines[2], f.routines[3])
}

// mayGrow is what the second half of a run may add: what the runtime keeps moves by some hundred kilobytes.
const mayGrow = 2 << 20

// verdict is an error where memory grew through the second half, or nothing was served.
func (f soakFigures) verdict() error {
	switch {
	case f.satisfied == 0 || f.satisfied+f.deferred+f.other != f.asked:
		return errors.New("not every request was answered, or none served")
	case f.quarters[3]-f.quarters[1] > mayGrow:
		return fmt.Errorf("memory grew by %.2f MB through the second half", (f.quarters[3]-f.quarters[1])/(1<<20))
	}
	return nil
}

// flagBox answers by HTTP after some time.
func flagBox(takes time.Duration) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(takes)
		w.Header().Set("Server-Load", "queue=0")
		io.WriteString(w, strings.Repeat("x", 200))
	})}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}

// soak asks an agent over HTTP for a long time. Every id is new, most keys are, a third of the clients keep a connection
// for one request only, and every twentieth of the run a new build takes the place of the old, under new names.
func soak(span time.Duration, rate int, seed uint64, log *slog.Logger) (f soakFigures, err error) {
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return f, err
	}
	defer discovery.Close()
	var boxes []*http.Server
	defer func() {
		for _, b := range boxes {
			b.Close()
		}
	}()
	renew := func(build int) error {
		old := boxes
		boxes = nil
		var lines []standin.Line
		for i := range 8 {
			b, at, err := flagBox(2 * time.Millisecond)
			if err != nil {
				return err
			}
			boxes = append(boxes, b)
			lines = append(lines, standin.Line{Name: fmt.Sprintf("box-%d-%d", build, i), Address: at, Build: build})
		}
		discovery.List(lines)
		time.AfterFunc(time.Second, func() {
			for _, b := range old {
				b.Close()
			}
		})
		return nil
	}
	if err := renew(7); err != nil {
		return f, err
	}
	s, err := stationAt(discovery.Address, 1000, log)
	if err != nil {
		return f, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- httpagent.New(s).Run(ctx) }()
	if err := started(s.Listen); err != nil {
		return f, err
	}

	var asked, satisfied, deferred, other atomic.Int64
	chance := rand.New(rand.NewPCG(seed, 1))
	keeps := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}
	once := &http.Transport{DisableKeepAlives: true}
	var asking sync.WaitGroup
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for quarter, build := 0, 7; quarter < 4; {
		<-tick.C
		n := asked.Add(1)
		by := keeps
		if n%3 == 0 {
			by = once
		}
		path, method := "/look/x", http.MethodGet
		if n%4 == 0 {
			path, method = "/rollout-step/x", http.MethodPost
		}
		req, _ := http.NewRequest(method, "http://"+s.Listen+path, nil)
		req.Header.Set("Request-Id", fmt.Sprintf("soak-%d", n))
		req.Header.Set("Request-Timeout", "700m")
		req.AddCookie(&http.Cookie{Name: "k", Value: fmt.Sprint(chance.Uint32())})
		asking.Go(func() {
			resp, err := by.RoundTrip(req)
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
		passed := time.Since(began)
		if b := 7 + int(20*passed/span); b > build && b < 7+20 {
			build = b
			f.builds++
			if err := renew(build); err != nil {
				return f, err
			}
		}
		if passed >= span*time.Duration(quarter+1)/4 {
			f.quarters[quarter], f.routines[quarter] = inUse(), runtime.NumGoroutine()
			quarter++
		}
	}
	asking.Wait()
	f.asked, f.satisfied, f.deferred, f.other = asked.Load(), satisfied.Load(), deferred.Load(), other.Load()
	stop()
	return f, <-ended
}
