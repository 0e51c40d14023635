package replica

import "time"

// pendingSave is a save that was handed to the disk.
type pendingSave struct {
	entries []string // the keys of its registers
	done    saveCallback
}

// saveCallback continues a step once a save is on disk, or has failed.
type saveCallback func(now time.Time, err error)

// save hands a write to the disk and calls done, which may be nil, with the result. With nothing to write, done is
// called at once. It returns the save's ID, or 0 where there was nothing to write.
func (r *Replica) save(now time.Time, save Save, done saveCallback) (id uint64) {
	if len(save.Entries) == 0 && save.MinProposal == nil && save.Identity == nil {
		if done != nil {
			done(now, nil)
		}
		return 0
	}
	r.lastID++
	save.ID = r.lastID
	r.pendingSaves[save.ID] = r.newPendingSave(save, done)
	r.output.Saves = append(r.output.Saves, save)
	return save.ID
}

// HandleSaved takes the result of the save of an ID: err is nil once all of it is on disk.
func (r *Replica) HandleSaved(now time.Time, id uint64, err error) {
	saved, known := r.pendingSaves[id]
	if !known {
		return
	}
	delete(r.pendingSaves, id)
	if err != nil {
		r.saveFailed = true
	} else {
		r.markSaved(id, saved.entries)
	}
	if saved.done != nil {
		saved.done(now, err)
	}
}

// newPendingSave notes the registers of a save as not on disk yet.
func (r *Replica) newPendingSave(save Save, done saveCallback) pendingSave {
	pending := pendingSave{done: done}
	for _, entry := range save.Entries {
		pending.entries = append(pending.entries, entry.Key)
		r.unsavedEntries[entry.Key] = save.ID
	}
	return pending
}

// markSaved notes that a save of some registers is on disk. Those that were changed and handed to the disk again since
// are not.
func (r *Replica) markSaved(id uint64, keys []string) {
	for _, key := range keys {
		if r.unsavedEntries[key] == id {
			delete(r.unsavedEntries, key)
		}
	}
}

// retrySave writes everything again after a save has failed: nobody sends again what was learned in the meantime.
func (r *Replica) retrySave(now time.Time) {
	if !r.saveFailed || len(r.pendingSaves) > 0 {
		return
	}
	r.saveFailed = false // another failure sets it again
	floor := r.acceptor.MinProposal()
	identity := r.local.submittedIdentity
	r.save(now, Save{Entries: r.acceptor.AcceptedEntries(), MinProposal: &floor, Identity: &identity}, nil)
}

// hasUnsavedBefore reports whether something that was handed to the disk before a save may not be on disk.
func (r *Replica) hasUnsavedBefore(id uint64) bool {
	for pending := range r.pendingSaves {
		if pending < id {
			return true
		}
	}
	return r.saveFailed
}
