package cluster

import (
	"context"

	"github.com/go-faster/errors"
)

// runFunc runs a node until its context ends.
type runFunc func(context.Context) error

// startFunc creates a node, as a start of its process does.
type startFunc func() (runFunc, error)

// node is a proxy or a controller.
type node struct {
	start  startFunc
	cancel context.CancelFunc // nil until the first start
	done   chan struct{}      // closed when the node has stopped
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
	n := c.nodes[name]
	c.mu.Unlock()
	run, err := n.start()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.mu.Lock()
	n.cancel = cancel
	n.done = done
	c.mu.Unlock()
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			c.failures <- errors.Wrap(err, name)
		}
	}()
	return nil
}

// NodeRunning reports whether a node has been started and has not stopped.
func (c *Cluster) NodeRunning(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	if n.done == nil {
		return false
	}
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// StopNode stops a node gracefully, as SIGTERM does, and waits until it has stopped.
func (c *Cluster) StopNode(name string) {
	c.mu.Lock()
	cancel, done := c.nodes[name].cancel, c.nodes[name].done
	c.mu.Unlock()
	cancel()
	<-done
}

// RestartNode stops a node gracefully and starts it again.
func (c *Cluster) RestartNode(name string) error {
	c.StopNode(name)
	return c.StartNode(name)
}
