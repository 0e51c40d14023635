package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the maximum time between two lines of a watch.
const heartbeatInterval = time.Second

// Entry is a backend in the list of the discovery service.
type Entry struct {
	Name     string
	Address  string
	Build    int
	Draining bool
}

// instance is the wire format of an entry.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Build       int     `json:"build"`
}

// catalog is the wire format of the list.
type catalog struct {
	Generation int        `json:"generation"`
	Instances  []instance `json:"instances"`
	Reset      bool       `json:"reset"`
}

// Discovery is a fake discovery service. It lists backends and sends each change of the list to its watches.
type Discovery struct {
	Address string
	server  *http.Server

	mu      sync.Mutex // guards the following
	version int
	body    string        // encoded list
	changed chan struct{} // closed when the list changes
}

// NewDiscovery starts a discovery service with an empty list.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	d.SetEntries(nil)
	go serve(d.server, listener)
	return d, nil
}

// Close stops the discovery service and breaks its watches.
func (d *Discovery) Close() {
	_ = d.server.Close() // fails only if the listener is already closed
}

// SetEntries replaces the list and notifies the watches. Requests that arrive after it returns get the new list.
func (d *Discovery) SetEntries(entries []Entry) {
	list := catalog{Instances: []instance{}, Reset: true}
	for _, entry := range entries {
		i := instance{
			ID:          entry.Name,
			HostPort:    entry.Address,
			Zone:        "home",
			MachineType: "small",
			Lifecycle:   "in_service",
			Weight:      1,
			Build:       entry.Build,
		}
		if entry.Draining {
			i.Lifecycle = "terminating"
		}
		list.Instances = append(list.Instances, i)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	list.Generation = d.version
	body, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("encode list: %v", err)) // cannot happen: all fields can be encoded
	}
	d.body = string(body)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP writes the list once or, for a watch, whenever it changes. A watch receives empty lines as heartbeats.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	watch := r.URL.Query().Get("watch") != ""
	for written := ""; ; {
		body, changed := d.current()
		line := body
		if body == written {
			line = ""
		}
		written = body
		if _, err := w.Write([]byte(line + "\n")); err != nil || controller.Flush() != nil || !watch {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// current returns the encoded list and a channel that is closed when the list changes.
func (d *Discovery) current() (body string, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.body, d.changed
}
