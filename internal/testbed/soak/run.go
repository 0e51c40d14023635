package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/client"
	"sagelever/internal/testbed/cluster"
)

// Options configure a run.
type Options struct {
	Plan   Plan
	Binary string // path of the load balancer's program

	// LogLevel is the log level of the processes; empty: the program's own. With debug, the log lines of a finding tell on
	// which connections a refused request was sent.
	LogLevel string

	Log func(format string, arguments ...any)
}

const (
	meanWork          = 30 * time.Millisecond
	drainTime         = 3 * time.Second
	arrivalMargin     = 300 * time.Millisecond // beyond drainTime, for requests that were in flight
	shutdownGrace     = 6 * time.Second
	heartbeatInterval = 600 * time.Millisecond
	startTimeout      = 20 * time.Second
	clientsPerProxy   = 2
	maxLinks          = 14  // of a backend
	firstVersion      = 100 // the first order has the next version; the initial configuration has version 1

	// recoveryTime is how long the system may take to recover after the last trouble.
	recoveryTime = 5 * time.Second

	// idleTime is the pause before descriptors are counted, in which idle connections to backends are closed.
	idleTime = 5 * time.Second
)

// Random number streams of the seed. Operators, clients and probers add their index.
const (
	operatorStream = 200
	clientStream   = 300
	readerStream   = 401
	proberStream   = 410
)

// run is the state of a running plan.
type run struct {
	plan        Plan
	cluster     *cluster.Cluster
	injector    *injector
	routes      *routeTracker
	findings    *findings
	requests    *requestLog
	counts      *counts
	perRequest  *http.Client
	directories []string          // addresses of the proxy directories
	proxyNames  map[string]string // by address
	operators   []*operator
	startedAt   time.Time
	log         func(format string, arguments ...any)
}

// Run executes a plan and returns a report with the findings. It stops all processes and removes its files, also if ctx
// ends early.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if _, err := os.Stat(options.Binary); err != nil {
		return nil, errors.Wrap(err, "find the load balancer's program")
	}
	running, err := cluster.Start(cluster.Options{
		Proxies:           options.Plan.Proxies,
		Backends:          options.Plan.Backends,
		Seed:              options.Plan.Seed,
		MeanWork:          meanWork,
		DrainTime:         drainTime,
		WarmUp:            newWarmUp,
		RequestTimeout:    patientTimeout,
		ShutdownGrace:     shutdownGrace,
		HeartbeatInterval: heartbeatInterval,
		ArrivalBound:      drainTime + arrivalMargin,
		Dir:               dir,
		Logger:            zap.NewNop(),
		Binary:            options.Binary,
		MaxLinks:          maxLinks,
		LogLevel:          options.LogLevel,
	})
	if running != nil {
		defer running.Close()
	}
	if err != nil {
		return nil, err
	}
	r := newRun(options, running)
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	report = r.report()
	r.addLogs(report)
	return report, ctx.Err()
}

func newRun(options Options, running *cluster.Cluster) *run {
	found := &findings{}
	r := &run{
		plan:       options.Plan,
		cluster:    running,
		injector:   newInjector(running, options.Plan, found),
		routes:     newRouteTracker(),
		findings:   found,
		requests:   &requestLog{},
		counts:     newCounts(),
		perRequest: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		proxyNames: map[string]string{},
		log:        options.Log,
	}
	for i := range options.Plan.Proxies {
		r.proxyNames[running.ProxyAddress(i)] = cluster.ProxyName(i)
	}
	r.directories = running.DirectoryAddresses()
	versions := &atomic.Uint64{}
	versions.Store(firstVersion)
	for i := range operatorCount + 1 { // the last one sends the big orders
		r.operators = append(r.operators, &operator{
			number:   i,
			run:      r,
			client:   client.New(rotated(running.ControllerAddresses(), i)),
			rng:      rand.New(rand.NewPCG(options.Plan.Seed, operatorStream+uint64(i))),
			versions: versions,
		})
	}
	r.injector.bigOrder = r.operators[operatorCount].sendBig
	return r
}

// rotated returns the list rotated left by from elements.
func rotated(list []string, from int) []string {
	from %= len(list)
	return append(append([]string{}, list[from:]...), list[:from]...)
}

// prepare configures the cluster and starts its backends.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.cluster.Configure(ctx); err != nil {
		return err
	}
	zones := cluster.ZoneNames()
	for i := range r.plan.Backends {
		service := cluster.Services[i%len(cluster.Services)]
		if _, err := r.cluster.StartBackend(service, zones[i/2%len(zones)], "v1", 0); err != nil {
			return err
		}
	}
	if err := r.cluster.SetBodyLimit(ctx, 2*streamedBytes); err != nil {
		return err
	}
	wait(ctx, notFoundBound) // until the configuration has reached all proxies
	return ctx.Err()
}

// play injects the troubles while clients, operators and probers run. It checks that the system recovers after the last
// trouble, and again after all processes were killed at once.
func (r *run) play(ctx context.Context) {
	r.startedAt = time.Now()
	r.counts.recordUsage("before", r.cluster.ProcessIDs())
	workers, stopWorkers := context.WithCancel(ctx)
	var working sync.WaitGroup
	r.startWorkers(workers, &working)
	r.injector.play(ctx)
	r.log("troubles are over after %v", time.Since(r.startedAt).Round(time.Millisecond))
	r.checkRecovery(ctx, "after the last trouble")
	if ctx.Err() == nil {
		proxies, controllers := r.plan.nodes(AllNodes, 0)
		r.injector.eachNode(append(proxies, controllers...), func(name string) { r.injector.kill(ctx, name, 0) })
		r.checkRecovery(ctx, "after all processes were killed")
	}
	stopWorkers()
	working.Wait()
	r.checkEnd(ctx)
}

func (r *run) startWorkers(ctx context.Context, working *sync.WaitGroup) {
	lastID := &atomic.Int64{}
	zones := cluster.ZoneNames()
	for i := range clientsPerProxy * r.plan.Proxies {
		c := &soakClient{
			run:      r,
			behavior: clientBehavior(i % int(clientBehaviors)),
			rng:      rand.New(rand.NewPCG(r.plan.Seed, clientStream+uint64(i))),
			zone:     zones[i%len(zones)],
			lastID:   lastID,
		}
		working.Go(func() { c.loop(ctx) })
	}
	for _, operator := range r.operators[:operatorCount] {
		working.Go(func() { operator.loop(ctx) })
	}
	for i := range proberCount {
		working.Go(func() { r.probeLoop(ctx, rand.New(rand.NewPCG(r.plan.Seed, proberStream+uint64(i)))) })
	}
	working.Go(func() { r.readLoop(ctx, rand.New(rand.NewPCG(r.plan.Seed, readerStream))) })
	working.Go(func() { r.sampleLoop(ctx) })
}

// checkRecovery checks that within recoveryTime all proxies are ready and all controllers serve reads.
func (r *run) checkRecovery(ctx context.Context, when string) {
	deadline := time.Now().Add(recoveryTime)
	unhealthy := r.unhealthyNodes(ctx)
	for len(unhealthy) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		wait(ctx, clientRetry)
		unhealthy = r.unhealthyNodes(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	for node, text := range unhealthy {
		r.findings.add(finding{node: node, text: fmt.Sprintf("not healed %v %s: %s", recoveryTime, when, text)})
	}
}

// unhealthyNodes returns a description of the failure of each unhealthy node, by name.
func (r *run) unhealthyNodes(ctx context.Context) map[string]string {
	unhealthy := map[string]string{}
	for i := range r.plan.Proxies {
		url := "http://" + r.cluster.ReadinessAddress(i) + "/api/ready"
		if status, _ := r.get(ctx, url, readTimeout); status != http.StatusOK {
			unhealthy[cluster.ProxyName(i)] = fmt.Sprint("readiness ", status)
		}
	}
	for i, zone := range cluster.ZoneNames() {
		if !r.checkRead(ctx, i) {
			unhealthy[cluster.ControllerName(zone)] = "the configuration can't be read"
		}
	}
	return unhealthy
}

// checkEnd checks the final state: all acknowledged orders are in effect at all proxies, removed backends received no
// late requests, no node exited unexpectedly, and no process leaks descriptors.
func (r *run) checkEnd(ctx context.Context) {
	wait(ctx, propagationBound+clientRetry)
	for _, route := range r.routes.names() {
		if len(route) > len(bigRoutePrefix) && route[:len(bigRoutePrefix)] == bigRoutePrefix {
			continue // too many to probe each; probeLoop has probed some
		}
		for i := range r.plan.Proxies {
			if sent := r.probe(ctx, i, route, 0); ctx.Err() == nil {
				r.checkAndCount(sent)
				r.checkFinalProbe(sent)
			}
		}
	}
	summary := r.cluster.Ledger.Summarize(r.startedAt, time.Time{})
	if summary.Late > 0 {
		r.findings.add(finding{text: fmt.Sprintf("%d requests reached a backend later than %v after its removal",
			summary.Late, drainTime+arrivalMargin)})
	}
	for err := r.cluster.Err(); err != nil; err = r.cluster.Err() {
		r.findings.add(finding{text: err.Error()})
	}
	wait(ctx, idleTime)
	r.counts.recordUsage("after", r.cluster.ProcessIDs())
	for node, text := range r.counts.leaks() {
		r.findings.add(finding{node: node, text: text})
	}
}

// checkFinalProbe checks that a route that must exist is served when the system is undisturbed.
func (r *run) checkFinalProbe(sent *probe) {
	want := sent.want
	if want.uncertain || want.service == "" || sent.stateChanged {
		return
	}
	if sent.status/100 != 2 && sent.status != http.StatusNotFound { // checkProbe has reported a 404
		r.findings.add(finding{at: sent.sentAt, node: sent.proxy,
			text: fmt.Sprintf("route %s got %d when all was calm", sent.route, sent.status)})
	}
}
