package httpagent

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"testing"

	"sagelever/internal/agent/api"
)

func TestPeers(t *testing.T) {
	open := func(others ...string) *peerSocket {
		peers, err := openPeerSocket(&Station{PeerAt: "127.0.0.1:0", Peers: others}, slog.Default())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(peers.close)
		return peers
	}
	one, three := open(), open()
	two := open(one.socket.LocalAddr().String(), three.socket.LocalAddr().String())
	three.numbers[two.socket.LocalAddr().(*net.UDPAddr).AddrPort()] = 4
	received := make(chan api.Event, 4)
	go one.receiveLoop(func(e api.Event) { received <- e })
	go three.receiveLoop(func(e api.Event) { received <- e })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go two.sendLoop(ctx)
	two.enqueue(api.SendMessage{To: 5, Data: []byte("nobody")})
	two.enqueue(api.SendMessage{To: 0, Data: []byte("from a stranger")})
	two.enqueue(api.SendMessage{To: 1, Data: make([]byte, maxMessageSize+1)})
	two.enqueue(api.SendMessage{To: 1, Data: []byte("hi")})
	if got := (<-received).(api.MessageReceived); got.From != 4 || !bytes.Equal(got.Data, []byte("hi")) {
		t.Errorf("received %+v", got)
	}
}
