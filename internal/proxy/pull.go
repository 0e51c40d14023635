package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

// responseTimeout bounds the duration of a pull beyond the time for which the controller may delay its response.
const responseTimeout = time.Second

var (
	errLeaseReleased = errors.New("lease is already released")
	errStaleResponse = errors.New("response arrived too late")
)

// answeredPull is a pull and the response to it.
type answeredPull struct {
	addr     string // of the controller
	request  *message.PullRequest
	response *message.PullResponse
	sentAt   time.Time
	transfer *transfer // the transfer that the pull continues; nil if none
}

// pull requests updates from the controller at addr and applies them. The controller may delay its response by up to
// wait while it has none.
func (s *subscription) pull(ctx context.Context, addr string, wait time.Duration) (*message.PullResponse, error) {
	s.mu.Lock()
	released := s.leaseReleased
	s.mu.Unlock()
	if released {
		return nil, errLeaseReleased
	}
	request, continued := s.newPullRequest(addr, wait)
	body, err := easyjson.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	response := &message.PullResponse{}
	sentAt := time.Now()
	if err := rpc.Post(ctx, s.client, addr, message.PullPath, body, response); err != nil {
		return nil, err
	}
	pull := answeredPull{addr: addr, request: request, response: response, sentAt: sentAt, transfer: continued}
	if err := s.apply(pull, time.Now()); err != nil {
		return nil, err
	}
	return response, nil
}

// newPullRequest returns a pull request with the proxy's identity, its client address and its progress, and the
// transfer that the pull continues, if any.
func (s *subscription) newPullRequest(
	addr string, wait time.Duration,
) (request *message.PullRequest, continued *transfer) {
	clientAddr := ""
	if s.proxy.ready() {
		clientAddr = s.proxy.settings.ListenAddresses["front"]
	}
	wantAuthority := !s.proxy.holdsAuthority(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advertise(clientAddr)
	request = &message.PullRequest{
		From:            s.member(),
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		WaitMs:          wait.Milliseconds(),
		ListenerAddr:    s.advertisedAddr,
		Incarnation:     s.advertVersion,
		WantAuthority:   wantAuthority,
	}
	if time.Since(s.lastUpdate) < fullSyncAfter {
		request.Progress = maps.Clone(s.progress)
		if s.transfer != nil && s.transfer.addr == addr {
			continued = s.transfer
			request.Progress = maps.Clone(continued.cursor)
		}
	}
	if addr == s.sourceAddr {
		request.SurveyID = s.lastSurvey
	}
	if source := s.legacySources[addr]; source != "" {
		request.LegacyVector = map[string]uint64{source: s.legacyProgress[source]}
	}
	return request, continued
}

// member returns the identity of this proxy for messages to controllers.
func (s *subscription) member() message.Member {
	return message.Member{Node: s.proxy.settings.Node, Zone: s.proxy.settings.Zone}
}

// advertise sets the client address in the membership lease. A changed address gets a version above all previous ones,
// including those of earlier runs of this proxy. The caller must hold s.mu.
func (s *subscription) advertise(clientAddr string) {
	if clientAddr == s.advertisedAddr {
		return
	}
	s.advertisedAddr = clientAddr
	s.advertVersion = max(s.advertVersion+1, uint64(time.Now().UnixMilli()))
}
