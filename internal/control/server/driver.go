package server

import (
	"context"
	"time"

	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/rpc"
)

// peerCallTimeout bounds a request of the replica to another controller.
const peerCallTimeout = 4 * time.Second

// step calls a method of the replica under the lock and carries out what it brings.
func (s *Server) step(action func(now time.Time)) {
	s.mu.Lock()
	action(s.now())
	entries := s.applyOutput()
	s.mu.Unlock()
	s.logEntries(entries)
}

// applyOutput carries out what the replica has produced since the last call, except for the log entries, which it
// returns. The lock must be held: the store has to receive the saves in the order in which the replica has produced
// them.
func (s *Server) applyOutput() []replica.LogEntry {
	output := s.replica.TakeOutput()
	s.startSaves(output.Saves)
	s.sendRequests(output.Requests)
	s.deliverResponses(output.Responses)
	s.deliverCompletions(output.Completions)
	for _, key := range output.DeletedKeys {
		s.saved.pending[itemPrefix+key] = ""
	}
	s.pullNow(output.PullNow)
	if output.NotifyAfter >= 0 {
		s.notifyAfter(output.NotifyAfter)
	}
	s.scheduleTick(s.replica.NextDeadline())
	return output.LogEntries
}

// startSaves writes registers, the least proposal number and the identity. The replica answers nobody on the strength
// of them before HandleSaved has told it that they are on the disk.
func (s *Server) startSaves(saves []replica.Save) {
	for _, save := range saves {
		write := s.store.PutAsync(encodeSave(save))
		go func() {
			err := write.Wait()
			s.diskFailures.record(err)
			s.step(func(now time.Time) { s.replica.HandleSaved(now, save.ID, err) })
		}()
	}
}

// sendRequests sends requests to other controllers. A request to several of them is encoded once.
func (s *Server) sendRequests(requests []replica.OutgoingRequest) {
	bodies := map[*message.PeerRequest][]byte{}
	for _, outgoing := range requests {
		body := bodies[outgoing.Request]
		if body == nil {
			body, _ = easyjson.Marshal(outgoing.Request) // strings and integers only: it cannot fail
			bodies[outgoing.Request] = body
		}
		go s.sendRequest(outgoing, body)
	}
}

// sendRequest sends one request and hands the replica the response; nil if there is none.
func (s *Server) sendRequest(outgoing replica.OutgoingRequest, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	response := &message.PeerResponse{}
	if rpc.Post(ctx, s.peerClient, outgoing.To.Addr, outgoing.Path, body, response) != nil {
		response = nil
	}
	s.step(func(now time.Time) { s.replica.HandleResponse(now, outgoing.ID, response) })
}

// deliverResponses hands responses to the calls of other controllers that wait for them. The channels are buffered.
func (s *Server) deliverResponses(responses []replica.OutgoingResponse) {
	for _, response := range responses {
		waiting := s.pendingCalls[response.CallID]
		if waiting == nil {
			continue
		}
		delete(s.pendingCalls, response.CallID)
		waiting <- response
	}
}

// deliverCompletions hands results to the proposals and reads that wait for them. The channels are buffered.
func (s *Server) deliverCompletions(completions []replica.Completion) {
	for _, completion := range completions {
		waiting := s.pendingTasks[completion.OperationID]
		if waiting == nil {
			continue
		}
		delete(s.pendingTasks, completion.OperationID)
		waiting <- completion
	}
}

// pullNow makes the next pulls from members that are known to be up again start at once. A controller that is not known
// as a member is asked who the members are.
func (s *Server) pullNow(members []message.Member) {
	for _, member := range members {
		if cancel := s.cancelPulls[member.Addr]; cancel != nil {
			cancel()
			continue
		}
		go s.probe(context.Background(), member.Addr)
	}
}

// notifyAfter wakes the pulls that wait for updates after a delay, unless they are woken earlier. The lock must be
// held.
func (s *Server) notifyAfter(delay time.Duration) {
	at := s.now().Add(delay)
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.wakeAt.IsZero() || s.now().Before(s.wakeAt) {
			return // a more urgent update has woken them already
		}
		s.wakeAt = time.Time{}
		close(s.updated)
		s.updated = make(chan struct{})
	})
}

// scheduleTick calls the replica's Tick at a time, unless an earlier call is scheduled. The lock must be held.
func (s *Server) scheduleTick(due time.Time) {
	if due.IsZero() || !s.nextTick.IsZero() && !due.Before(s.nextTick) {
		return
	}
	s.nextTick = due
	time.AfterFunc(due.Sub(s.now()), func() {
		s.step(func(now time.Time) {
			s.nextTick = time.Time{}
			s.replica.Tick(now)
		})
	})
}

// logEntries logs the replica's changes of state.
func (s *Server) logEntries(entries []replica.LogEntry) {
	for _, entry := range entries {
		fields := make([]zap.Field, 0, len(entry.Fields))
		for _, field := range entry.Fields {
			fields = append(fields, zap.String(field.Key, field.Value))
		}
		s.log.Info(entry.Message, fields...)
	}
}
