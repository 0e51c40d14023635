package cli

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// argumentsVariable is the environment variable that makes the test binary run as the load balancer, with the
// variable's value as the arguments.
const argumentsVariable = "CLI_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if line := os.Getenv(argumentsVariable); line != "" {
		os.Exit(Main(strings.Fields(line)))
	}
	os.Exit(m.Run())
}

// waitLimit bounds each wait for a process.
const waitLimit = 20 * time.Second

// testProcess is a process of the load balancer with the lines that it has logged.
type testProcess struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan string
	seen  []string
}

// startProcess starts a process for a role, with the path of its settings file. The process is killed when the test
// ends.
func startProcess(t *testing.T, role, settings string) *testProcess {
	t.Helper()
	p := &testProcess{t: t, cmd: exec.Command(os.Args[0]), lines: make(chan string, 1000)}
	p.cmd.Env = append(os.Environ(), argumentsVariable+"="+role, "SAGELEVER_CONFIG="+settings)
	logs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // fails if the process has exited
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(logs); in.Scan(); {
			p.lines <- in.Text()
		}
	}()
	return p
}

// waitForLog waits until the process logs a line that contains a text.
func (p *testProcess) waitForLog(text string) {
	p.t.Helper()
	for end := time.After(waitLimit); ; {
		select {
		case line, open := <-p.lines:
			if !open {
				p.t.Fatalf("the process exited (%v) without logging %q:\n%s", p.cmd.Wait(), text,
					strings.Join(p.seen, "\n"))
			}
			if p.seen = append(p.seen, line); strings.Contains(line, text) {
				return
			}
		case <-end:
			p.t.Fatalf("the process did not log %q in time:\n%s", text, strings.Join(p.seen, "\n"))
		}
	}
}

// signal sends a signal to the process.
func (p *testProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitForExit waits until the process exits and checks that its exit code is 0.
func (p *testProcess) waitForExit() {
	p.t.Helper()
	for end := time.After(waitLimit); ; {
		select {
		case line, open := <-p.lines:
			if open {
				p.seen = append(p.seen, line)
				continue
			}
			if err := p.cmd.Wait(); err != nil {
				p.t.Fatalf("%v:\n%s", err, strings.Join(p.seen, "\n"))
			}
			return
		case <-end:
			p.t.Fatalf("the process did not exit in time:\n%s", strings.Join(p.seen, "\n"))
		}
	}
}

// freePorts returns free ports of the loopback interface, in ascending order.
func freePorts(t *testing.T, count int) (list []int) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(list)
	return list
}

// testSettings returns the settings of a deployment with a single machine.
func testSettings(t *testing.T) string {
	ports := freePorts(t, 6)
	return fmt.Sprintf(`{"node":"n","role":"r","ip":"127.0.0.1","zone":"z","region":"r","zones":{"z":"r"},
"listens":{"front":"127.0.0.1:%d","readyCheck":"127.0.0.1:%d","control":"127.0.0.1:%d","directory":"127.0.0.1:%d"},
"sparePorts":[%d,%d],"firstContacts":["127.0.0.1:%d"],"freshStart":true,"dataFolder":%q,"pulse":"1s",
"limitsTable":["leeway=1500ms"]}`, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], ports[2],
		t.TempDir())
}

// hangupInterval is the interval at which hangUpUntilExit sends SIGHUP.
const hangupInterval = 2 * time.Millisecond

// hangUpUntilExit sends SIGHUP repeatedly until the process has exited.
func (p *testProcess) hangUpUntilExit() {
	ticker := time.NewTicker(hangupInterval)
	defer ticker.Stop()
	for range ticker.C {
		if p.cmd.Process.Signal(syscall.SIGHUP) != nil {
			return
		}
	}
}

// Neither a SIGHUP after SIGTERM nor a second SIGTERM interrupts an orderly shutdown. The platform sends SIGHUP
// whenever the settings change, even while a process shuts down.
func TestHangupDuringShutdown(t *testing.T) {
	for _, role := range []string{"proxy", "controller"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "boot.json")
			if err := os.WriteFile(file, []byte(testSettings(t)), 0o600); err != nil {
				t.Fatal(err)
			}
			p := startProcess(t, role, file)
			p.waitForLog(role + " started")
			p.signal(syscall.SIGTERM)
			go p.hangUpUntilExit()
			if role == "proxy" {
				p.waitForLog("leaving")
				p.signal(syscall.SIGTERM)
				p.waitForLog("settings reloaded")
			}
			p.waitForExit()
		})
	}
}

// A SIGHUP while the settings are first read does not end the process and makes it read them again.
func TestHangupDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.json")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Skip("named pipes are not supported:", err)
	}
	p := startProcess(t, "proxy", file)
	text := testSettings(t)
	write := func(while func()) {
		t.Helper()
		pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // blocks until the process reads
		if err != nil {
			t.Fatal(err)
		}
		while()
		if _, err := io.WriteString(pipe, text); err != nil {
			t.Fatal(err)
		}
		pipe.Close()
	}
	write(func() { p.signal(syscall.SIGHUP) })
	p.waitForLog("proxy started")
	write(func() {})
	p.waitForLog("settings reloaded")
	p.signal(syscall.SIGTERM)
	p.waitForExit()
}
