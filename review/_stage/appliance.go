package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// appliance is a stand-in for a server. It answers as PROTOCOL.md says, on sockets with small windows.
type appliance struct {
	rec         *record
	id, service string
	address     string
	listener    net.Listener
	stop        chan struct{}

	answerBytes int           // length of the body of an answer
	work        time.Duration // how long a request takes
	readPause   time.Duration // pause in the middle of the body of a request

	mu       sync.Mutex
	outcomes map[string]string // what became of the requests that it has begun, by try id
}

// smallWindow sets the size of a socket's receive buffer before it is bound or connected. The kernel doubles it.
func smallWindow(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
	}
}

// addAppliance starts an appliance in a zone and sends its heartbeats.
func (f *fleet) addAppliance(id, service, zone string, machine int, window int) *appliance {
	config := net.ListenConfig{}
	if window > 0 {
		config.Control = smallWindow(window)
	}
	listener, err := config.Listen(context.Background(), "tcp4", f.prefix+fmt.Sprint(100+machine)+":0")
	if err != nil {
		fail("appliance: %v", err)
	}
	a := &appliance{
		rec: f.rec, id: id, service: service, address: listener.Addr().String(), listener: listener,
		stop: make(chan struct{}), outcomes: map[string]string{},
	}
	go a.serve()
	go f.heartbeats(id, service, zone, a.address, a.stop)
	return a
}

func (a *appliance) close() { close(a.stop); a.listener.Close() }

func (a *appliance) serve() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.serveConn(conn)
	}
}

func (a *appliance) note(tryID, outcome string) {
	a.rec.say("appliance %s: request %s: %s", a.id, tryID, outcome)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes[tryID] = outcome
}

func (a *appliance) outcome(tryID string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcomes[tryID]
}

// serveConn serves one request after the other.
func (a *appliance) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 1024)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Sagelever-Server-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id)
			continue
		}
		tryID := request.Header.Get("X-Sagelever-Try-Id")
		if meant := request.Header.Get("X-Sagelever-Meant-Server"); meant != "" && meant != a.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Sagelever-Try-Id: %s\r\nContent-Length: 0\r\n\r\n", tryID)
			return
		}
		a.note(tryID, "begun: "+request.Method+" "+request.URL.Path)
		length, err := a.readBody(request.Body)
		if err != nil {
			a.note(tryID, fmt.Sprintf("broken off by the proxy after %d of %d bytes of the body: %v", length, request.ContentLength, err))
			return
		}
		time.Sleep(a.work)
		body := strings.Repeat("x", a.answerBytes)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: %s\r\nX-Sagelever-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			tryID, a.id, tryID, len(body), body)
		if err != nil {
			a.note(tryID, fmt.Sprintf("run, and the connection was closed before the answer: %v", err))
			return
		}
		a.note(tryID, fmt.Sprintf("run whole (%d bytes of body) and answered 200", length))
	}
}

// readBody reads a body, with a pause after its first 2000 bytes.
func (a *appliance) readBody(body io.Reader) (length int64, err error) {
	length, err = io.CopyN(io.Discard, body, 2000)
	if err == io.EOF {
		return length, nil
	}
	if err != nil {
		return length, err
	}
	time.Sleep(a.readPause)
	rest, err := io.Copy(io.Discard, body)
	return length + rest, err
}
