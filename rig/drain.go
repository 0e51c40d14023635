package rig

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/helm"
)

// Report is what came of Drain.
type Report struct {
	Calm, Drained, Storm Figures
	Refused              int           // removals that were refused at first, as too little room would be left
	Longest              time.Duration // that an operator's drain took until nothing was left there
	Took                 time.Duration
}

// Verdict is an error where a part went wrong.
func (r Report) Verdict() error {
	for name, f := range map[string]Figures{"undisturbed": r.Calm, "drained": r.Drained, "storm": r.Storm} {
		if f.Requests == 0 && name == "storm" {
			continue // it was left out
		}
		if err := f.Verdict(); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (r Report) String() string {
	s := fmt.Sprintf("undisturbed: %v%s\ndrained: %v%s\n  refused_for_room=%d longest_drain=%v", r.Calm, r.Calm.ByKind(r.Calm),
		r.Drained, r.Drained.ByKind(r.Calm), r.Refused, r.Longest.Round(time.Millisecond))
	if r.Storm.Requests > 0 {
		s += fmt.Sprintf("\nstorm: %v%s", r.Storm, r.Storm.ByKind(r.Calm))
	}
	return s + fmt.Sprintf("\ntook %v", r.Took.Round(time.Second))
}

// stormLoad is the share of the room that is asked for where a zone is gone and appliances are replaced besides.
const stormLoad = 0.6

// Drain has every appliance leave and return once under load, in each of the ways there are, one after the other; and then,
// with storm, all of a service replaced one by one while a zone is cleared out, nodes are restarted one by one, and a
// steward is.
func Drain(ctx context.Context, o Options, calm time.Duration, storm bool) (r Report, err error) {
	begun := time.Now()
	defer func() { r.Took = time.Since(begun) }()
	h, err := Open(o)
	if h != nil {
		defer h.Close()
	}
	if err != nil {
		return r, err
	}
	within, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := h.Configure(within); err != nil {
		return r, err
	}
	for i := range o.Backends {
		if _, err := h.StartApp(Services[i%len(Services)], zoneNames[i/len(Services)%len(zoneNames)], "v1", 0); err != nil {
			return r, err
		}
	}
	wait(ctx, 2*o.Pulse)

	clients := h.Ask(o.Load)
	wait(ctx, 2*time.Second) // until the nodes know how long answers take
	from := time.Now()
	wait(ctx, calm)
	to := time.Now()
	for i, a := range h.all() {
		if err := h.leaveAndReturn(ctx, a, i, &r); err != nil {
			clients.Stop()
			return r, err
		}
	}
	clients.Stop()
	r.Calm, r.Drained = h.Ledger.Read(from, to), h.Ledger.Read(to, time.Time{})
	if storm {
		from := time.Now()
		clients := h.Ask(stormLoad)
		err := h.storm(ctx)
		clients.Stop()
		if r.Storm = h.Ledger.Read(from, time.Time{}); err != nil {
			return r, err
		}
	}
	return r, errors.Join(h.Broken(), ctx.Err())
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (h *House) all() (out []*App) {
	for _, s := range Services {
		out = append(out, h.Apps(s)...)
	}
	return out
}

// leaveAndReturn has one appliance leave, by one of the ways, and come back: as a new life that is cold, or as itself.
func (h *House) leaveAndReturn(ctx context.Context, a *App, way int, r *Report) error {
	again := func() error {
		_, err := h.StartApp(a.Service, a.Zone, a.Build, h.o.Warm)
		return err
	}
	switch way % 4 {
	case 0: // it leaves by itself, and another comes
		if err := errors.Join(h.gone(ctx, a, "emptying"), again()); err != nil {
			return err
		}
	case 1: // replaced: the other comes first
		if err := again(); err != nil {
			return err
		}
		wait(ctx, h.o.Warm)
		if err := h.gone(ctx, a, "replaced"); err != nil {
			return err
		}
	case 2: // an operator drains it, and it is stopped without a word once nothing is left
		if err := h.drain(ctx, a.ID, r, a); err != nil {
			return err
		}
		a.Kill()
		if err := errors.Join(again(), h.Helm().Undrain(ctx, a.ID)); err != nil {
			return err
		}
	case 3: // an operator drains it, and takes it back
		if err := h.drain(ctx, a.ID, r, a); err != nil {
			return err
		}
		a.Cool(h.o.Warm)
		if err := h.Helm().Undrain(ctx, a.ID); err != nil {
			return err
		}
		h.Ledger.Back(a.ID, time.Now())
	}
	wait(ctx, h.o.Warm)
	return nil
}

func (h *House) gone(ctx context.Context, a *App, how string) error {
	if h.o.Fault == Strays {
		time.AfterFunc(h.o.Empty/2+h.o.Bound, func() { h.stray(a) })
	}
	return a.Leave(how)
}

// stray is a node that has not heard: it sends to an appliance that leaves.
func (h *House) stray(a *App) {
	req, err := http.NewRequest(http.MethodGet, "http://"+a.Address+"/look/stray", bytes.NewReader(nil))
	if err != nil {
		return
	}
	req.Header.Set("X-Sagelever-Meant-Server", a.ID)
	req.Header.Set("X-Sagelever-Time-Left-Ms", "1000")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// drain drains a target, by force where there is too little room, and waits until nothing is left there.
func (h *House) drain(ctx context.Context, target string, r *Report, apps ...*App) error {
	op, begun := h.Helm(), time.Now()
	_, err := op.Drain(ctx, target, false)
	if _, refused := errors.Into[*helm.NoRoom](err); refused {
		r.Refused++
		_, err = op.Drain(ctx, target, true)
	}
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	for _, a := range apps {
		h.Ledger.Notice(a.ID, "drained", time.Now())
	}
	for {
		list, err := op.Drains(ctx, target)
		if err != nil {
			return errors.Wrap(err, "drains")
		}
		if len(list) == 1 && list[0].Done {
			r.Longest = max(r.Longest, time.Since(begun))
			return nil
		}
		wait(ctx, 50*time.Millisecond)
	}
}

// storm replaces all of a service one by one while a zone is cleared out, the nodes are restarted one by one, and one
// steward is, on whose word a removal may just have gone out.
func (h *House) storm(ctx context.Context) error {
	nodes := make(chan error, 1)
	go func() {
		for i := range h.o.Nodes {
			if err := h.Restart(fmt.Sprint("relay-", i)); err != nil {
				nodes <- err
				return
			}
		}
		nodes <- nil
	}()
	zone := zoneNames[2]
	for i, a := range h.Apps(Services[0]) {
		switch i {
		case 1:
			if err := h.Helm().Call(ctx, "clear_out.begin", zone, nil, nil); err != nil {
				return errors.Wrap(err, "clear out")
			}
			for _, x := range h.all() {
				if x.Zone == zone {
					h.Ledger.Notice(x.ID, "zone cleared out", time.Now())
				}
			}
		case 2:
			if err := h.Restart("steward-" + zoneNames[0]); err != nil {
				return err
			}
		}
		if _, err := h.StartApp(a.Service, a.Zone, a.Build, 0); err != nil {
			return err
		}
		if err := a.Leave("replaced in a storm"); err != nil {
			return err
		}
	}
	for _, x := range h.all() {
		if x.Zone == zone {
			x.Cool(h.o.Warm)
			h.Ledger.Back(x.ID, time.Now())
		}
	}
	if err := h.Helm().Call(ctx, "clear_out.finish", zone, nil, nil); err != nil {
		return errors.Wrap(err, "take back")
	}
	return <-nodes
}
