package replica

import "time"

// pendingSave is a save that was handed to the disk and has not completed yet.
type pendingSave struct {
	entries []string // the keys of its registers
	done    saveCallback
}

// saveCallback is called once a save is on disk, or has failed.
type saveCallback func(now time.Time, err error)

// save hands a write to the disk and calls done, which may be nil, with the result. If there is nothing to write, it
// calls done immediately. It returns the save's ID, or 0 if there was nothing to write.
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

// HandleSaved handles the result of the save with the given ID: err is nil if all of it is on disk.
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

// newPendingSave returns the pending state of a save, and marks its registers as not on disk yet.
func (r *Replica) newPendingSave(save Save, done saveCallback) pendingSave {
	pending := pendingSave{done: done}
	for _, entry := range save.Entries {
		pending.entries = append(pending.entries, entry.Key)
		r.unsavedEntries[entry.Key] = save.ID
	}
	return pending
}

// markSaved marks the registers of a save as on disk, except those that were handed to the disk again by a later save.
func (r *Replica) markSaved(id uint64, keys []string) {
	for _, key := range keys {
		if r.unsavedEntries[key] == id {
			delete(r.unsavedEntries, key)
		}
	}
}

// retrySave saves the complete state of the acceptor and the identity again after a save has failed, because other
// members don't resend the entries that this replica has already received.
func (r *Replica) retrySave(now time.Time) {
	if !r.saveFailed || len(r.pendingSaves) > 0 {
		return
	}
	r.saveFailed = false // another failure sets it again
	minProposal := r.acceptor.MinProposal()
	identity := r.local.submittedIdentity
	r.save(now, Save{Entries: r.acceptor.AcceptedEntries(), MinProposal: &minProposal, Identity: &identity}, nil)
}

// hasUnsavedBefore reports whether an earlier save than the one with the given ID may not be on disk.
func (r *Replica) hasUnsavedBefore(id uint64) bool {
	for pending := range r.pendingSaves {
		if pending < id {
			return true
		}
	}
	return r.saveFailed
}
