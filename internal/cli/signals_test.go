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

// argumentsVariable is the environment variable that makes the test binary run as the program, with its value as
// arguments.
const argumentsVariable = "CLI_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if line := os.Getenv(argumentsVariable); line != "" {
		os.Exit(Main(strings.Fields(line)))
	}
	os.Exit(m.Run())
}

// waitLimit bounds each wait for the process.
const waitLimit = 20 * time.Second

// testProcess is a process of the program, and the lines that it logs.
type testProcess struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan string
	seen  []string
}

// startProcess runs a role in a process.
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
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // fails if it has ended already
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(logs); in.Scan(); {
			p.lines <- in.Text()
		}
	}()
	return p
}

// waitForLog waits for a line of the log that contains a text.
func (p *testProcess) waitForLog(text string) {
	p.t.Helper()
	for end := time.After(waitLimit); ; {
		select {
		case line, open := <-p.lines:
			if !open {
				p.t.Fatalf("the process ended (%v) without logging %q:\n%s", p.cmd.Wait(), text, strings.Join(p.seen, "\n"))
			}
			if p.seen = append(p.seen, line); strings.Contains(line, text) {
				return
			}
		case <-end:
			p.t.Fatalf("the process never logged %q:\n%s", text, strings.Join(p.seen, "\n"))
		}
	}
}

func (p *testProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitForExit waits for the end of the process and checks its exit code.
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
			p.t.Fatalf("the process never ended:\n%s", strings.Join(p.seen, "\n"))
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

// testSettings returns the settings of a system of one machine.
func testSettings(t *testing.T) string {
	p := freePorts(t, 6)
	return fmt.Sprintf(`{"node":"n","role":"r","ip":"127.0.0.1","zone":"z","region":"r","zones":{"z":"r"},
"listens":{"front":"127.0.0.1:%d","readyCheck":"127.0.0.1:%d","control":"127.0.0.1:%d","directory":"127.0.0.1:%d"},
"sparePorts":[%d,%d],"firstContacts":["127.0.0.1:%d"],"freshStart":true,"dataFolder":%q,"pulse":"1s",
"limitsTable":["leeway=1500ms"]}`, p[0], p[1], p[2], p[3], p[4], p[5], p[2], t.TempDir())
}

// hangUpUntilExit sends SIGHUP repeatedly until the process has ended.
func (p *testProcess) hangUpUntilExit() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if p.cmd.Process.Signal(syscall.SIGHUP) != nil {
			return
		}
	}
}

// Neither a SIGHUP after the SIGTERM nor a second SIGTERM interrupts an orderly shutdown. The platform sends SIGHUP
// whenever the settings change, whether or not a process is shutting down.
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

// A SIGHUP while the settings are read for the first time does not end the process, and makes it read them again.
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
