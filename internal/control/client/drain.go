package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/drain"
)

// capacityRetryInterval is how often DrainGradually checks whether the next backend can be spared.
const capacityRetryInterval = time.Second

// InsufficientCapacityError is returned for a drain that was rejected, as it would leave too little capacity.
type InsufficientCapacityError struct {
	Response drain.Response // tells where, and which backends the drain would have covered
}

func (e *InsufficientCapacityError) Error() string {
	var text strings.Builder
	text.WriteString(e.Response.Target + ": too little capacity would be left")
	for _, shortfall := range e.Response.Shortfalls {
		text.WriteString("\n  " + shortfall.String())
	}
	if len(e.Response.Unresponsive) > 0 {
		names := strings.Join(e.Response.Unresponsive, ", ")
		text.WriteString("\n  not in these figures, as they do not answer: " + names)
	}
	return text.String()
}

// Drain takes a target out of service: a backend, SERVICE@ZONE or a zone. It returns an *InsufficientCapacityError if
// too little capacity would be left, unless force is set.
func (c *Client) Drain(ctx context.Context, target string, force bool) (*drain.Response, error) {
	body, err := easyjson.Marshal(&drain.BeginRequest{Target: target, Force: force})
	if err != nil {
		return nil, err
	}
	response := &drain.Response{}
	err = c.Call(ctx, calls.DrainBegin, "", body, response)
	if err == nil {
		return response, nil
	}
	rejected, ok := errors.Into[*RejectedError](err)
	if ok && rejected.Status == http.StatusConflict {
		shortage := &InsufficientCapacityError{}
		if easyjson.Unmarshal(rejected.Body, &shortage.Response) == nil && len(shortage.Response.Shortfalls) > 0 {
			return nil, shortage
		}
	}
	return nil, err
}

// Undrain withdraws a drain. It also succeeds where there is no such drain, but a controller that was asked before may
// have withdrawn it.
func (c *Client) Undrain(ctx context.Context, target string) error {
	err := c.Call(ctx, calls.DrainEnd, target, nil, nil)
	rejected, ok := errors.Into[*RejectedError](err)
	if ok && rejected.Status == http.StatusNotFound && rejected.MaybeApplied {
		return nil
	}
	return err
}

// ListDrains returns the progress of the active drains: of all, or of the one with a target.
func (c *Client) ListDrains(ctx context.Context, target string) ([]drain.Progress, error) {
	list := &drain.ProgressList{}
	err := c.Call(ctx, calls.DrainsRead, target, nil, list)
	return list.Drains, err
}

// DrainGradually drains a target as its capacity can be spared: as a whole if possible, otherwise one backend after the
// other, each as soon as the others carry the load without it. report is told what happens. What is drained when it
// returns an error stays drained, and another call goes on from there.
func (c *Client) DrainGradually(ctx context.Context, target string, report func(string)) error {
	_, err := c.Drain(ctx, target, false)
	shortage, ok := errors.Into[*InsufficientCapacityError](err)
	if !ok {
		return err
	}
	drained, err := c.drainEach(ctx, shortage.Response.Backends, report)
	if err != nil {
		return errors.Wrapf(err, "drained so far: %s", strings.Join(drained, " "))
	}
	// One drain of the target replaces those of its backends, and covers backends that join later.
	if _, err := c.Drain(ctx, target, false); err != nil {
		return err
	}
	for _, id := range drained {
		if id == target {
			continue
		}
		if err := c.Undrain(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// drainEach drains backends one after the other and returns those that it has drained.
func (c *Client) drainEach(ctx context.Context, ids []string, report func(string)) (drained []string, err error) {
	for _, id := range ids {
		found, err := c.drainWhenPossible(ctx, id, report)
		if err != nil {
			return drained, err
		}
		if found {
			report(id + " is drained")
			drained = append(drained, id)
		}
	}
	return drained, nil
}

// drainWhenPossible drains a backend as soon as its capacity can be spared. found is false if the backend has ended by
// itself. It returns an *InsufficientCapacityError if ctx ends first.
func (c *Client) drainWhenPossible(ctx context.Context, id string, report func(string)) (found bool, err error) {
	lastReport := ""
	for {
		_, err := c.Drain(ctx, id, false)
		if err == nil {
			return true, nil
		}
		rejected, ok := errors.Into[*RejectedError](err)
		if ok && rejected.Status == http.StatusNotFound {
			return false, nil
		}
		shortage, ok := errors.Into[*InsufficientCapacityError](err)
		if !ok {
			return false, err
		}
		if text := shortage.Error(); text != lastReport {
			lastReport = text
			report(text)
		}
		select {
		case <-time.After(capacityRetryInterval):
		case <-ctx.Done():
			return false, shortage
		}
	}
}
