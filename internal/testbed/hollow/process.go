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

// Roles of real processes, as written in their settings.
const (
	RoleController = "member"
	RoleProxy      = "relay"
)

// stopTimeout is how long Process.Stop waits for a process to exit.
const stopTimeout = 10 * time.Second

// Serve runs a role with a settings file as a process of a testbed until the input ends. For each line of input it
// writes a line with the traffic of the connections that the process has opened, as JSON.
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
	// The goroutine may outlive ctx until the input or the process ends, because a read of the input cannot be
	// interrupted.
	go func() {
		defer stop() // the testbed has closed the input
		encoder := json.NewEncoder(out)
		for lines := bufio.NewScanner(in); lines.Scan(); {
			if encoder.Encode(meter.Read()) != nil {
				return
			}
		}
	}()
	return run(ctx)
}

// newRole returns the function that runs a role until its context ends.
func newRole(role string, nodeSettings *settings.Settings, meter *Meter) (run func(context.Context) error, err error) {
	switch role {
	case RoleController:
		options := server.Options{Settings: nodeSettings, MembersPerZone: 1, Log: zap.NewNop(), Dial: meter.Dial}
		controller, err := server.New(options)
		if err != nil {
			return nil, err
		}
		return controller.Run, nil
	case RoleProxy:
		options := proxy.Options{Settings: nodeSettings, Log: zap.NewNop(), Dial: meter.Dial}
		return proxy.New(options).Run, nil
	}
	return nil, errors.Errorf("unknown role %q", role)
}

// Process is a running process of a testbed, or a role that runs within the process of the testbed.
type Process struct {
	PID     int // 0 if the role runs within the process of the testbed
	in      io.WriteCloser
	out     *bufio.Reader
	stopped chan error // receives the result once
	kill    func()
}

// LaunchFunc starts a process that calls Serve with a role and a settings file.
type LaunchFunc func(role, settingsFile string) (*Process, error)

// Executable returns a LaunchFunc for a program that takes the role and the settings file as its last two arguments.
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
		p := &Process{
			PID:     command.Process.Pid,
			in:      in,
			out:     bufio.NewReader(out),
			stopped: make(chan error, 1),
			kill:    func() { _ = command.Process.Kill() }, // fails only if the process has ended
		}
		go func() { p.stopped <- command.Wait() }()
		return p, nil
	}
}

// InProcess is a LaunchFunc that runs the role within the calling process. Such a role cannot be killed.
func InProcess(role, settingsFile string) (*Process, error) {
	inReader, inWriter := io.Pipe()
	outReader, outWriter := io.Pipe()
	p := &Process{in: inWriter, out: bufio.NewReader(outReader), stopped: make(chan error, 1), kill: func() {}}
	go func() { p.stopped <- Serve(role, settingsFile, inReader, outWriter) }()
	return p, nil
}

// Traffic returns the traffic of the connections that the process has opened. It must not be called concurrently.
func (p *Process) Traffic() (traffic Traffic, err error) {
	if _, err := io.WriteString(p.in, "traffic\n"); err != nil {
		return traffic, err
	}
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return traffic, err
	}
	err = json.Unmarshal(line, &traffic)
	return traffic, err
}

// ErrNotStopped is returned if a process did not exit within stopTimeout and was killed.
var ErrNotStopped = errors.New("process did not stop and was killed")

// Stop closes the input of the process and waits until the process exits. After stopTimeout it kills the process and
// returns ErrNotStopped.
func (p *Process) Stop() error {
	p.in.Close()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case err := <-p.stopped:
		return err
	case <-timer.C:
		p.kill()
		return ErrNotStopped
	}
}
