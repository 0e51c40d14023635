package cluster

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/replication"
)

// heartbeatLoop sends heartbeats until the context ends.
func (b *Backend) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(b.cluster.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		b.sendHeartbeat()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends the state of the backend to a controller, and reports whether a controller acknowledged it.
func (b *Backend) sendHeartbeat() (acknowledged bool) {
	b.mu.Lock()
	b.heartbeats++
	heartbeat := replication.Heartbeat{
		Service:    b.Service,
		Address:    b.Address,
		Zone:       b.Zone,
		Version:    b.Build,
		Capacity:   slotsPerBackend,
		Phase:      replication.PhaseReady,
		WarmUpLeft: fmt.Sprint(max(0, time.Until(b.warmingUntil).Milliseconds()), "ms"),
		CallCount:  b.heartbeats,
	}
	if b.draining {
		heartbeat.Phase = replication.PhaseDraining
	}
	b.mu.Unlock()
	body, _ := easyjson.Marshal(&heartbeat) // cannot fail: strings and numbers only
	return b.callController(calls.Heartbeat, body)
}

// callController calls the controller that responded last, and then the others until one acknowledges the call.
func (b *Backend) callController(call calls.Name, body []byte) (acknowledged bool) {
	b.mu.Lock()
	preferred := b.controller
	b.mu.Unlock()
	for _, address := range append([]string{preferred}, b.cluster.ControllerAddresses()...) {
		url := "http://" + address + "/api/rpc?call=" + string(call) + "&of=" + b.incarnation()
		response, err := b.controlClient.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 != 2 {
			continue
		}
		b.mu.Lock()
		b.controller = address
		b.mu.Unlock()
		return true
	}
	return false
}
