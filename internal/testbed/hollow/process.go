package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/server"
	"sagelever/internal/proxy"
	"sagelever/internal/settings"
)

// Roles of real processes.
const (
	RoleController = "member" // a steward: one member of the core
	RoleProxy      = "relay"
)

// stopTimeout is for how long a process is waited for that was told to end.
const stopTimeout = 10 * time.Second

// Serve is a real process of a testbed: it runs the role that its settings file is for until its input ends, and answers
// each line of input with a line that has the traffic of the connections that it opened.
func Serve(role, settingsFile string, in io.Reader, out io.Writer) error {
	nodeSettings, err := settings.Read(settingsFile)
	if err != nil {
		return err
	}
	meter := &Meter{}
	run, err := newRole(role, nodeSettings, meter)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		defer stop() // whoever started this process has ended
		encoder := json.NewEncoder(out)
		for lines := bufio.NewScanner(in); lines.Scan(); {
			if encoder.Encode(meter.Read()) != nil {
				return
			}
		}
	}()
	return run(ctx)
}

func newRole(role string, nodeSettings *settings.Settings, meter *Meter) (run func(context.Context) error, err error) {
	switch role {
	case RoleController:
		member, err := server.New(server.Options{Settings: nodeSettings, MembersPerZone: 1, Log: zap.NewNop(), Dial: meter.Dial})
		if err != nil {
			return nil, err
		}
		return member.Run, nil
	case RoleProxy:
		return proxy.New(proxy.Options{Settings: nodeSettings, Log: zap.NewNop(), Dial: meter.Dial}).Run, nil
	}
	return nil, errors.Errorf("%q is no role", role)
}

// Process is a running process of a testbed, or what stands for one in a test.
type Process struct {
	PID   int // zero where it shares the process of the testbed
	in    io.WriteCloser
	out   *bufio.Reader
	ended chan error
	kill  func()
}

// LaunchFunc starts a process that runs Serve for a role and a settings file.
type LaunchFunc func(role, settingsFile string) (*Process, error)

// Executable launches processes of a program that is given the role and the settings file as its last two arguments.
func Executable(path string, args ...string) LaunchFunc {
	return func(role, settingsFile string) (*Process, error) {
		command := exec.Command(path, append(args, role, settingsFile)...)
		command.Stderr = os.Stderr
		in, err := command.StdinPipe()
		if err != nil {
			return nil, err
		}
		out, err := command.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := command.Start(); err != nil {
			return nil, err
		}
		p := &Process{PID: command.Process.Pid, in: in, out: bufio.NewReader(out), ended: make(chan error, 1), kill: func() { command.Process.Kill() }}
		go func() { p.ended <- command.Wait() }()
		return p, nil
	}
}

// InProcess runs the roles within the calling process, where tests can't start another.
func InProcess(role, settingsFile string) (*Process, error) {
	inReader, inWriter := io.Pipe()
	outReader, outWriter := io.Pipe()
	p := &Process{in: inWriter, out: bufio.NewReader(outReader), ended: make(chan error, 1), kill: func() {}}
	go func() { p.ended <- Serve(role, settingsFile, inReader, outWriter) }()
	return p, nil
}

// Traffic asks the process for the traffic of the connections that it opened.
func (p *Process) Traffic() (t Traffic, err error) {
	if _, err := io.WriteString(p.in, "traffic\n"); err != nil {
		return t, err
	}
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(line, &t)
}

// Stop has the process end, and waits for it; one that does not is killed.
func (p *Process) Stop() error {
	p.in.Close()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case err := <-p.ended:
		return err
	case <-timer.C:
		p.kill()
		return errors.New("a process did not end by itself")
	}
}
