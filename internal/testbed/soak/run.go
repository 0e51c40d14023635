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

// Options say how a plan is played.
type Options struct {
	Plan   Plan
	Binary string // the load balancer's program
	Log    func(format string, arguments ...any)
}

const (
	meanWork          = 30 * time.Millisecond
	drainTime         = 3 * time.Second
	arrivalMargin     = 300 * time.Millisecond // beyond drainTime, of a request that was on its way
	shutdownGrace     = 6 * time.Second
	heartbeatInterval = 600 * time.Millisecond
	startTimeout      = 20 * time.Second
	clientsPerProxy   = 2
	firstVersion      = 100 // of the operators' orders; the first configuration has version 1

	// healTime is within which everything is well after the last trouble.
	healTime = 5 * time.Second

	// quietTime is how long idle connections to backends rest; then descriptors are counted.
	quietTime = 5 * time.Second
)

// run is a plan that is being played.
type run struct {
	plan        Plan
	cluster     *cluster.Cluster
	fleet       *fleet
	book        *book
	findings    *findings
	requests    *requestLog
	counts      *counts
	perRequest  *http.Client
	directories []string          // addresses
	proxyNames  map[string]string // by address
	operators   []*operator
	startedAt   time.Time
	log         func(format string, arguments ...any)
}

// Run plays a plan and returns what was found. No process and no folder is left, also when ctx ends early.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if _, err := os.Stat(options.Binary); err != nil {
		return nil, errors.Wrap(err, "the load balancer's program")
	}
	running, err := cluster.Start(cluster.Options{
		Proxies:           options.Plan.Proxies,
		Backends:          options.Plan.Backends,
		Seed:              options.Plan.Seed,
		MeanWork:          meanWork,
		DrainTime:         drainTime,
		WarmUp:            newWarmUp,
		ShutdownGrace:     shutdownGrace,
		HeartbeatInterval: heartbeatInterval,
		ArrivalBound:      drainTime + arrivalMargin,
		Dir:               dir,
		Logger:            zap.NewNop(),
		Binary:            options.Binary,
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
		fleet:      newFleet(running, options.Plan, found),
		book:       newBook(),
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
	for i := range operators + 1 { // the last one sends the big orders
		r.operators = append(r.operators, &operator{
			number:   i,
			run:      r,
			client:   client.New(rotated(running.ControllerAddresses(), i)),
			rng:      rand.New(rand.NewPCG(options.Plan.Seed, 200+uint64(i))),
			versions: versions,
		})
	}
	r.fleet.bigOrder = r.operators[operators].sendBig
	return r
}

// rotated returns a list that begins at another element.
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
	wait(ctx, denyBound) // until then it may not be in force everywhere
	return ctx.Err()
}

// play brings the troubles about while clients, operators and probes are at work, and checks that everything heals: after
// the last trouble, and once more after all processes were killed.
func (r *run) play(ctx context.Context) {
	r.startedAt = time.Now()
	r.counts.measure("before", r.cluster.ProcessIDs())
	workers, stopWorkers := context.WithCancel(ctx)
	var working sync.WaitGroup
	r.startWorkers(workers, &working)
	r.fleet.play(ctx)
	r.log("troubles are over after %v", time.Since(r.startedAt).Round(time.Millisecond))
	r.checkHealed(ctx, "after the last trouble")
	if ctx.Err() == nil {
		proxies, controllers := r.plan.nodes(AllNodes, 0)
		r.fleet.eachNode(append(proxies, controllers...), func(name string) { r.fleet.kill(ctx, name, 0) })
		r.checkHealed(ctx, "after all processes were killed")
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
			run:    r,
			habit:  habit(i % int(habits)),
			rng:    rand.New(rand.NewPCG(r.plan.Seed, 300+uint64(i))),
			zone:   zones[i%len(zones)],
			lastID: lastID,
		}
		working.Go(func() { c.loop(ctx) })
	}
	for _, operator := range r.operators[:operators] {
		working.Go(func() { operator.loop(ctx) })
	}
	for i := range probers {
		working.Go(func() { r.probeLoop(ctx, rand.New(rand.NewPCG(r.plan.Seed, 410+uint64(i)))) })
	}
	working.Go(func() { r.readLoop(ctx, rand.New(rand.NewPCG(r.plan.Seed, 401))) })
	working.Go(func() { r.sampleLoop(ctx) })
}

// checkHealed checks that within healTime every proxy is ready and serves, and every controller reads.
func (r *run) checkHealed(ctx context.Context, when string) {
	deadline := time.Now().Add(healTime)
	ill := r.illNodes(ctx)
	for len(ill) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		wait(ctx, clientRetry)
		ill = r.illNodes(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	for node, text := range ill {
		r.findings.add(finding{node: node, text: fmt.Sprintf("not healed %v %s: %s", healTime, when, text)})
	}
}

// illNodes returns what is wrong with nodes, by name.
func (r *run) illNodes(ctx context.Context) map[string]string {
	ill := map[string]string{}
	for i := range r.plan.Proxies {
		url := "http://" + r.cluster.ReadinessAddress(i) + "/api/ready"
		if status, _ := r.get(ctx, url, readTimeout); status != http.StatusOK {
			ill[cluster.ProxyName(i)] = fmt.Sprint("readiness ", status)
		}
	}
	for i, zone := range cluster.ZoneNames() {
		if !r.checkRead(ctx, i) {
			ill[cluster.ControllerName(zone)] = "the configuration can't be read"
		}
	}
	return ill
}

// checkEnd checks the state at the end: everything acknowledged is in force at every proxy, backends that were removed
// got nothing, and no process holds more than before.
func (r *run) checkEnd(ctx context.Context) {
	wait(ctx, calmBound+clientRetry)
	for _, route := range r.book.names() {
		if len(route) > len("big-") && route[:len("big-")] == "big-" {
			continue // thousands; a few were probed meanwhile
		}
		for i := range r.plan.Proxies {
			if sent := r.probe(ctx, i, route, 0); ctx.Err() == nil {
				r.judgeAndCount(sent)
				r.judgeFinal(sent)
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
	wait(ctx, quietTime)
	r.counts.measure("after", r.cluster.ProcessIDs())
	for node, text := range r.counts.leaks() {
		r.findings.add(finding{node: node, text: text})
	}
}

// judgeFinal checks a probe of a route that is known to be there, when everything is calm.
func (r *run) judgeFinal(sent *probe) {
	want := sent.want
	if want.uncertain || want.service == "" || sent.heldAnother {
		return
	}
	if sent.status/100 != 2 && sent.status != http.StatusNotFound { // a 404 is a finding already
		r.findings.add(finding{at: sent.sentAt, node: sent.proxy,
			text: fmt.Sprintf("route %s got %d when all was calm", sent.route, sent.status)})
	}
}
