package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"sagelever/verdict"
)

// playQueued plays a row of a request that waits for an appliance.
func (r *row) playQueued() {
	t, x := r.t, r.x
	address := r.stage.l.Addr().String()
	r.stage.holds.Store(false)
	if r.event == verdict.Withdrawn {
		x.core.tell(app("i1", address))
		until(t, "it is known", func() bool { return x.state("i1") == "serving" })
		x.core.tell(emptying("i1", address))
		until(t, "it leaves", func() bool { return x.state("i1") != "serving" })
	}
	r.send()
	until(t, "it waits", func() bool { return x.counts.waited.Load() == 1 })
	switch r.event {
	case verdict.CallerGone:
		began := time.Now()
		r.caller.Close()
		until(t, "it is given up", func() bool { return x.counts.refused.Load() == 1 })
		if held := time.Since(began); held > 5*time.Second { // it may wait for 9 s
			t.Errorf("it was held for %v", held)
		}
	case verdict.Shutdown:
		x.stop()
		until(t, "it leaves", x.leaving.Load)
	}
	if r.rule.Course == verdict.GoesOn {
		next := newStage(t)
		r.stage = next
		x.core.tell(app("i3", next.l.Addr().String()))
	}
	r.check()
	x.core.tell(app("i4", address)) // nothing that was refused or abandoned is sent when there is room at last
	until(t, "there is room", func() bool { return x.state("i4") == "serving" || r.event == verdict.Shutdown })
	r.stage.mu.Lock()
	defer r.stage.mu.Unlock()
	if ran := r.stage.ran["t1"]; (ran == 1) != (r.rule.Course == verdict.GoesOn) {
		t.Errorf("it ran %d times", ran)
	}
}

// holdDial has the next connection to the stage handed over only when it is let go.
func (r *row) holdDial() (dialling <-chan struct{}, release func()) {
	began, let := make(chan struct{}, 1), make(chan struct{})
	dial := r.x.sends.DialContext
	r.x.sends.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != r.stage.l.Addr().String() {
			return dial(ctx, network, address)
		}
		c, err := dial(ctx, network, address)
		select {
		case began <- struct{}{}:
		default:
		}
		<-let
		return c, err
	}
	return began, func() { close(let) }
}

// playDialing plays a row of a request whose connection comes up.
func (r *row) playDialing() {
	t, x := r.t, r.x
	switch r.event {
	case verdict.Reset:
		r.stage.l.Close()
		r.send()
		r.check()
		return
	case verdict.Silence:
		x.core.tell(emptying("i1", r.stage.l.Addr().String()), app("i3", silent(t)))
		until(t, "the silent one is known", func() bool { return x.state("i3") == "serving" && x.state("i1") != "serving" })
		r.send()
		r.check()
		return
	}
	r.stage.holds.Store(false)
	dialling, release := r.holdDial()
	r.send()
	<-dialling
	r.at(verdict.Dialing)
	address := r.stage.l.Addr().String()
	switch r.event {
	case verdict.CallerGone:
		r.caller.Close()
		until(t, "that is seen", func() bool { return r.request.Load().Context().Err() != nil })
	case verdict.Shutdown:
		x.stop()
		until(t, "it leaves", x.leaving.Load)
	case verdict.Withdrawn: // and given again before the connection is up
		x.core.tell(emptying("i1", address))
		until(t, "it leaves", func() bool { return x.state("i1") != "serving" })
		it := app("i1", address)
		it.Version = 6
		x.core.tell(it)
		until(t, "it is back", func() bool { return x.state("i1") == "serving" })
	}
	release()
	r.check()
	r.stage.mu.Lock()
	defer r.stage.mu.Unlock()
	if ran := r.stage.ran["t1"]; (ran == 1) != (r.rule.Course == verdict.GoesOn) {
		t.Errorf("it ran %d times", ran)
	}
}

// silent is an address at which no connection comes up: its queue of new connections is full.
func silent(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 20 {
		c, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("the system takes connections that nobody accepts")
	return ""
}

// playConnected plays a row of a request that has a connection, nearly always a kept one, on which nothing is written yet:
// the lock that the first byte waits for is held meanwhile.
func (r *row) playConnected() {
	t, x := r.t, r.x
	if r.event == verdict.Withdrawn {
		r.playWithdrawn()
		return
	}
	r.held = make(chan struct{})
	before := x.call(t, "t0", r.path(), "20000", 1, 1)
	r.link = <-r.stage.conns
	if _, err := r.stage.take(r.link); err != nil {
		t.Fatal(err)
	}
	r.write(text(200, "yes", others, sealed))
	if got := <-before.got; got.status != 200 {
		t.Fatalf("the request before: %+v", got)
	}
	r.send()
	<-r.held
	r.at(verdict.Connected)
	if !r.attempt.Load().reused.Load() { // the transport has not kept the one before
		r.link = <-r.stage.conns
	}
	r.stage.holds.Store(false)
	r.befallConnected()
	x.mu.Unlock()
	r.check()
	r.stage.mu.Lock()
	defer r.stage.mu.Unlock()
	want := 1
	if r.event == verdict.Silence || r.event == verdict.CallerGone {
		want = 0
	}
	if ran := r.stage.ran["t1"] + int(r.second.Load()); ran != want {
		t.Errorf("it ran %d times, want %d", ran, want)
	}
	if r.stage.ran["t1"] == 1 && (r.stage.onConn["t1"] == r.link.number) != (r.event == verdict.Shutdown) {
		t.Errorf("it came on connection %d of which the first was held up", r.stage.onConn["t1"])
	}
}

// befallConnected brings the event about while nothing can be written.
func (r *row) befallConnected() {
	gone := func() {
		until(r.t, "the relay has closed it", func() bool { _, err := r.link.in.ReadByte(); return err != nil })
	}
	switch r.event {
	case verdict.CallerGone:
		r.caller.Close()
		until(r.t, "that is seen", func() bool { return r.request.Load().Context().Err() != nil })
		if !r.risky {
			gone()
		}
	case verdict.Shutdown:
		r.x.stop()
		until(r.t, "it leaves", r.x.leaving.Load)
		go r.stage.serve(r.link)
	case verdict.Silence:
		gone()
	case verdict.Reset:
		dials := r.x.counts.dials.Load()
		r.befall()
		until(r.t, "the relay has closed it, or has taken the next", func() bool {
			r.x.links.mu.Lock()
			defer r.x.links.mu.Unlock()
			return r.x.links.open[r.stage.l.Addr().String()] == 0 || r.x.counts.dials.Load() > dials
		})
	default:
		r.answerOrClose()
		gone()
	}
}

func (r *row) answerOrClose() {
	if r.event == verdict.Close {
		r.link.CloseWrite()
		return
	}
	r.answer()
}

// playWithdrawn has the appliance leave while the connection comes up: at the first byte nothing may go there any more.
func (r *row) playWithdrawn() {
	dialling, release := r.holdDial()
	r.stage.holds.Store(false)
	r.send()
	<-dialling
	r.x.core.tell(emptying("i1", r.stage.l.Addr().String()))
	until(r.t, "it leaves", func() bool { return r.x.state("i1") != "serving" })
	release()
	r.check()
	r.stage.mu.Lock()
	defer r.stage.mu.Unlock()
	if r.stage.ran["t1"] != 0 {
		r.t.Error("it ran at the one that leaves")
	}
}
