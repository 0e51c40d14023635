package hollow

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/lore"
)

// longestAnswer is what an appliance reads of an acknowledgement, in bytes: one that is longer counts as none.
const longestAnswer = 4 << 10

// Appliance pulses as one that serves, over a connection of its own; nothing listens at its address.
type Appliance struct {
	Meter    Meter
	id       string
	pulse    lore.Pulse
	control  string // of the member that it calls
	every    time.Duration
	client   *http.Client
	acked    atomic.Int64
	failures atomic.Int64
}

func newAppliance(id string, pulse lore.Pulse, control string, every time.Duration) *Appliance {
	a := &Appliance{id: id, pulse: pulse, control: control, every: every}
	a.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: a.Meter.Dial, MaxIdleConnsPerHost: 1}}
	return a
}

// run pulses until the context ends; the first pulse comes after a delay, which spreads the appliances over a period.
func (a *Appliance) run(ctx context.Context, delay time.Duration) {
	defer a.client.CloseIdleConnections()
	pause(ctx, delay)
	ticker := time.NewTicker(a.every)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if a.call(ctx) {
			a.acked.Add(1)
		} else if ctx.Err() == nil {
			a.failures.Add(1)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (a *Appliance) call(ctx context.Context) bool {
	a.pulse.CallCount++
	body, err := easyjson.Marshal(&a.pulse)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.control+"/api/rpc?call=servers.pulse&of="+a.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, longestAnswer+1))
	return err == nil && n <= longestAnswer && response.StatusCode/100 == 2
}
