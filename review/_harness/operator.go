package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// orderClient opens a connection for each call.
var orderClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call to the controller of a machine. It returns status 0 if there is no answer within a second.
func (f *fleet) call(who string, machine int, query string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + f.address(machine, "control") + "/api/rpc?" + query
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	f.rec.add("%s sends %s to %s %s", who, query, zones[machine], body)
	response, err := orderClient.Do(request)
	if err == nil {
		defer response.Body.Close()
		status = response.StatusCode
		answer, err = io.ReadAll(io.LimitReader(response.Body, 1<<20))
	}
	if err != nil {
		f.rec.add("%s gets no answer to %s from %s: %v", who, query, zones[machine], err)
		return 0, nil
	}
	f.rec.add("%s gets %d to %s from %s %.200s", who, status, query, zones[machine], answer)
	return status, answer
}

// order makes a call as operators do: it goes on to the next machine after a failure, a 5xx, a 408 or 429 or a second of
// silence, until there is a clear answer or the time is over. The first machine is the first of the list.
func (f *fleet) order(who, query string, body []byte, machines []int, limit time.Duration) (status int, answer []byte) {
	until := time.Now().Add(limit)
	pause := 100 * time.Millisecond
	for try := 0; time.Now().Before(until); try++ {
		status, answer = f.call(who, machines[try%len(machines)], query, body)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, 800*time.Millisecond)
	}
	return 0, nil
}

// item is an item of the configuration.
type item struct {
	Type     string         `json:"type"`
	Metadata map[string]any `json:"metadata"`
	Body     map[string]any `json:"body"`
}

func change(items ...item) []byte {
	data, _ := json.Marshal(map[string]any{
		"putItems": map[string]any{"items": items}, "remove": map[string]any{"routes": []any{}},
	})
	return data
}

func version(number int) string { return fmt.Sprintf("%08x", number) }

func route(name string, number int, host, path, kind, service string) item {
	return item{Type: "routes", Metadata: map[string]any{"name": name, "version": version(number)}, Body: map[string]any{
		"host": host, "pathStart": path, "kind": kind, "giveUp": "1500ms", "target_time": "600ms", "rank": 1,
		"service": service, "tries": 2, "homeRegions": []string{},
	}}
}

func service(name string, number int) item {
	return item{Type: "services", Metadata: map[string]any{"name": name, "version": version(number)}, Body: map[string]any{
		"checkPath": "/health", "maxLinks": 130, "protocol": "h1", "secure": false, "warmUp": "3s", "warmingRateS": 5.4,
	}}
}

func limits(number int) item {
	return item{Type: "limits", Metadata: map[string]any{"version": version(number)}, Body: map[string]any{
		"headSizeBytes": 16384, "bodySizeBytes": 67108864, "headWait": "3000ms", "quiet": "15000ms",
	}}
}
