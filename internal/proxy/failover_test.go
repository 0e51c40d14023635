package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/config"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
)

const (
	// silentDialTimeout is how long a dial to a powered-off machine takes. It equals the dial timeout of package rpc.
	silentDialTimeout = time.Second

	// maxFailover bounds the time from the loss of a controller until its proxies are up to date again. It is the
	// users' bound on the delay of a configuration change.
	maxFailover = 3 * time.Second

	groupOrigin = "group"
	groupPort   = "7000"
)

// groupNetwork is a control group on an in-memory network with a simulated clock. All controllers respond from one log.
// A machine that is not up neither accepts nor refuses connections and sends no responses.
type groupNetwork struct {
	mu      sync.Mutex
	members []membership.Member
	up      map[string]bool // by address
	servers map[string]*http.Server
	pipes   map[string]*pipeListener
	items   []replication.Item
	changed chan struct{} // closed and replaced by publish
}

func newGroupNetwork() *groupNetwork {
	return &groupNetwork{
		up:      map[string]bool{},
		servers: map[string]*http.Server{},
		pipes:   map[string]*pipeListener{},
		changed: make(chan struct{}),
	}
}

// add starts a controller and makes it a member. Its address ends with the given host number.
func (n *groupNetwork) add(zone string, host int) (address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address = net.JoinHostPort(fmt.Sprintf("10.0.0.%d", host), groupPort)
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.serve(address, w, r) })}
	n.up[address] = true
	n.servers[address], n.pipes[address] = server, listener
	n.members = append(n.members, membership.Member{Node: address, Zone: zone, Addr: address})
	go func() { _ = server.Serve(listener) }() // returns http.ErrServerClosed
	return address
}

// powerOff powers off the machine of a controller. The controller remains a member.
func (n *groupNetwork) powerOff(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.up, address)
}

// powerOn powers the machine of a controller on again.
func (n *groupNetwork) powerOn(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up[address] = true
}

// remove removes a controller from the members.
func (n *groupNetwork) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, member := range n.members {
		if member.Addr == address {
			n.members = append(n.members[:i:i], n.members[i+1:]...)
			return
		}
	}
}

// publishRoute adds a route to the configuration of all members.
func (n *groupNetwork) publishRoute(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	version := uint64(len(n.items) + 1)
	n.items = append(n.items, routeItem(config.Key(config.KindRoutes, name), version, "/"+name+"/"))
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *groupNetwork) isUp(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up[address]
}

// serve answers a pull as a controller with quorum does: immediately if the proxy lacks items, otherwise when there are
// new items or the request's wait has passed. A machine that is powered off in the meantime never responds.
func (n *groupNetwork) serve(address string, w http.ResponseWriter, r *http.Request) {
	request := &message.PullRequest{}
	if !rpc.ReadRequest(w, r, request) {
		return
	}
	n.mu.Lock()
	changed, upToDate := n.changed, int(request.Progress[groupOrigin]) == len(n.items)
	n.mu.Unlock()
	if upToDate && len(request.Progress) > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(request.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if !n.isUp(address) {
		<-r.Context().Done()
		return
	}
	rpc.WriteResponse(w, n.response(request))
}

func (n *groupNetwork) response(request *message.PullRequest) *message.PullResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	response := pullResponse(replication.Vector{groupOrigin: uint64(len(n.items))})
	response.Items = n.items[min(len(n.items), int(request.Progress[groupOrigin])):]
	response.Complete = len(request.Progress) == 0
	response.Members = n.members
	response.NowMs = time.Now().UnixMilli()
	return response
}

// dial connects to a controller that is up. A dial to any other machine times out.
func (n *groupNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.pipes[address]
	up := n.up[address]
	n.mu.Unlock()
	if !up {
		select {
		case <-time.After(silentDialTimeout):
			return nil, errors.New("dial: i/o timeout")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	client, server := net.Pipe()
	listener.conns <- server
	return client, nil
}

// close stops all controllers.
func (n *groupNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, server := range n.servers {
		_ = server.Close() // closing a pipe cannot fail
	}
}

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// runSubscription runs the subscription of a proxy in zone "a1" of region "a" against a control group, on a simulated
// clock, until script returns. The subscription starts with the given seeds.
func runSubscription(t *testing.T, n *groupNetwork, seeds []string, script func(p *Proxy)) {
	t.Helper()
	p := New(Options{
		Log:  zap.NewNop(),
		Dial: n.dial,
		Settings: &settings.Settings{
			Node:          "n",
			IP:            "10.0.0.250",
			Zone:          "a1",
			Region:        "a",
			Zones:         map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"},
			PeerPortRange: []int{7000, 7001},
			SeedAddresses: seeds,
			RuleLimits:    settings.RuleLimits{DrainTime: 3 * time.Second, HeartbeatInterval: time.Second},
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.subscription.run(ctx)
	}()
	defer func() { // deferred so that it also runs if the script fails the test
		cancel()
		<-done
		p.subscription.client.CloseIdleConnections()
		n.close()
		synctest.Wait()
	}()
	script(p)
}

// awaitRoute waits until a proxy serves a route, and fails the test if that takes longer than limit.
func awaitRoute(t *testing.T, p *Proxy, name string, limit time.Duration) {
	t.Helper()
	started := time.Now()
	for p.routingTable.Load().FindRoute("h", "/"+name+"/x") == nil {
		if time.Since(started) > limit {
			t.Fatalf("route %s is not served after %s", name, limit)
		}
		time.Sleep(10 * time.Millisecond) // on the simulated clock
	}
	t.Logf("route %s is served after %s", name, time.Since(started))
}

// The controllers of a region are lost permanently and replaced, one after the other. After each loss the proxies of
// the region must find a running controller within maxFailover, however many controllers were lost before.
func TestFailoverAfterManyReplacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGroupNetwork()
		own, other := n.add("a1", 1), n.add("a2", 2)
		seeds := []string{own, other, n.add("b1", 3)}
		n.publishRoute("first")
		runSubscription(t, n, seeds, func(p *Proxy) {
			time.Sleep(2 * time.Second) // on the simulated clock
			awaitRoute(t, p, "first", 0)
			for loss := range 8 {
				zone, lost := "a1", &own
				if loss%2 == 1 {
					zone, lost = "a2", &other
				}
				n.powerOff(*lost)
				name := fmt.Sprintf("after-loss-%d", loss+1)
				n.publishRoute(name)
				awaitRoute(t, p, name, maxFailover)
				n.remove(*lost)
				*lost = n.add(zone, 10+loss)
				n.publishRoute(name + "-replaced")
				awaitRoute(t, p, name+"-replaced", maxFailover)
				time.Sleep(10 * time.Second) // on the simulated clock
			}
		})
	})
}

// Three controllers of a region are lost permanently, the last of them before its successor is known, and no settings
// are reloaded. Regression test for the incident in docs/incidents/lost-in-failover.md.
func TestFailoverAfterThirdLossInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGroupNetwork()
		a1, b1 := n.add("a1", 1), n.add("a2", 31)
		seeds := []string{a1, b1, n.add("b1", 50)}
		n.publishRoute("first")
		runSubscription(t, n, seeds, func(p *Proxy) {
			time.Sleep(8 * time.Second) // on the simulated clock
			n.powerOff(a1)
			n.remove(a1)
			a3 := n.add("a1", 3)
			n.publishRoute("second")
			time.Sleep(8 * time.Second) // on the simulated clock
			awaitRoute(t, p, "second", 0)
			n.powerOff(b1)
			n.remove(b1)
			n.add("a2", 33)
			n.publishRoute("third")
			time.Sleep(28 * time.Second) // on the simulated clock
			awaitRoute(t, p, "third", 0)
			n.powerOff(a3)
			n.publishRoute("fourth")
			awaitRoute(t, p, "fourth", maxFailover)
		})
	})
}

// All controllers of a region stop responding at the same time. The proxy must switch to another region within
// maxFailover, and back once a nearer controller is up again.
func TestFailoverBeyondRegionAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newGroupNetwork()
		var region []string
		for host := range 6 {
			region = append(region, n.add([]string{"a1", "a2"}[host%2], 1+host))
		}
		far := n.add("b1", 50)
		n.publishRoute("first")
		runSubscription(t, n, []string{region[0], region[1], far}, func(p *Proxy) {
			time.Sleep(2 * time.Second) // on the simulated clock
			for _, address := range region {
				n.powerOff(address)
			}
			n.publishRoute("second")
			awaitRoute(t, p, "second", maxFailover)
			time.Sleep(20 * time.Second) // on the simulated clock
			if source := p.subscription.source(); source != far {
				t.Fatalf("pulls from %s, want the only controller that is up, %s", source, far)
			}
			n.powerOn(region[1])
			time.Sleep(40 * time.Second) // on the simulated clock
			if source := p.subscription.source(); source != region[1] {
				t.Errorf("pulls from %s, want the nearer %s again", source, region[1])
			}
		})
	})
}
