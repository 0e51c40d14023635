package server

import (
	"net/http"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

// peerCall identifies the requests of this replica to one path of one member.
type peerCall struct{ node, path string }

// peerCallCounts count requests to another member by their result.
type peerCallCounts struct {
	sent     int64
	answered int64
	refused  int64 // answered with a status other than 200
}

// peerCallLog counts the requests of this replica to other members. It logs a member that does not serve a path of the
// protocol, as one of an earlier version does, once until that member serves it.
type peerCallLog struct {
	log *zap.Logger

	mu       sync.Mutex
	counts   map[peerCall]*peerCallCounts
	unserved map[peerCall]bool // logged
}

// record records the result of a request.
func (l *peerCallLog) record(to message.Member, path string, err error) {
	call := peerCall{node: to.Node, path: path}
	status, isStatus := errors.Into[*rpc.StatusError](err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[peerCall]*peerCallCounts{}
		l.unserved = map[peerCall]bool{}
	}
	counts := l.counts[call]
	if counts == nil {
		counts = &peerCallCounts{}
		l.counts[call] = counts
	}
	counts.sent++
	switch {
	case err == nil:
		counts.answered++
		delete(l.unserved, call)
	case isStatus:
		counts.refused++
		l.reportUnserved(call, status)
	}
}

// reportUnserved logs a path that a member does not serve, unless that has been logged. The caller must hold l.mu.
func (l *peerCallLog) reportUnserved(call peerCall, status *rpc.StatusError) {
	if status.Code != http.StatusNotFound || l.unserved[call] {
		return
	}
	l.unserved[call] = true
	l.log.Warn("member does not serve a call", zap.String("member", call.node), zap.String("path", call.path))
}

// total returns the sum of a count over the requests to a path of all members.
func (l *peerCallLog) total(path string, count func(*peerCallCounts) int64) (sum int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for call, counts := range l.counts {
		if call.path == path {
			sum += count(counts)
		}
	}
	return sum
}

// logConfirmations logs the counts of the confirmations sent to each member.
func (l *peerCallLog) logConfirmations() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for call, counts := range l.counts {
		if call.path != message.ConfirmPath {
			continue
		}
		l.log.Info("confirmations",
			zap.String("member", call.node),
			zap.Int64("sent", counts.sent),
			zap.Int64("answered", counts.answered),
			zap.Int64("refused", counts.refused))
	}
}
