package replica

import "time"

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
	r.pendingSaves[save.ID] = done
	r.output.Saves = append(r.output.Saves, save)
	return save.ID
}

// HandleSaved takes the result of the save of an ID: err is nil once all of it is on disk.
func (r *Replica) HandleSaved(now time.Time, id uint64, err error) {
	done, known := r.pendingSaves[id]
	if !known {
		return
	}
	delete(r.pendingSaves, id)
	if err != nil {
		r.saveFailed = true
	}
	if done != nil {
		done(now, err)
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
