package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is an appliance as discovery lists it.
type Entry struct {
	Name, Address string
	Build         int
	Draining      bool
}

// Discovery lists appliances, and tells each change to those who watch.
type Discovery struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	version int
	body    string
	changed chan struct{}
}

// NewDiscovery starts one that lists nobody yet.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	d.SetEntries(nil)
	go d.server.Serve(listener)
	return d, nil
}

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// SetEntries replaces the list, and tells it. It returns when the list is there to be written to those who watch.
func (d *Discovery) SetEntries(entries []Entry) {
	type instance struct {
		ID        string  `json:"instanceId"`
		At        string  `json:"hostPort"`
		Zone      string  `json:"zone"`
		Machine   string  `json:"machineType"`
		Cell      int     `json:"cell"`
		Lifecycle string  `json:"lifecycle"`
		Weight    float64 `json:"weight"`
		Started   int64   `json:"startedAtMs"`
		Build     int     `json:"build"`
	}
	list := []instance{}
	for _, entry := range entries {
		i := instance{entry.Name, entry.Address, "home", "small", 0, "in_service", 1, 0, entry.Build}
		if entry.Draining {
			i.Lifecycle = "terminating"
		}
		list = append(list, i)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	text, _ := json.Marshal(map[string]any{"generation": d.version, "reset": true, "instances": list})
	d.body = string(text)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	for seen := ""; ; {
		d.mu.Lock()
		text, changed := d.body, d.changed
		d.mu.Unlock()
		if text == seen {
			text = ""
		} else {
			seen = text
		}
		if _, err := w.Write([]byte(text + "\n")); err != nil || flush.Flush() != nil {
			return
		}
		if r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}
