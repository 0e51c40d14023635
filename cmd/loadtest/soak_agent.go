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
	soakBuilds         = 20 // successive builds of a run
	// releasedBuild is later than all builds of the run, so that each of them is released.
	releasedBuild = 1000
	// backendCloseDelay is how long replaced backends continue to serve.
	backendCloseDelay = time.Second
	// maxMemoryGrowth is the allowed memory growth in bytes during the second half of a run. The memory that the Go
	// runtime retains varies by some hundred kilobytes.
	maxMemoryGrowth = 2 << 20
	megabyte        = 1 << 20
	// newConnectionOneIn and rolloutOneIn determine which requests use a new connection or are of the workload
	// rollout-step: one in so many.
	newConnectionOneIn = 3
	rolloutOneIn       = 4
	quarterCount       = 4
	// soakBodyBytes is the size of a response of a backend.
	soakBodyBytes = 200
	// soakIdleConnections bounds the idle connections of the client.
	soakIdleConnections = 64
)

// errUnanswered is the error of a run in which a request was not answered or none was satisfied.
var errUnanswered = errors.New("requests were not answered, or none was satisfied")

// soakOptions are the flags of the command soak agent.
type soakOptions struct {
	duration time.Duration
	rate     int // requests per second
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

// soakReport is the result of a run. Its memory includes that of clients and backends.
type soakReport struct {
	sent                int64
	satisfied           int64
	deferred            int64
	other               int64
	builds              int                   // number that replaced an earlier build
	memoryByQuarter     [quarterCount]float64 // bytes of heap and stacks at the end of each quarter, after a GC
	goroutinesByQuarter [quarterCount]int     // at the end of each quarter
}

// String returns the report as one line of key=value pairs.
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

// check returns an error if memory grew during the second half, or if requests were not answered.
func (r soakReport) check() error {
	if r.satisfied == 0 || r.satisfied+r.deferred+r.other != r.sent {
		return errUnanswered
	}
	growth := r.memoryByQuarter[quarterCount-1] - r.memoryByQuarter[quarterCount/2-1]
	if growth > maxMemoryGrowth {
		return fmt.Errorf("memory grew by %.2f MB in the second half", growth/megabyte)
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

// replace starts the backends of a build, registers them, and closes the previous ones after backendCloseDelay.
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
		_ = server.Close() // errors of closing a listener have no effect here
	}
}

// startHTTPBackend starts a backend that responds after a latency, and returns its server and address.
func startHTTPBackend(latency time.Duration) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	body := strings.Repeat("x", soakBodyBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // incomplete requests are answered as well
		time.Sleep(latency)
		w.Header().Set("Server-Load", "queue=0")
		_, _ = io.WriteString(w, body) // the agent detects incomplete responses
	})}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, listener.Addr().String(), nil
}

// soakClient sends requests to an agent and counts the responses by their outcome.
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
		keepAlive: &http.Transport{MaxIdleConnsPerHost: soakIdleConnections, IdleConnTimeout: time.Second},
		oneShot:   &http.Transport{DisableKeepAlives: true},
	}
}

// sendNext starts the next request. All IDs and most keys are unique. One request in three uses a new connection, and
// one in four is of the workload that must be executed at most once.
func (c *soakClient) sendNext() error {
	c.sent++
	transport := c.keepAlive
	if c.sent%newConnectionOneIn == 0 {
		transport = c.oneShot
	}
	path := "/look/x"
	method := http.MethodGet
	if c.sent%rolloutOneIn == 0 {
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

// count counts the response to a request.
func (c *soakClient) count(response *http.Response, err error) {
	if err != nil {
		c.other.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status is counted, even if the body is incomplete
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

// runSoak sends requests to an agent over HTTP while builds replace one another at even intervals.
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

// soakAgent sends requests at the rate and for the duration of the options. It replaces the backends with those of the
// next build at even intervals, and measures memory and goroutines at the end of each quarter.
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
