package main

import (
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

	"github.com/spf13/cobra"

	"sagelever/httpagent"
	"sagelever/internal/testbed/fakes"
)

const (
	soakBackends       = 8
	soakBackendLatency = 2 * time.Millisecond
	soakBuilds         = 20 // builds that follow one another in a run
	// releasedBuild is a build that all builds of the run are earlier than, so that each is released.
	releasedBuild = 1000
	// backendCloseDelay is how long replaced backends still serve.
	backendCloseDelay = time.Second
	// maxMemoryGrowth is what the second half of a run may add: the memory that the runtime keeps varies by some
	// hundred kilobytes.
	maxMemoryGrowth = 2 << 20
	megabyte        = 1 << 20
	quarterCount    = 4
)

// errUnanswered is the error of a run in which requests had no answer, or none was satisfied.
var errUnanswered = errors.New("not every request was answered, or none served")

// soakOptions are the flags of the command soak agent.
type soakOptions struct {
	duration time.Duration
	rate     int // requests a second
	seed     uint64
}

func newSoakAgentCommand() *cobra.Command {
	var options soakOptions
	command := &cobra.Command{
		Use:   "agent",
		Short: "memory of a long run over HTTP, by quarters, while builds follow one another",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runSoak(options, newLogger(false))
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), report)
			return report.check()
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.duration, "for", 45*time.Minute, "how long")
	flags.IntVar(&options.rate, "rate", 200, "requests a second")
	flags.Uint64Var(&options.seed, "seed", 1, "of the keys")
	return command
}

// soakReport is the result of a run. Memory is that of clients and backends too.
type soakReport struct {
	sent                int64
	satisfied           int64
	deferred            int64
	other               int64
	builds              int                   // that replaced another
	memoryByQuarter     [quarterCount]float64 // bytes of heap and stacks at its end, after a garbage collection
	goroutinesByQuarter [quarterCount]int
}

// String returns the figures as one line of key=value.
func (r soakReport) String() string {
	memory := make([]string, quarterCount)
	goroutines := make([]string, quarterCount)
	for quarter := range quarterCount {
		memory[quarter] = fmt.Sprintf("%.2f", r.memoryByQuarter[quarter]/megabyte)
		goroutines[quarter] = fmt.Sprint(r.goroutinesByQuarter[quarter])
	}
	return fmt.Sprintf("asked=%d satisfied=%d deferred=%d other=%d builds=%d mb_by_quarter=%s goroutines=%s",
		r.sent, r.satisfied, r.deferred, r.other, r.builds, strings.Join(memory, ","), strings.Join(goroutines, ","))
}

// check returns an error if memory grew through the second half, or if requests were not answered.
func (r soakReport) check() error {
	if r.satisfied == 0 || r.satisfied+r.deferred+r.other != r.sent {
		return errUnanswered
	}
	growth := r.memoryByQuarter[quarterCount-1] - r.memoryByQuarter[quarterCount/2-1]
	if growth > maxMemoryGrowth {
		return fmt.Errorf("memory grew by %.2f MB through the second half", growth/megabyte)
	}
	return nil
}

// httpBackends are the backends of the current build, and the discovery service that lists them.
type httpBackends struct {
	discovery *fakes.Discovery
	servers   []*http.Server
}

func (b *httpBackends) close() {
	b.discovery.Close()
	closeServers(b.servers)
}

// replace starts the backends of a build, announces them, and closes the earlier ones after a while.
func (b *httpBackends) replace(build int) error {
	replaced := b.servers
	b.servers = nil
	var entries []fakes.Entry
	for i := range soakBackends {
		server, address, err := startHTTPBackend(soakBackendLatency)
		if err != nil {
			return err
		}
		b.servers = append(b.servers, server)
		entries = append(entries, fakes.Entry{
			Name:    fmt.Sprintf("box-%d-%d", build, i),
			Address: address,
			Build:   build,
		})
	}
	b.discovery.SetEntries(entries)
	time.AfterFunc(backendCloseDelay, func() { closeServers(replaced) })
	return nil
}

func closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close() // an error of closing a listener changes nothing
	}
}

// startHTTPBackend starts a backend that answers after some time.
func startHTTPBackend(latency time.Duration) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	body := strings.Repeat("x", 200)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a request that breaks off is answered all the same
		time.Sleep(latency)
		w.Header().Set("Server-Load", "queue=0")
		_, _ = io.WriteString(w, body) // the agent notices an answer that breaks off
	})}
	go func() { _ = server.Serve(listener) }() // returns when closeServers closes it
	return server, listener.Addr().String(), nil
}

// soakClient sends requests to an agent and counts the answers.
type soakClient struct {
	address   string
	rng       *rand.Rand
	keepAlive *http.Transport
	oneShot   *http.Transport // opens a connection for each request

	requests  sync.WaitGroup
	sent      int64
	satisfied atomic.Int64
	deferred  atomic.Int64
	other     atomic.Int64
}

func newSoakClient(address string, seed uint64) *soakClient {
	return &soakClient{
		address:   address,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		keepAlive: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second},
		oneShot:   &http.Transport{DisableKeepAlives: true},
	}
}

// sendNext starts the next request. Every id is new, and so are most keys. A third of the requests use a connection of
// their own, and a fourth are of the workload that must run at most once.
func (c *soakClient) sendNext() error {
	c.sent++
	transport := c.keepAlive
	if c.sent%3 == 0 {
		transport = c.oneShot
	}
	path := "/look/x"
	method := http.MethodGet
	if c.sent%4 == 0 {
		path = "/rollout-step/x"
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Request-Id", fmt.Sprintf("soak-%d", c.sent))
	request.Header.Set("Request-Timeout", "700m")
	request.AddCookie(&http.Cookie{Name: "k", Value: fmt.Sprint(c.rng.Uint32())})
	c.requests.Go(func() { c.count(transport.RoundTrip(request)) })
	return nil
}

// count counts the answer to a request.
func (c *soakClient) count(response *http.Response, err error) {
	if err != nil {
		c.other.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status counts, also if the body breaks off
	response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		c.satisfied.Add(1)
	case http.StatusServiceUnavailable:
		c.deferred.Add(1)
	default:
		c.other.Add(1)
	}
}

// runSoak sends requests to an agent over HTTP for a long time, while one build replaces another at even intervals.
func runSoak(options soakOptions, log *slog.Logger) (soakReport, error) {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return soakReport{}, err
	}
	backends := &httpBackends{discovery: discovery}
	defer backends.close()
	if err := backends.replace(firstBuild); err != nil {
		return soakReport{}, err
	}
	station, err := newStation(discovery.Address, releasedBuild, log)
	if err != nil {
		return soakReport{}, err
	}
	agent, err := runAgent(httpagent.New(station), station.Listen, func() {})
	if err != nil {
		return soakReport{}, err
	}
	client := newSoakClient(agent.address, options.seed)
	report, err := soakAgent(options, client, backends)
	client.requests.Wait()
	report.sent = client.sent
	report.satisfied = client.satisfied.Load()
	report.deferred = client.deferred.Load()
	report.other = client.other.Load()
	return report, errors.Join(err, agent.stop())
}

// soakAgent sends requests at the rate of the options until their duration has passed. It replaces the backends, and
// measures memory and goroutines at the end of each quarter.
func soakAgent(options soakOptions, client *soakClient, backends *httpBackends) (soakReport, error) {
	var report soakReport
	build := firstBuild
	start := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(options.rate))
	defer ticker.Stop()
	for quarter := 0; quarter < quarterCount; {
		<-ticker.C
		if err := client.sendNext(); err != nil {
			return report, err
		}
		elapsed := time.Since(start)
		due := firstBuild + int(soakBuilds*elapsed/options.duration)
		if due > build && due < firstBuild+soakBuilds {
			build = due
			report.builds++
			if err := backends.replace(build); err != nil {
				return report, err
			}
		}
		if elapsed >= options.duration*time.Duration(quarter+1)/quarterCount {
			report.memoryByQuarter[quarter] = memoryInUse()
			report.goroutinesByQuarter[quarter] = runtime.NumGoroutine()
			quarter++
		}
	}
	return report, nil
}
