package hollow

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/replication"
)

// maxAcknowledgementBytes is what an appliance reads of an acknowledgement, in bytes: one that is longer counts as none.
const maxAcknowledgementBytes = 4 << 10

// Backend pulses as one that serves, over a connection of its own; nothing listens at its address.
type Backend struct {
	Meter             Meter
	id                string
	heartbeat         replication.Heartbeat
	controllerAddress string // of the member that it calls
	interval          time.Duration
	client            *http.Client
	acknowledged      atomic.Int64
	failures          atomic.Int64
}

func newBackend(id string, heartbeat replication.Heartbeat, controllerAddress string, interval time.Duration) *Backend {
	a := &Backend{id: id, heartbeat: heartbeat, controllerAddress: controllerAddress, interval: interval}
	a.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: a.Meter.Dial, MaxIdleConnsPerHost: 1}}
	return a
}

// run pulses until the context ends; the first pulse comes after a delay, which spreads the appliances over a period.
func (a *Backend) run(ctx context.Context, delay time.Duration) {
	defer a.client.CloseIdleConnections()
	sleep(ctx, delay)
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if a.sendHeartbeat(ctx) {
			a.acknowledged.Add(1)
		} else if ctx.Err() == nil {
			a.failures.Add(1)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (a *Backend) sendHeartbeat(ctx context.Context) bool {
	a.heartbeat.CallCount++
	body, err := easyjson.Marshal(&a.heartbeat)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.controllerAddress+"/api/rpc?call=servers.pulse&of="+a.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAcknowledgementBytes+1))
	return err == nil && n <= maxAcknowledgementBytes && response.StatusCode/100 == 2
}
