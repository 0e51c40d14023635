package server

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// acceptAlone makes a member accept a value of a round that reaches no other member. The caller must hold m.mu.
func (m *testMember) acceptAlone(key string, value quorum.Value) {
	proposal := m.replica.Register(config.Key(config.KindServices, "s")).Accepted
	proposal.Number++
	m.replica.HandleRequest(m.now(), 0, message.AcceptPath, &message.PeerRequest{
		Epoch:    proposal.Epoch,
		Proposal: proposal,
		Entries:  []quorum.Entry{{Key: key, Value: value}},
	})
	m.logEntries(m.applyOutput())
}

// Guards against a part of a refused change in force: a member that is held up has accepted a route in a round that was
// defeated, and another member refuses the change with 400, as its service was removed. The first member must not bring
// the route into force when it goes on.
func TestInvalidChangeReplacesDefeatedAttempt(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", putItems(serviceItem("s", "00000001", "h")))
	holder, key := cluster.running[2], config.Key(config.KindRoutes, "r")
	waitUntil(t, "the member holds the service", func() bool {
		return holder.register(config.Key(config.KindServices, "s")).Chosen
	})
	body := putItems(routeItem("r", "00000003", "x", "s"))
	change, err := newConfigChange([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	holder.mu.Lock() // the member is held up
	holder.acceptAlone(key, change.values[key])
	cluster.mustCall(0, "settings.change", removeItem("services", "s", "00000002"))
	cluster.wantStatus(0, http.StatusBadRequest, "settings.change", body)
	holder.mu.Unlock()
	waitUntil(t, "no register is undecided", func() bool { return holder.undecidedCount() == 0 })
	for i := range memberCount {
		if text := cluster.mustCall(i, "settings.read", ""); strings.Contains(text, `"r"`) {
			t.Errorf("member %d: a refused route is in force: %s", i, text)
		}
	}
}

// Guards against a late copy of a refused change in force: once a call was refused with 400, the same call is refused by
// every member, also when it would be valid by then, and after a restart. Other calls under the same versions are not
// affected.
func TestRefusedChangeStaysRefused(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", putItems(serviceItem("s", "00000001", "h")))
	refused := putItems(routeItem("r", "00000002", "x", "z"), routeItem("q", "00000002", "y", "s"))
	cluster.wantStatus(0, http.StatusBadRequest, "settings.change", refused)
	cluster.mustCall(1, "settings.change", putItems(serviceItem("z", "00000002", "h")))
	wantRefused := func() {
		t.Helper()
		for i := range memberCount {
			cluster.wantStatus(i, http.StatusBadRequest, "settings.change", refused)
		}
		if text := cluster.mustCall(1, "settings.read", ""); strings.Contains(text, "routes") {
			t.Errorf("a part of a refused change is in force: %s", text)
		}
	}
	wantRefused()
	cluster.stopAll()
	cluster.restartAll()
	for i := range memberCount {
		cluster.awaitReady(i)
	}
	wantRefused()
	cluster.wantStatus(2, http.StatusOK, "settings.change", putItems(routeItem("r", "00000002", "x", "z")))
	cluster.wantStatus(2, http.StatusOK, "settings.change", putItems(routeItem("q", "00000002", "y", "s")))
	// By now other calls have confirmed all of its items.
	cluster.wantStatus(1, http.StatusOK, "settings.change", refused)
}

// Guards against a drain in force that was refused: a member that is held up has accepted a drain in a round that was
// defeated, and another member refuses the order, or denies that there is such a drain. The first member must not bring
// the drain into force when it goes on.
func TestRefusedDrainReplacesDefeatedAttempt(t *testing.T) {
	t.Parallel()
	const zone, target = "a1", "i1"
	for query, body := range map[string]string{
		"drains.begin":            fmt.Sprintf(`{"target":"%s"}`, target),
		"drains.end&of=" + target: "",
	} {
		t.Run(query, func(t *testing.T) {
			t.Parallel()
			cluster := newStartedCluster(t)
			cluster.mustCall(0, "settings.change", putItems(serviceItem("s", "00000001", "h")))
			holder := cluster.running[2]
			waitUntil(t, "the member holds the service", func() bool {
				return holder.register(config.Key(config.KindServices, "s")).Chosen
			})
			key := drain.ListKey(zone)
			add := drain.Add(drain.Drain{ID: target}, func(string) bool { return false }, time.Now())
			holder.mu.Lock() // the member is held up
			holder.acceptAlone(key, add(quorum.Value{}))
			cluster.wantStatus(0, http.StatusNotFound, query, body)
			holder.mu.Unlock()
			waitUntil(t, "no register is undecided", func() bool { return holder.undecidedCount() == 0 })
			for i := range memberCount {
				cluster.wantStatus(i, http.StatusNotFound, "drains.read&of="+target, "")
			}
		})
	}
}
