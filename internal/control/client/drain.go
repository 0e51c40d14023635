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

// capacityRetryInterval is the interval at which DrainGradually retries a drain that lacks capacity.
const capacityRetryInterval = time.Second

// InsufficientCapacityError is returned for a drain that was rejected because too little capacity would remain.
type InsufficientCapacityError struct {
	Response drain.Response // has the shortfalls and the backends that the drain would cover
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

// Drain drains a target, which is a backend, SERVICE@ZONE or a zone. Unless force is set, it returns an
// *InsufficientCapacityError if too little capacity would remain.
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

// Undrain withdraws a drain. It also succeeds if there is no such drain and another controller may have withdrawn it
// during the call.
func (c *Client) Undrain(ctx context.Context, target string) error {
	err := c.Call(ctx, calls.DrainEnd, target, nil, nil)
	rejected, ok := errors.Into[*RejectedError](err)
	if ok && rejected.Status == http.StatusNotFound && rejected.MaybeApplied {
		return nil
	}
	return err
}

// ListDrains returns the progress of the active drains: of the one with the given target, or of all if it is empty.
func (c *Client) ListDrains(ctx context.Context, target string) ([]drain.Progress, error) {
	list := &drain.ProgressList{}
	err := c.Call(ctx, calls.DrainsRead, target, nil, list)
	return list.Drains, err
}

// DrainGradually drains a target as capacity permits: the whole target if possible, otherwise one backend after the
// other, each as soon as the remaining backends have enough capacity for the load. It calls report with messages on its
// progress. If it returns an error, the backends drained so far stay drained, and another call continues with the
// others.
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
	// One drain of the target replaces those of its backends, and also covers backends that join later.
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

// drainEach drains backends one after the other and returns those that it drained.
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

// drainWhenPossible drains a backend as soon as enough capacity remains without it. found is false if the backend no
// longer exists. It returns an *InsufficientCapacityError if ctx ends first.
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
