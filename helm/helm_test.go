package helm

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/ebb"
	"sagelever/plan"
)

func at(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// An order goes from contact to contact until one gives it a clear answer: past one that is down, one that can't now, and
// one that sends it on; a 4xx ends it, and so does the end of the caller's time.
func TestCall(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := l.Addr().String()
	l.Close()
	busy := at(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "later", http.StatusServiceUnavailable) })
	var got string
	good := at(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got = r.URL.RawQuery + " " + string(b)
		io.WriteString(w, `{"target":"x y","stood":true}`)
	})
	on := at(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+good+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	out := &ebb.Answer{}
	if err := New([]string{down, busy, on}).Call(ctx, "a.call", "x y", []byte("body"), out); err != nil || got != "call=a.call&of=x+y body" || !out.Stood {
		t.Errorf("%v, %q, %+v", err, got, out)
	}
	wrong := at(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such thing", http.StatusNotFound) })
	err = New([]string{wrong, good}).Call(ctx, "a.call", "", nil, nil)
	if r, ok := errors.Into[*Refused](err); !ok || r.Status != 404 || r.Text != "no such thing" {
		t.Errorf("a 404: %v", err)
	}
	if err := New([]string{wrong}).Undrain(ctx, "x"); err == nil {
		t.Error("what does not stand is withdrawn")
	}
	if err := New([]string{down, wrong}).Undrain(ctx, "x"); err == nil {
		t.Error("what does not stand is withdrawn, past one that is down")
	}
	if err := New([]string{busy, wrong}).Undrain(ctx, "x"); err != nil { // the first may have done it
		t.Errorf("withdrawn by an agent that gave no clear answer: %v", err)
	}
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := New([]string{down, busy}).Call(short, "a.call", "", nil, nil); err == nil || !strings.Contains(err.Error(), "no clear answer in time") {
		t.Errorf("nobody can: %v", err)
	}
}

// Paced, a target without room for all of it goes one after the other, each once there is room, and one word stands for all
// in the end; where the time ends first, what is drained is said, and stays.
func TestPaced(t *testing.T) {
	drained := map[string]bool{}
	room := 1 // how many may be gone
	h := func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Query().Get("of")
		if r.URL.Query().Get("call") == "drains.end" {
			delete(drained, name)
			return
		}
		b, _ := io.ReadAll(r.Body)
		word := &plan.DrainWord{}
		if easyjson.Unmarshal(b, word) != nil {
			t.Errorf("%s", b)
		}
		gone := map[string]bool{"i1": drained["i1"] || drained["z"], "i2": drained["i2"] || drained["z"]}
		for _, id := range []string{"i1", "i2"} {
			gone[id] = gone[id] || word.Target == id || word.Target == "z"
		}
		if n := map[bool]int{true: 1}[gone["i1"]] + map[bool]int{true: 1}[gone["i2"]]; n > room && !word.Force {
			out, _ := easyjson.Marshal(&ebb.Answer{Target: word.Target, Short: []ebb.Short{{Service: "s", Need: 3, Have: 1, Before: 6}}, Backends: []string{"i1", "i2"}})
			w.WriteHeader(http.StatusConflict)
			w.Write(out)
			return
		}
		drained[word.Target] = true
		io.WriteString(w, `{"target":"z"}`)
	}
	c := New([]string{at(t, h)})
	var said []string
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := c.Paced(ctx, "z", func(s string) { said = append(said, s) })
	if err == nil || !strings.Contains(err.Error(), "drained so far: i1") || !drained["i1"] || drained["i2"] || len(said) != 2 || !strings.Contains(said[1], "3.0 slots are at work, 1.0 would be left of 6.0") {
		t.Errorf("no room: %v, %v, %q", err, drained, said)
	}
	room = 2
	drained = map[string]bool{}
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := c.Paced(ctx, "z", func(string) {}); err != nil || len(drained) != 1 || !drained["z"] {
		t.Errorf("%v, %v", err, drained)
	}
}
