package proxy

import (
	"net"
	"sort"
	"time"

	"sagelever/internal/control/message"
)

// Distances of a controller, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	unknownDistance // nothing but its address is known
)

// addControllers adds controllers by their addresses. Only the host counts: controllers answer proxies on the peer port
// of the settings.
func (s *subscription) addControllers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		addr := net.JoinHostPort(host, s.proxy.settings.PeerPort())
		if _, known := s.controllers[addr]; !known {
			s.controllers[addr] = message.Member{Addr: addr}
		}
	}
}

// candidates lists the addresses of the controllers in the order in which they are to be pulled from: those that are
// not in backoff first, of these the near ones first.
func (s *subscription) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	addrs := make([]string, 0, len(s.controllers))
	ranks := map[string]int{}
	for addr, controller := range s.controllers {
		addrs = append(addrs, addr)
		ranks[addr] = s.distance(controller)
		if now.Before(s.backoffUntil[addr]) {
			ranks[addr] += unknownDistance + 1
		}
	}
	sort.Slice(addrs, func(i, j int) bool {
		a, b := addrs[i], addrs[j]
		return ranks[a] < ranks[b] || ranks[a] == ranks[b] && a < b
	})
	return addrs
}

func (s *subscription) distance(controller message.Member) int {
	switch {
	case controller.Zone == "":
		return unknownDistance
	case controller.Zone == s.proxy.settings.Zone:
		return sameZone
	case s.proxy.settings.Zones[controller.Zone] == s.proxy.settings.Region:
		return sameRegion
	}
	return otherRegion
}

// backOff avoids a controller for a while.
func (s *subscription) backOff(addr string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[addr] = time.Now().Add(duration)
}
