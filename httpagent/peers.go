package httpagent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"sagelever/agent"
)

const mostMessage = 256 // bytes that a message between agents may have

// peers is the datagram side of an agent.
type peers struct {
	socket  *net.UDPConn
	numbers map[netip.AddrPort]agent.PeerNo
	others  []netip.AddrPort
	all     netip.AddrPort
	out     chan agent.Tell
	log     *slog.Logger
}

func openPeers(s *Station, log *slog.Logger) (*peers, error) {
	at, err := netip.ParseAddrPort(s.PeerAt)
	if err != nil {
		return nil, err
	}
	p := &peers{numbers: map[netip.AddrPort]agent.PeerNo{}, out: make(chan agent.Tell, 64), log: log}
	for i, address := range s.Peers {
		other, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		p.numbers[other] = agent.PeerNo(i)
		p.others = append(p.others, other)
	}
	if s.AllPeers != "" {
		if p.all, err = netip.ParseAddrPort(s.AllPeers); err != nil {
			return nil, err
		}
	}
	p.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	return p, err
}

// tell queues a message; like any datagram it may be lost, so a full queue drops it.
func (p *peers) tell(t agent.Tell) {
	select {
	case p.out <- t:
	default:
	}
}

// send writes what is queued.
func (p *peers) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.out:
			if t.All && !p.all.IsValid() { // there is no address for all: one after the other
				for _, other := range p.others {
					p.write(t.Data, other)
				}
				continue
			}
			to := p.all
			if !t.All {
				if int(t.To) < 0 || int(t.To) >= len(p.others) {
					continue
				}
				to = p.others[t.To]
			}
			p.write(t.Data, to)
		}
	}
}

func (p *peers) write(data []byte, to netip.AddrPort) {
	if len(data) > mostMessage {
		p.log.Warn("message_dropped", "bytes", len(data), "to", to)
		return
	}
	if _, err := p.socket.WriteToUDPAddrPort(data, to); err != nil {
		p.log.Warn("message_failed", "to", to, "error", err)
	}
}

// hear reads messages until the socket is closed. One that is too long or from nobody known is dropped.
func (p *peers) hear(tell func(agent.Event)) {
	buffer := make([]byte, 2*mostMessage)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || n > mostMessage {
			continue
		}
		tell(agent.Heard{From: number, Data: append([]byte(nil), buffer[:n]...)})
	}
}
