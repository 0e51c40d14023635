package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// head: the operator raises headSizeBytes while clients keep their connections. Requests that the new limit allows are sent
// on these connections more than apply after the acknowledgement. With TROUBLE=0 the limit is in force from the start.
func head(s *system) (int, error) {
	size := 16384
	if !trouble {
		size = 65536
	}
	first := put(service("huvo11a", 1), route("r-base", 1, "/base/", "risky", "huvo11a"), limits(1, size))
	if status, answer := s.insist(0, "settings.change", "", first, 15*time.Second); status != 200 {
		return notRun, fmt.Errorf("first configuration: %d %s", status, answer)
	}
	for i := range s.machines {
		b, err := startBackend(s, fmt.Sprintf("i-huvo11a-%d", i), "huvo11a", i, 3, 20*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		defer b.stop()
	}
	if !s.waitServed("/base/x", 15*time.Second) {
		return notRun, fmt.Errorf("the system does not serve")
	}
	time.Sleep(6 * time.Second) // longer than inTouch
	const clients = 12
	var conns []*keptConn
	for i := range clients {
		c, err := dialKept(s.front(i % len(s.machines)))
		if err != nil {
			return notRun, err
		}
		defer c.Close()
		status, _ := c.request("/base/first", newID(), 0)
		note("client %d: first request on its connection -> %d", i, status)
		if status != 200 {
			return notRun, fmt.Errorf("client %d: %d", i, status)
		}
		conns = append(conns, c)
	}
	if trouble {
		status, answer := s.insist(0, "settings.change", "", put(limits(2, 65536)), 6*time.Second)
		note("operator: limits version 2, headSizeBytes 65536 -> %d %s", status, answer)
		if status != 200 {
			return notRun, fmt.Errorf("change: %d", status)
		}
	}
	acked := time.Now()
	time.Sleep(4 * time.Second) // more than apply
	denied, sent := 0, 0
	for i, c := range conns {
		id := newID()
		status, body := c.request("/base/second", id, 40000)
		sent++
		note("client %d: request %s with a header of 40000 bytes, on its kept connection, %.1f s after the acknowledgement -> %d %q",
			i, id, time.Since(acked).Seconds(), status, body)
		if status/100 == 4 && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	for i := range s.machines {
		status, body := get(s.front(i), "/base/third", newID(), map[string]string{"X-Long": strings.Repeat("a", 40000)})
		sent++
		note("the same on a new connection to %s -> %d %q", s.machines[i].name, status, body)
	}
	total := sent + clients
	note("%d proper requests of %d were ended with a 4xx; allowed: 5 + one in 500 = %.2f", denied, total, 5+float64(total)/500)
	if float64(denied) > 5+float64(total)/500 {
		return broken, nil
	}
	return held, nil
}

type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialKept(address string) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{conn, bufio.NewReader(conn)}, nil
}

// request sends a request with a header field of the given length and reads the answer.
func (c *keptConn) request(path, id string, padding int) (status int, body string) {
	text := "GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Sagelever-Try-Id: " + id + "\r\nX-Sagelever-Time-Left-Ms: 1500\r\n"
	if padding > 0 {
		text += "X-Long: " + strings.Repeat("a", padding) + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		return 0, err.Error()
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}
