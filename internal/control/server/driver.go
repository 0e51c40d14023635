package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

// Keys in the vault. The disk keeps a beginning of what is noted together, in the order of the keys: progressKey is the last,
// so that it never claims an item that is not there.
const (
	entryPrefix      = "e/"
	floorKey         = "floor"
	legacyBirthKey   = "born" // the version before sets of members: the disk was whole
	identityKey      = "identity"
	generationPrefix = "g/" // of other replicas' disks, by node
	itemPrefix       = "i/"
	progressKey      = "z"
	// The version before kept appliances that were ready, and agents that held a lease, by these.
	legacyBackendPrefix = "a/"
	legacyLeasePrefix   = "l/"
)

// step has the machine take a step and carries out what that brings.
func (s *Server) step(action func(now time.Time)) {
	s.mu.Lock()
	action(s.now())
	lines := s.applyOutput()
	s.mu.Unlock()
	for _, line := range lines {
		fields := make([]zap.Field, 0, len(line.Fields)/2)
		for i := 0; i+1 < len(line.Fields); i += 2 {
			fields = append(fields, zap.String(line.Fields[i], line.Fields[i+1]))
		}
		s.log.Info(line.Message, fields...)
	}
}

// applyOutput carries out what steps have brought; under the lock, so that the disk is handed all in its order.
func (s *Server) applyOutput() []replica.LogEntry {
	output := s.replica.TakeOutput()
	for _, x := range output.Saves {
		result := s.store.PutAsync(encodeSave(x))
		go func() {
			err := result.Wait()
			s.diskFailures.record(err)
			s.step(func(now time.Time) { s.replica.HandleSaved(now, x.ID, err) })
		}()
	}
	bodies := map[*message.PeerRequest][]byte{}
	for _, x := range output.Requests {
		body := bodies[x.Request]
		if body == nil {
			body, _ = easyjson.Marshal(x.Request) // texts and whole numbers only: it cannot fail
			bodies[x.Request] = body
		}
		go s.sendRequest(x, body)
	}
	for _, x := range output.Responses {
		if channel := s.pendingCalls[x.CallID]; channel != nil {
			delete(s.pendingCalls, x.CallID)
			channel <- x
		}
	}
	for _, x := range output.Completions {
		if channel := s.pendingTasks[x.OperationID]; channel != nil {
			delete(s.pendingTasks, x.OperationID)
			channel <- x
		}
	}
	for _, key := range output.ForgottenKeys {
		s.unsavedRecords[itemPrefix+key] = ""
	}
	for _, x := range output.PullNow {
		if cancel := s.cancelPulls[x.Addr]; cancel != nil {
			cancel()
		} else { // no member that is known: it is asked who the members are
			go s.pullOnce(context.Background(), message.Member{Addr: x.Addr})
		}
	}
	if output.NotifyAfter >= 0 {
		s.wakeAfter(output.NotifyAfter)
	}
	if due := s.replica.NextDeadline(); !due.IsZero() && (s.nextTick.IsZero() || due.Before(s.nextTick)) {
		s.nextTick = due
		time.AfterFunc(due.Sub(s.now()), func() {
			s.step(func(now time.Time) {
				s.nextTick = time.Time{}
				s.replica.Tick(now)
			})
		})
	}
	return output.LogEntries
}

// encodeSave is what a save writes.
func encodeSave(save replica.Save) map[string]string {
	records := make(map[string]string, len(save.Entries)+2)
	for _, entry := range save.Entries {
		data, _ := easyjson.Marshal(entry) // texts and whole numbers only: it cannot fail
		records[entryPrefix+entry.Key] = string(data)
	}
	if save.Floor != nil {
		data, _ := easyjson.Marshal(&message.PeerRequest{Proposal: *save.Floor})
		records[floorKey] = string(data)
	}
	if save.Identity != nil {
		data, _ := json.Marshal(save.Identity) // texts and whole numbers only: it cannot fail
		records[identityKey] = string(data)
	}
	return records
}

// sendRequest carries a message to another member, and its reply back.
func (s *Server) sendRequest(outgoing replica.OutgoingRequest, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	response := &message.PeerResponse{}
	if rpc.Post(ctx, s.peerClient, outgoing.To.Addr, outgoing.Path, body, response) != nil {
		response = nil
	}
	s.step(func(now time.Time) { s.replica.HandleResponse(now, outgoing.ID, response) })
}

// handleRequest is this member's part in what another has under way.
func (s *Server) handleRequest(ctx context.Context, path string, request *message.PeerRequest) (*message.PeerResponse, error) {
	done := make(chan replica.OutgoingResponse, 1)
	s.step(func(now time.Time) {
		s.lastCallID++
		s.pendingCalls[s.lastCallID] = done
		s.replica.HandleRequest(now, s.lastCallID, path, request)
	})
	select {
	case answer := <-done:
		return answer.Response, answer.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runTask begins something with the others and waits for its end.
func (s *Server) runTask(ctx context.Context, start func(now, until time.Time) uint64) (map[string]quorum.Value, error) {
	done := make(chan replica.Completion, 1)
	timeout := callTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	s.step(func(now time.Time) { s.pendingTasks[start(now, now.Add(timeout))] = done })
	select {
	case result := <-done:
		return result.Values, result.Err
	case <-ctx.Done():
		return nil, replica.ErrTooFewResponses
	}
}

// propose makes changes to registers lasting.
func (s *Server) propose(ctx context.Context, changes map[string]quorum.UpdateFunc) (map[string]quorum.Value, error) {
	s.counters.proposals.Add(1)
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.Write(now, until, changes) })
}

// readPrefix is what was acknowledged last of the registers whose keys begin so.
func (s *Server) readPrefix(ctx context.Context, prefix string) (map[string]quorum.Value, error) {
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.Read(now, until, prefix) })
}

// wakeAfter wakes those who wait for news, in a while; under the lock.
func (s *Server) wakeAfter(delay time.Duration) {
	if at := s.now().Add(delay); s.wakeAt.IsZero() || at.Before(s.wakeAt) {
		s.wakeAt = at
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.wakeAt.IsZero() || s.now().Before(s.wakeAt) {
				return // woken already, by what was more urgent
			}
			s.wakeAt = time.Time{}
			close(s.updated)
			s.updated = make(chan struct{})
		})
	}
}

// saveItems notes on the disk what has become known since the last time, and how far that goes.
func (s *Server) saveItems() {
	s.mu.Lock()
	items, progress, sequence := s.replica.ItemsToPersist(s.savedSequence)
	records := s.unsavedRecords
	now := s.now()
	if sequence == s.savedSequence && len(records) == 0 && now.Sub(s.savedAt) < maxSaveInterval {
		s.mu.Unlock()
		return
	}
	for _, item := range items {
		records[itemPrefix+item.Item.Key] = strings.Join([]string{strconv.FormatUint(item.Item.Version, 16), item.Origin, strconv.FormatUint(item.Number, 16), item.Item.Body}, " ")
	}
	for node, generation := range s.replica.DiskGenerations() {
		text := generation.DiskID + " " + strconv.FormatUint(generation.Number, 10)
		if s.savedGenerations[node] != text {
			s.savedGenerations[node] = text
			records[generationPrefix+node] = text
		}
	}
	if progress != nil {
		records[progressKey] = formatProgress(progress, now)
		s.savedAt = now
	}
	s.unsavedRecords, s.savedSequence = map[string]string{}, sequence
	result := s.store.PutUnsynced(records)
	s.mu.Unlock()
	go func() {
		if result.Wait() != nil { // all is noted again, as it is not known what is there
			s.mu.Lock()
			s.savedSequence = 0
			s.mu.Unlock()
		}
	}()
}

// maxSaveInterval is for how long a note is not written again where nothing has changed: by its time a later life knows how old what
// it remembers is.
const maxSaveInterval = 5 * time.Second

func formatProgress(progress replication.Vector, now time.Time) string {
	parts := []string{strconv.FormatInt(now.UnixMilli(), 10)}
	for origin, number := range progress {
		parts = append(parts, origin+"="+strconv.FormatUint(number, 16))
	}
	return strings.Join(parts, " ")
}

// loadMemory is what the disk holds for the machine.
func (s *Server) loadMemory() (memory replica.PersistedState, err error) {
	for _, text := range s.store.Load(entryPrefix) {
		entry := quorum.Entry{}
		if err := easyjson.Unmarshal([]byte(text), &entry); err != nil {
			return memory, err
		}
		memory.Entries = append(memory.Entries, entry)
	}
	if text, ok := s.store.Load(floorKey)[""]; ok {
		floor := &message.PeerRequest{}
		if err := easyjson.Unmarshal([]byte(text), floor); err != nil {
			return memory, err
		}
		memory.Floor = floor.Proposal
	}
	if text, ok := s.store.Load(identityKey)[""]; ok {
		if err := json.Unmarshal([]byte(text), &memory.Identity); err != nil {
			return memory, err
		}
	} else {
		_, memory.LegacyDisk = s.store.Load(legacyBirthKey)[""]
	}
	memory.Generations = map[string]message.DiskGeneration{}
	for node, text := range s.store.Load(generationPrefix) {
		generation := message.DiskGeneration{}
		if _, err := fmt.Sscan(text, &generation.DiskID, &generation.Number); err == nil {
			memory.Generations[node] = generation
			s.savedGenerations[node] = text
		}
	}
	memory.Progress = replication.Vector{}
	for i, part := range strings.Fields(s.store.Load(progressKey)[""]) {
		if i == 0 {
			milliseconds, _ := strconv.ParseInt(part, 10, 64)
			memory.ProgressAt = time.UnixMilli(milliseconds)
			continue
		}
		origin, number, _ := strings.Cut(part, "=")
		if n, err := strconv.ParseUint(number, 16, 64); err == nil {
			memory.Progress[origin] = n
		}
	}
	for key, text := range s.store.Load(itemPrefix) {
		parts := strings.SplitN(text, " ", 4)
		if len(parts) < 4 {
			continue
		}
		version, err := strconv.ParseUint(parts[0], 16, 64)
		number, err2 := strconv.ParseUint(parts[2], 16, 64)
		if err == nil && err2 == nil {
			memory.Items = append(memory.Items, replica.PersistedItem{Item: replication.Item{Key: key, Version: version, Body: parts[3]}, Origin: parts[1], Number: number})
		}
	}
	for key, text := range s.store.Load(legacyBackendPrefix) {
		number, body, _ := strings.Cut(text, " ")
		if version, err := strconv.ParseUint(number, 16, 64); err == nil {
			memory.Items = append(memory.Items, replica.PersistedItem{Item: replication.Item{Key: key, Version: version, Body: body}})
		}
		s.unsavedRecords[legacyBackendPrefix+key] = ""
	}
	for key := range s.store.Load(legacyLeasePrefix) {
		s.unsavedRecords[legacyLeasePrefix+key] = ""
	}
	return memory, nil
}
