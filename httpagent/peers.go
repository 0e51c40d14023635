package httpagent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"sagelever/internal/agent/api"
)

const maxMessageSize = 256 // bytes that a message between agents may have

// peerSocket is the datagram side of an agent.
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
	p := &peerSocket{numbers: map[netip.AddrPort]api.PeerNumber{}, outgoing: make(chan api.SendMessage, 64), log: log}
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

// enqueue queues a message; like any datagram it may be lost, so a full queue drops it.
func (p *peerSocket) enqueue(message api.SendMessage) {
	select {
	case p.outgoing <- message:
	default:
	}
}

// sendLoop writes what is queued.
func (p *peerSocket) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-p.outgoing:
			if message.All && !p.all.IsValid() { // there is no address for all: one after the other
				for _, other := range p.others {
					p.write(message.Data, other)
				}
				continue
			}
			to := p.all
			if !message.All {
				if int(message.To) < 0 || int(message.To) >= len(p.others) {
					continue
				}
				to = p.others[message.To]
			}
			p.write(message.Data, to)
		}
	}
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

// receiveLoop reads messages until the socket is closed. One that is too long or from nobody known is dropped.
func (p *peerSocket) receiveLoop(deliver func(api.Event)) {
	buffer := make([]byte, 2*maxMessageSize)
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
