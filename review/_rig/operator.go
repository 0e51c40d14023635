package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// item is an entry of the configuration.
type item struct {
	Type     string         `json:"type"`
	Metadata map[string]any `json:"metadata"`
	Body     map[string]any `json:"body"`
}

func newItem(kind, name, version string, body map[string]any) item {
	metadata := map[string]any{"version": version}
	if name != "" {
		metadata["name"] = name
	}
	return item{kind, metadata, body}
}

func newRoute(name, version, host, path, kind, giveUp, target, service string) item {
	return newItem("routes", name, version, map[string]any{
		"host": host, "pathStart": path, "kind": kind, "giveUp": giveUp, "target_time": target, "rank": 1,
		"service": service, "tries": 2, "homeRegions": []string{},
	})
}

func newService(name, version string) item {
	return newItem("services", name, version, map[string]any{
		"checkPath": "/health", "maxLinks": 140, "protocol": "h1", "secure": false, "warmUp": "0ms", "warmingRateS": 5,
	})
}

func newLimits(version string, headBytes int) item {
	return newItem("limits", "", version, map[string]any{
		"headSizeBytes": headBytes, "bodySizeBytes": 67108864, "headWait": "3000ms", "quiet": "15000ms",
	})
}

// change is the body of a settings.change call.
func change(items ...item) []byte {
	body, _ := json.Marshal(map[string]any{
		"putItems": map[string]any{"items": items}, "remove": map[string]any{"routes": []any{}},
	})
	return body
}

// operator sends orders as the protocol says: to one controller after the other, each of which has a second to answer,
// unchanged, with a pause that grows, until there is a clear answer.
type operator struct {
	s    *system
	name string
	via  map[string]string // relays on the way to controllers, by the controllers' addresses
}

// order sends an order first to the controller with an index. It returns the status of the clear answer and its body, or
// 0 after 15 seconds without one.
func (o *operator) order(first int, call string, body []byte) (status int, answer []byte) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(15 * time.Second)
	pause := 100 * time.Millisecond
	for i := first; time.Now().Before(deadline); i++ {
		address := o.s.control(i % len(zones))
		o.s.note("operator %s: %s to %s, %d bytes", o.name, call, address, len(body))
		through := address
		if via := o.via[address]; via != "" {
			through = via
		}
		resp, err := client.Post("http://"+through+"/api/rpc?call="+call, "application/json", bytes.NewReader(body))
		if err != nil {
			o.s.note("operator %s: no answer: %v", o.name, err)
		} else {
			answer, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			o.s.note("operator %s: %s answers %d %.200s", o.name, address, resp.StatusCode, answer)
			isRetried := resp.StatusCode >= 500 || resp.StatusCode == 408 || resp.StatusCode == 429
			if err == nil && !isRetried {
				return resp.StatusCode, answer
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, nil
}

// configure sends the first configuration.
func (o *operator) configure(items ...item) error {
	if status, answer := o.order(0, "settings.change", change(items...)); status != http.StatusOK {
		return fmt.Errorf("the first configuration is answered with %d %s", status, answer)
	}
	return nil
}

// read returns the configuration.
func (o *operator) read() ([]item, error) {
	status, answer := o.order(0, "settings.read", nil)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the configuration is answered with %d", status)
	}
	list := struct {
		Items []item `json:"items"`
	}{}
	return list.Items, json.Unmarshal(answer, &list)
}
