package cluster

import (
	"context"

	"github.com/go-faster/errors"
)

// runFunc runs a node until its context ends.
type runFunc func(context.Context) error

// startFunc creates a node anew, as the start of its process does.
type startFunc func() (runFunc, error)

// node is a proxy or a controller.
type node struct {
	start  startFunc
	cancel context.CancelFunc // nil until it has been started
	done   chan struct{}      // closed when it has ended
}

func (c *Cluster) addNode(name string, start startFunc) error {
	c.mu.Lock()
	c.nodes[name] = &node{start: start}
	c.mu.Unlock()
	return c.StartNode(name)
}

// StartNode starts a node that is not running.
func (c *Cluster) StartNode(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	run, err := n.start()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.cancel = cancel
	n.done = done
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			c.failures <- errors.Wrap(err, name)
		}
	}()
	return nil
}

// StopNode stops a node gracefully, as a SIGTERM does, and waits for its end.
func (c *Cluster) StopNode(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	c.mu.Unlock()
	n.cancel()
	<-n.done
}

// RestartNode stops a node gracefully and starts it again.
func (c *Cluster) RestartNode(name string) error {
	c.StopNode(name)
	return c.StartNode(name)
}
