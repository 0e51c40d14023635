package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/settings"
)

// endMargin is how long after its grace period a process that was told to end is waited for.
const endMargin = 2 * time.Second

// signalableAfter is how long after its start a process handles signals for sure. Before, the system's default applies,
// which ends it.
const signalableAfter = 100 * time.Millisecond

// nodeProcess is a node that runs as a process of its own.
type nodeProcess struct {
	cmd       *exec.Cmd
	startedAt time.Time

	mu     sync.Mutex
	killed bool // its end is expected
}

// errEndedByItself is the error of a process that ended without having been told to.
var errEndedByItself = errors.New("the process ended by itself")

// processStarter returns how a node with a role of the load balancer's program is started as a process.
func (c *Cluster) processStarter(role string, config *settings.Settings) startFunc {
	freshStart := true
	return func() (runFunc, error) {
		config.FreshStart = freshStart
		freshStart = false
		path := filepath.Join(c.options.Dir, config.Node+"-"+role+".json")
		if err := c.writeSettings(path, role, config); err != nil {
			return nil, err
		}
		log, err := os.OpenFile(c.LogFile(config.Node, role), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer log.Close() // the process has its own descriptor
		cmd := exec.Command(c.options.Binary, role)
		cmd.Env = append(os.Environ(), "SAGELEVER_CONFIG="+path)
		cmd.Stdout, cmd.Stderr = log, log
		process := &nodeProcess{cmd: cmd, startedAt: time.Now()}
		if err := spawn(cmd); err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.processes[nodeName(role, config)] = process
		c.mu.Unlock()
		return func(ctx context.Context) error { return process.run(ctx, c.options.ShutdownGrace+endMargin) }, nil
	}
}

// spawner starts processes from one thread that lasts as long as this process does: the system ends them with it, also
// where this process ends without a chance to do so itself.
var spawner = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// spawn starts a process that ends with this one.
func spawn(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	spawner() <- func() { started <- cmd.Start() }
	return <-started
}

// nodeName returns the name of a node in the cluster.
func nodeName(role string, config *settings.Settings) string {
	if role == "controller" {
		return ControllerName(config.Zone)
	}
	index := 0
	_, _ = fmt.Sscanf(config.Node, "edge-%d", &index) // the name that nodeSettings has been given
	return ProxyName(index)
}

// LogFile returns the file to which a node's process writes.
func (c *Cluster) LogFile(node, role string) string {
	return filepath.Join(c.options.Dir, node+"-"+role+".log")
}

// writeSettings writes the settings file of a process.
func (c *Cluster) writeSettings(path, role string, config *settings.Settings) error {
	written := *config
	written.Role = role
	written.Handles = []string{"edge", "steering", "lookup"}
	written.CountsAsLoss = role == "controller"
	written.Resources = settings.ResourceLimits{CPUShare: 1, MemoryMB: processMemoryMB, OpenFiles: processOpenFiles}
	limits := config.RuleLimits
	written.HeartbeatInterval = limits.HeartbeatInterval.String()
	written.LimitsTable = []string{
		"empty=" + limits.DrainTime.String(),
		"leeway=" + limits.ShutdownGrace.String(),
		"ttl_max=" + limits.MaxTTL.String(),
		"confirm=6000ms",
		"retryPeriod=" + limits.RetryPeriod.String(),
		fmt.Sprint("retryShare=", limits.RetryBudgetRatio),
		fmt.Sprint("extraTries=", limits.MaxExtraRetries),
		fmt.Sprint("warmUpExcess=", limits.WarmUpLoadFactor),
		fmt.Sprint("warmUpLeeway=", limits.WarmUpAllowance),
		fmt.Sprint("badShare=", limits.TrialRequestRatio),
		fmt.Sprint("badLeeway=", limits.TrialRequestAllowance),
	}
	data, err := json.Marshal(&written)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// Limits of a process, as its settings tell them.
const (
	processMemoryMB  = 256
	processOpenFiles = 4096
)

// run waits for the end of the process. When ctx ends it tells the process to end, and kills it if it takes longer than
// grace, which is an error as well as an end that nobody has asked for.
func (p *nodeProcess) run(ctx context.Context, grace time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		return p.unexpectedEnd(err)
	case <-ctx.Done():
	}
	p.awaitSignalable()
	_ = p.signal(syscall.SIGTERM) // it may have ended by itself, which Wait tells
	_ = p.signal(syscall.SIGCONT)
	select {
	case err := <-ended:
		if err != nil && !p.isKilled() {
			return errors.Wrap(err, "after SIGTERM")
		}
		return nil
	case <-time.After(grace):
		p.kill()
		return errors.Errorf("did not end within %v after SIGTERM: %v", grace, <-ended)
	}
}

// unexpectedEnd returns the error of a process that has ended, nil if it was killed on purpose.
func (p *nodeProcess) unexpectedEnd(err error) error {
	switch {
	case p.isKilled():
		return nil
	case err != nil:
		return errors.Wrap(err, errEndedByItself.Error())
	}
	return errEndedByItself
}

func (p *nodeProcess) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *nodeProcess) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may be gone already
}

func (p *nodeProcess) signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// process returns the process of a node; nil where the node runs in this process.
func (c *Cluster) process(name string) *nodeProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// awaitSignalable waits until the process handles signals.
func (p *nodeProcess) awaitSignalable() { time.Sleep(time.Until(p.startedAt.Add(signalableAfter))) }

// Signal sends a signal to the process of a node, not earlier than the process handles signals.
func (c *Cluster) Signal(name string, signal os.Signal) error {
	process := c.process(name)
	if process == nil {
		return errors.Errorf("%s is no process", name)
	}
	process.awaitSignalable()
	return process.signal(signal)
}

// KillNode ends the process of a node at once, and waits for its end.
func (c *Cluster) KillNode(name string) {
	process := c.process(name)
	if process == nil {
		return
	}
	process.kill()
	c.mu.Lock()
	done := c.nodes[name].done
	c.mu.Unlock()
	<-done
}

// WipeController removes what a controller that is not running has on its disk.
func (c *Cluster) WipeController(zone string) error {
	return os.RemoveAll(filepath.Join(c.options.Dir, "core-"+zone))
}

// ProcessIDs returns the processes of the nodes, by name.
func (c *Cluster) ProcessIDs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]int{}
	for name, process := range c.processes {
		ids[name] = process.cmd.Process.Pid
	}
	return ids
}
