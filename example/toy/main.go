// Command toy plays, on loopback, everything that an agent needs around it: discovery, the platform and three backends,
// one of which runs a build on trial. It is for trying the agent by hand.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"sync"
	"time"
)

const members = `{"generation":1,"reset":true,"instances":[
	{"instanceId":"box-1","hostPort":"127.0.0.1:9001","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":1},
	{"instanceId":"box-2","hostPort":"127.0.0.1:9002","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":1},
	{"instanceId":"box-3","hostPort":"127.0.0.1:9003","zone":"home","machineType":"small","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0,"build":2}]}`

func main() {
	for i, build := range []int{1, 1, 2} {
		at := fmt.Sprintf("127.0.0.1:%d", 9001+i)
		go serve(at, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Server-Load", "inflight=1,queue=0")
			fmt.Fprintf(w, "%s, served by build %d at %s\n", r.URL.Path, build, at)
		})
	}
	go serve("127.0.0.1:8500", discovery)
	serve("127.0.0.1:6400", (&platform{ring: 0, progress: "trial", since: time.Now()}).answer)
}

func serve(at string, f http.HandlerFunc) { log.Fatal(http.ListenAndServe(at, f)) }

// discovery serves one list of backends, which never changes.
func discovery(w http.ResponseWriter, r *http.Request) {
	list := oneLine(members)
	if r.URL.Query().Get("watch") == "" {
		fmt.Fprintln(w, list)
		return
	}
	if r.URL.Query().Get("from") == "1" {
		list = ""
	}
	keep(w, r, 2*time.Second, func() string { line := list; list = ""; return line })
}

// platform rolls build 2 out in two stages (rings on the wire); one vote advances it or rolls it back.
type platform struct {
	mu       sync.Mutex
	ring     int
	progress string
	since    time.Time
	changes  int
}

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

func (p *platform) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/stream" {
		seen := -1
		keep(w, r, time.Second, func() string {
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
	if json.NewDecoder(r.Body).Decode(&vote) != nil || vote.Image != 2 {
		http.Error(w, `{"error":"out_of_date"}`, http.StatusConflict)
		return
	}
	p.vote(vote.Ring, vote.Opinion)
	state, _ := p.state()
	fmt.Fprintln(w, state)
}

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

// keep holds a response open and writes a line at every interval, until the client goes away.
func keep(w http.ResponseWriter, r *http.Request, every time.Duration, line func() string) {
	for {
		fmt.Fprintln(w, line())
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(every):
		}
	}
}

func oneLine(text string) string {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		log.Fatal(err)
	}
	line, _ := json.Marshal(v)
	return string(line)
}
