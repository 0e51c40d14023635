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

// exitMargin is how long beyond its grace period a process may take to exit after SIGTERM.
const exitMargin = 2 * time.Second

// signalHandlerDelay is how long after its start a process has installed its signal handlers. A signal that arrives
// earlier has the default action, which terminates the process.
const signalHandlerDelay = 100 * time.Millisecond

// nodeProcess is a node that runs as a separate process.
type nodeProcess struct {
	cmd       *exec.Cmd
	startedAt time.Time

	mu     sync.Mutex
	killed bool // its exit is expected
}

// errUnexpectedExit is the error of a process that exited without a request to stop.
var errUnexpectedExit = errors.New("process exited unexpectedly")

// processStarter returns a startFunc that runs a role of the load balancer's program as a process.
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
		arguments := []string{role}
		if c.options.LogLevel != "" {
			arguments = append(arguments, "--log", c.options.LogLevel)
		}
		cmd := exec.Command(c.options.Binary, arguments...)
		cmd.Env = append(os.Environ(), "SAGELEVER_CONFIG="+path)
		cmd.Stdout, cmd.Stderr = log, log
		process := &nodeProcess{cmd: cmd, startedAt: time.Now()}
		if err := spawn(cmd); err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.processes[nodeName(role, config)] = process
		c.mu.Unlock()
		return func(ctx context.Context) error { return process.run(ctx, c.options.ShutdownGrace+exitMargin) }, nil
	}
}

// spawner returns a channel of functions that a single locked OS thread executes. Pdeathsig is delivered when the
// thread that started a child exits; this thread lives as long as the process, so that children end with the process
// even if it is killed.
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

// spawn starts a process that the kernel kills when this process ends.
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
	_, _ = fmt.Sscanf(config.Node, "edge-%d", &index) // name format of proxyStarter
	return ProxyName(index)
}

// LogFile returns the path of the log file of a node's process.
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

// Resource limits in the settings of a process.
const (
	processMemoryMB  = 256
	processOpenFiles = 4096
)

// run waits until the process exits. When ctx ends, run sends SIGTERM, and kills the process if it does not exit within
// grace. It returns an error if the process had to be killed or exited unexpectedly.
func (p *nodeProcess) run(ctx context.Context, grace time.Duration) error {
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	select {
	case err := <-exited:
		return p.unexpectedExit(err)
	case <-ctx.Done():
	}
	p.awaitSignalHandlers()
	_ = p.signal(syscall.SIGTERM) // fails if the process has exited, which Wait reports
	_ = p.signal(syscall.SIGCONT) // a stopped process handles SIGTERM only after it is resumed
	select {
	case err := <-exited:
		if err != nil && !p.isKilled() {
			return errors.Wrap(err, "after SIGTERM")
		}
		return nil
	case <-time.After(grace):
		p.kill()
		return errors.Errorf("process did not exit within %v after SIGTERM: %v", grace, <-exited)
	}
}

// unexpectedExit returns the error of a process that has exited, or nil if it was killed deliberately.
func (p *nodeProcess) unexpectedExit(err error) error {
	switch {
	case p.isKilled():
		return nil
	case err != nil:
		return errors.Wrap(err, errUnexpectedExit.Error())
	}
	return errUnexpectedExit
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
	_ = p.cmd.Process.Kill() // fails if the process has exited
}

func (p *nodeProcess) signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// process returns the process of a node, or nil if the node runs in this process.
func (c *Cluster) process(name string) *nodeProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// awaitSignalHandlers waits until the process handles signals.
func (p *nodeProcess) awaitSignalHandlers() {
	time.Sleep(time.Until(p.startedAt.Add(signalHandlerDelay)))
}

// Signal sends a signal to the process of a node, once the process handles signals.
func (c *Cluster) Signal(name string, signal os.Signal) error {
	process := c.process(name)
	if process == nil {
		return errors.Errorf("node %s does not run as a process", name)
	}
	process.awaitSignalHandlers()
	return process.signal(signal)
}

// KillNode kills the process of a node and waits until it has exited.
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

// WipeController removes the data directory of a controller, which must not be running.
func (c *Cluster) WipeController(zone string) error {
	return os.RemoveAll(filepath.Join(c.options.Dir, "core-"+zone))
}

// ProcessIDs returns the process IDs of the nodes, by node name.
func (c *Cluster) ProcessIDs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]int{}
	for name, process := range c.processes {
		ids[name] = process.cmd.Process.Pid
	}
	return ids
}
