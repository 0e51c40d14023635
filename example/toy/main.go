// Command toy simulates the environment of an agent on the loopback interface: discovery, the platform and three
// backends, one of which runs a build on trial. It is for trying out the agent by hand.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"sync"
	"time"
)

// backendList is the list of backends that discovery serves.
const backendList = `{"generation":1,"reset":true,"instances":[
	{"instanceId":"box-1","hostPort":"127.0.0.1:9001","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":1},
	{"instanceId":"box-2","hostPort":"127.0.0.1:9002","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":1},
	{"instanceId":"box-3","hostPort":"127.0.0.1:9003","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":2}]}`

// trialBuild is the build that the platform rolls out.
const trialBuild = 2

func main() {
	for i, build := range []int{1, 1, trialBuild} {
		address := fmt.Sprintf("127.0.0.1:%d", 9001+i)
		go serve(address, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Server-Load", "inflight=1,queue=0")
			fmt.Fprintf(w, "%s, served by build %d at %s\n", r.URL.Path, build, address)
		})
	}
	go serve("127.0.0.1:8500", discovery)
	serve("127.0.0.1:6400", (&platform{ring: 0, progress: "trial", since: time.Now()}).handle)
}

func serve(address string, handler http.HandlerFunc) {
	log.Fatal(http.ListenAndServe(address, handler))
}

// discovery serves the list of backends, which never changes. A request with the parameter watch gets a stream.
func discovery(w http.ResponseWriter, r *http.Request) {
	list := oneLine(backendList)
	if r.URL.Query().Get("watch") == "" {
		fmt.Fprintln(w, list)
		return
	}
	if r.URL.Query().Get("from") == "1" {
		list = ""
	}
	streamLines(w, r, 2*time.Second, func() string { line := list; list = ""; return line })
}

// platform rolls out trialBuild in two stages, which are called rings on the wire. A single vote advances the rollout
// or rolls it back.
type platform struct {
	mu       sync.Mutex
	ring     int
	progress string
	since    time.Time
	changes  int
}

// state returns the state of the rollout as JSON, and the number of changes so far.
func (p *platform) state() (string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ceiling := []float64{0.3, 1}[p.ring]
	if p.progress == "withdrawn" {
		ceiling = 0
	}
	return fmt.Sprintf(`{"image":2,"ring":%d,"progress":%q,"ceiling":%g,"lag_ms":%d}`,
		p.ring, p.progress, ceiling, time.Since(p.since).Milliseconds()), p.changes
}

func (p *platform) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/stream" {
		seen := -1
		streamLines(w, r, time.Second, func() string {
			if state, changes := p.state(); changes != seen {
				seen = changes
				return `{"type":"ROLLOUT","object":` + state + `}`
			}
			return "{}"
		})
		return
	}
	var vote struct {
		Image, Ring int
		Opinion     string
	}
	if json.NewDecoder(r.Body).Decode(&vote) != nil || vote.Image != trialBuild {
		http.Error(w, `{"error":"out_of_date"}`, http.StatusConflict)
		return
	}
	p.vote(vote.Ring, vote.Opinion)
	state, _ := p.state()
	fmt.Fprintln(w, state)
}

// vote applies a vote if it changes the rollout. A vote to advance must be for the present stage.
func (p *platform) vote(ring int, opinion string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case opinion == "back" && p.progress != "withdrawn":
		p.progress = "withdrawn"
	case opinion == "on" && p.progress == "trial" && ring == p.ring && p.ring == 0:
		p.ring = 1
	case opinion == "on" && p.progress == "trial" && ring == p.ring:
		p.progress = "released"
	default:
		return
	}
	p.since, p.changes = time.Now(), p.changes+1
	log.Printf("build=2 ring=%d progress=%s", p.ring, p.progress)
}

// streamLines writes a line to the response at every interval, until the client disconnects.
func streamLines(w http.ResponseWriter, r *http.Request, interval time.Duration, line func() string) {
	for {
		fmt.Fprintln(w, line())
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}

// oneLine returns a JSON text without line breaks.
func oneLine(text string) string {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		log.Fatal(err)
	}
	line, _ := json.Marshal(v)
	return string(line)
}
