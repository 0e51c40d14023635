package server

import (
	"encoding/json"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/storage"
)

// maxSaveInterval is the interval at which the progress is written if nothing has changed. After a restart, the time in
// the progress record shows how old the restored items are.
const maxSaveInterval = 5 * time.Second

// savedState tracks which items and disk generations are in the store. The server writes them without a sync.
// (Registers, the minimum proposal number and the identity are written by startSaves, before the replica acknowledges
// anything.)
type savedState struct {
	sequence    uint64            // sequence number up to which the replica's items are in the store
	savedAt     time.Time         // when the progress was last written
	generations map[string]string // disk generations of other replicas as stored, by node
	pending     map[string]string // records to write next, by key; an empty value deletes the record
}

func newSavedState() savedState {
	return savedState{generations: map[string]string{}, pending: map[string]string{}}
}

// saveItems writes the items that have changed since the last call, and the progress up to which all items are stored.
// It does not wait for the disk.
func (s *Server) saveItems() {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, progress, sequence := s.replica.ItemsToPersist(s.saved.sequence)
	records := s.saved.pending
	now := s.now()
	unchanged := sequence == s.saved.sequence && len(records) == 0
	if unchanged && now.Sub(s.saved.savedAt) < maxSaveInterval {
		return
	}
	for _, item := range items {
		records[itemPrefix+item.Item.Key] = formatItem(item)
	}
	s.addGenerations(records)
	if progress != nil {
		records[progressKey] = formatProgress(progress, now)
		s.saved.savedAt = now
	}
	s.saved.pending = map[string]string{}
	s.saved.sequence = sequence
	write := s.store.PutUnsynced(records)
	go s.confirmItems(write, records)
}

// addGenerations adds records for the disk generations that differ from the stored ones.
func (s *Server) addGenerations(records map[string]string) {
	for node, generation := range s.replica.DiskGenerations() {
		text := formatGeneration(generation)
		if s.saved.generations[node] == text {
			continue
		}
		s.saved.generations[node] = text
		records[generationPrefix+node] = text
	}
}

// confirmItems waits until a write of records has ended, and calls writeFailed if it has failed.
func (s *Server) confirmItems(write storage.WriteFuture, records map[string]string) {
	if write.Wait() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved.writeFailed(records)
}

// writeFailed causes everything to be written again after a failed write of records, as the content of the store is
// then unknown: all items, all generations, and the deletions among the records. If an item has been added again since,
// its pending record replaces the deletion.
func (s *savedState) writeFailed(records map[string]string) {
	s.sequence = 0
	s.generations = map[string]string{}
	for key, text := range records {
		if _, pending := s.pending[key]; text == "" && !pending {
			s.pending[key] = ""
		}
	}
}

// loadState reads the state from which the replica resumes after a restart. It records in saved which generations need
// not be written again and which legacy records are to be deleted. It returns an error if a register, the minimum
// proposal number or the identity is malformed. Other malformed records are skipped, as other members have the items
// too.
func loadState(store *storage.Store, saved *savedState) (replica.PersistedState, error) {
	state := replica.PersistedState{}
	if err := loadRegisters(store, &state); err != nil {
		return state, err
	}
	if err := loadIdentity(store, &state); err != nil {
		return state, err
	}
	loadGenerations(store, &state, saved)
	state.Progress, state.ProgressAt = parseProgress(store.Load(progressKey)[""])
	loadItems(store, &state, saved)
	return state, nil
}

func loadRegisters(store *storage.Store, state *replica.PersistedState) error {
	for _, text := range store.Load(entryPrefix) {
		entry := quorum.Entry{}
		if err := easyjson.Unmarshal([]byte(text), &entry); err != nil {
			return err
		}
		state.Entries = append(state.Entries, entry)
	}
	text, ok := store.Load(minProposalKey)[""]
	if !ok {
		return nil
	}
	minProposal := &message.PeerRequest{}
	if err := easyjson.Unmarshal([]byte(text), minProposal); err != nil {
		return err
	}
	state.MinProposal = minProposal.Proposal
	return nil
}

func loadIdentity(store *storage.Store, state *replica.PersistedState) error {
	text, ok := store.Load(identityKey)[""]
	if ok {
		return json.Unmarshal([]byte(text), &state.Identity)
	}
	_, state.LegacyDisk = store.Load(legacyInitializedKey)[""]
	return nil
}

func loadGenerations(store *storage.Store, state *replica.PersistedState, saved *savedState) {
	state.Generations = map[string]message.DiskGeneration{}
	for node, text := range store.Load(generationPrefix) {
		if generation, ok := parseGeneration(text); ok {
			state.Generations[node] = generation
			saved.generations[node] = text
		}
	}
}

func loadItems(store *storage.Store, state *replica.PersistedState, saved *savedState) {
	for key, text := range store.Load(itemPrefix) {
		if item, ok := parseItem(key, text); ok {
			state.Items = append(state.Items, item)
		}
	}
	for key, text := range store.Load(legacyBackendPrefix) {
		if item, ok := parseLegacyBackend(key, text); ok {
			state.Items = append(state.Items, item)
		}
		saved.pending[legacyBackendPrefix+key] = ""
	}
	for key := range store.Load(legacyLeasePrefix) {
		saved.pending[legacyLeasePrefix+key] = ""
	}
}
