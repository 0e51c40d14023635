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

// peerCallTimeout bounds a request from the replica to another controller.
const peerCallTimeout = 4 * time.Second

// step runs action, which calls the replica, while it holds s.mu, and then processes the replica's output.
func (s *Server) step(action func(now time.Time)) {
	s.mu.Lock()
	action(s.now())
	entries := s.applyOutput()
	s.mu.Unlock()
	s.logEntries(entries)
}

// applyOutput processes the output that the replica has produced since the last call, except for the log entries, which
// it returns. The caller must hold s.mu, as the store must receive the saves in the order in which the replica has
// produced them.
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

// startSaves writes registers, the minimum proposal number and the identity. The replica sends no response that depends
// on them until a call of HandleSaved reports that they are durable.
func (s *Server) startSaves(saves []replica.Save) {
	for _, save := range saves {
		s.knownOrders.observe(time.Now(), save.Entries)
		write := s.store.PutAsync(encodeSave(save))
		go func() {
			err := write.Wait()
			s.diskFailures.record(err)
			s.step(func(now time.Time) { s.replica.HandleSaved(now, save.ID, err) })
		}()
	}
}

// sendRequests sends requests to other controllers. A request to several controllers is encoded once.
func (s *Server) sendRequests(requests []replica.OutgoingRequest) {
	bodies := map[*message.PeerRequest][]byte{}
	for _, outgoing := range requests {
		body := bodies[outgoing.Request]
		if body == nil {
			body, _ = easyjson.Marshal(outgoing.Request) // can't fail, as it contains only strings and integers
			bodies[outgoing.Request] = body
		}
		go s.sendRequest(outgoing, body)
	}
}

// sendRequest sends one request and passes the response to the replica, or nil if the request fails.
func (s *Server) sendRequest(outgoing replica.OutgoingRequest, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	response := &message.PeerResponse{}
	err := rpc.Post(ctx, s.peerClient, outgoing.To.Addr, outgoing.Path, body, response)
	s.peerCalls.record(outgoing.To, outgoing.Path, err)
	if err != nil {
		response = nil
	}
	s.step(func(now time.Time) { s.replica.HandleResponse(now, outgoing.ID, response) })
}

// deliverResponses passes responses to the pending calls of other controllers. It does not block, as the channels are
// buffered.
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

// deliverCompletions passes results to the pending proposals and reads. It does not block, as the channels are
// buffered.
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

// pullNow starts the next pulls from the given members immediately, as they are known to be up again. A controller
// without a pull loop is probed for the list of members.
func (s *Server) pullNow(members []message.Member) {
	for _, member := range members {
		if cancel := s.cancelPulls[member.Addr]; cancel != nil {
			cancel()
			continue
		}
		go s.probe(context.Background(), member.Addr)
	}
}

// notifyAfter wakes the pulls that wait for updates after a delay, unless an earlier wake-up is scheduled. The caller
// must hold s.mu.
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
			return // a more urgent update has already woken the pulls
		}
		s.wakeAt = time.Time{}
		close(s.updated)
		s.updated = make(chan struct{})
	})
}

// scheduleTick schedules a call of the replica's Tick, unless an earlier call is scheduled. The caller must hold s.mu.
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

// logEntries writes the replica's log entries to the server's log.
func (s *Server) logEntries(entries []replica.LogEntry) {
	for _, entry := range entries {
		fields := make([]zap.Field, 0, len(entry.Fields))
		for _, field := range entry.Fields {
			fields = append(fields, zap.String(field.Key, field.Value))
		}
		s.log.Info(entry.Message, fields...)
	}
}
