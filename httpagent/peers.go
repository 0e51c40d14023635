package httpagent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"sagelever/internal/agent/api"
)

const (
	maxMessageSize   = 256 // bytes of a message between agents
	peerQueueSize    = 64  // messages queued for sending
	receiveBufferLen = 2 * maxMessageSize
)

// peerSocket exchanges datagrams with the other agents. Messages may be lost.
type peerSocket struct {
	socket   *net.UDPConn
	numbers  map[netip.AddrPort]api.PeerNumber
	others   []netip.AddrPort
	all      netip.AddrPort
	outgoing chan api.SendMessage
	log      *slog.Logger
}

func openPeerSocket(station *Station, log *slog.Logger) (*peerSocket, error) {
	local, err := netip.ParseAddrPort(station.PeerAt)
	if err != nil {
		return nil, err
	}
	p := &peerSocket{numbers: map[netip.AddrPort]api.PeerNumber{}, outgoing: make(chan api.SendMessage, peerQueueSize),
		log: log}
	for i, address := range station.Peers {
		other, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		p.numbers[other] = api.PeerNumber(i)
		p.others = append(p.others, other)
	}
	if station.AllPeers != "" {
		if p.all, err = netip.ParseAddrPort(station.AllPeers); err != nil {
			return nil, err
		}
	}
	p.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	return p, err
}

// enqueue queues a message for sending, or drops it if the queue is full.
func (p *peerSocket) enqueue(message api.SendMessage) {
	select {
	case p.outgoing <- message:
	default:
	}
}

// sendLoop sends queued messages until ctx is canceled.
func (p *peerSocket) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-p.outgoing:
			for _, to := range p.receivers(message) {
				p.write(message.Data, to)
			}
		}
	}
}

// receivers returns the addresses that a message is sent to: the address for all peers if the station has one,
// otherwise each peer's address for a message to all.
func (p *peerSocket) receivers(message api.SendMessage) []netip.AddrPort {
	to := int(message.To)
	switch {
	case message.All && p.all.IsValid():
		return []netip.AddrPort{p.all}
	case message.All:
		return p.others
	case to < 0 || to >= len(p.others):
		return nil
	}
	return p.others[to : to+1]
}

// close ends receiveLoop.
func (p *peerSocket) close() {
	_ = p.socket.Close() // nothing is sent any more, so the error does not matter
}

func (p *peerSocket) write(data []byte, to netip.AddrPort) {
	if len(data) > maxMessageSize {
		p.log.Warn("message_dropped", "bytes", len(data), "to", to)
		return
	}
	if _, err := p.socket.WriteToUDPAddrPort(data, to); err != nil {
		p.log.Warn("message_failed", "to", to, "error", err)
	}
}

// receiveLoop delivers messages until the socket is closed. Messages that are too long or from an unknown sender are
// dropped.
func (p *peerSocket) receiveLoop(deliver func(api.Event)) {
	buffer := make([]byte, receiveBufferLen)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || n > maxMessageSize {
			continue
		}
		deliver(api.MessageReceived{From: number, Data: append([]byte(nil), buffer[:n]...)})
	}
}
