package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is how long a watch is silent at most.
const heartbeatInterval = time.Second

// Entry is a backend as discovery lists it.
type Entry struct {
	Name     string
	Address  string
	Build    int
	Draining bool
}

// instance is an entry as discovery writes it.
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

// catalog is a list as discovery writes it.
type catalog struct {
	Generation int        `json:"generation"`
	Instances  []instance `json:"instances"`
	Reset      bool       `json:"reset"`
}

// Discovery lists backends, and sends each change to those who watch.
type Discovery struct {
	Address string
	server  *http.Server

	mu      sync.Mutex // guards the following
	version int
	body    string        // the list as it is written
	changed chan struct{} // closed when the list changes
}

// NewDiscovery starts a discovery that lists no backend yet.
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

// Close ends the discovery; its watches break.
func (d *Discovery) Close() {
	_ = d.server.Close() // it fails only if the listener is closed already
}

// SetEntries replaces the list. When it returns, the list is there to be written to those who watch.
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
		panic(fmt.Sprintf("a list that cannot be written: %v", err)) // it has nothing that JSON cannot write
	}
	d.body = string(body)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP writes the list once or, for a watch, whenever it changes. A watch gets an empty line as a heartbeat.
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

// current returns the list as it is written, and the channel that is closed when it changes.
func (d *Discovery) current() (body string, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.body, d.changed
}
