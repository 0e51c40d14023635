package hollow

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/replication"
)

const (
	heartbeatTimeout = time.Second
	// maxAcknowledgementBytes bounds the body of an acknowledgement; a longer one counts as a failure.
	maxAcknowledgementBytes = 4 << 10
)

// Backend is a hollow backend. It sends heartbeats over its own connection. Nothing listens at its address.
type Backend struct {
	Meter             Meter
	id                string
	heartbeat         replication.Heartbeat
	controllerAddress string
	interval          time.Duration
	client            *http.Client
	acknowledged      atomic.Int64
	failures          atomic.Int64
}

func newBackend(id string, heartbeat replication.Heartbeat, controllerAddress string, interval time.Duration) *Backend {
	b := &Backend{id: id, heartbeat: heartbeat, controllerAddress: controllerAddress, interval: interval}
	transport := &http.Transport{DialContext: b.Meter.Dial, MaxIdleConnsPerHost: 1}
	b.client = &http.Client{Timeout: heartbeatTimeout, Transport: transport}
	return b
}

// run sends heartbeats until the context ends, beginning after a delay.
func (b *Backend) run(ctx context.Context, delay time.Duration) {
	defer b.client.CloseIdleConnections()
	sleep(ctx, delay)
	ticker := time.NewTicker(b.interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if b.sendHeartbeat(ctx) {
			b.acknowledged.Add(1)
		} else if ctx.Err() == nil {
			b.failures.Add(1)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat, and reports whether it was acknowledged.
func (b *Backend) sendHeartbeat(ctx context.Context) bool {
	b.heartbeat.CallCount++
	body, err := easyjson.Marshal(&b.heartbeat)
	if err != nil {
		return false
	}
	url := "http://" + b.controllerAddress + "/api/rpc?call=" + string(calls.Heartbeat) + "&of=" + b.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAcknowledgementBytes+1))
	return err == nil && n <= maxAcknowledgementBytes && response.StatusCode/100 == 2
}
