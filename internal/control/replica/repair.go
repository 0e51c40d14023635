package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// trackUndecided schedules the repair of a register whose value this replica has accepted without knowing that it is
// chosen.
func (r *Replica) trackUndecided(now time.Time, entry quorum.Entry) {
	current := r.acceptor.Get(entry.Key)
	if current.Chosen || current.Accepted == (quorum.ProposalNumber{}) {
		return
	}
	if _, scheduled := r.undecided[entry.Key]; scheduled {
		return
	}
	delay := repairDelay
	if entry.Key == membership.RegisterKey {
		delay = configurationRepairDelay
	}
	r.undecided[entry.Key] = now.Add(delay + r.jitter(delay))
}

// UndecidedCount returns how many registers hold a value here that was accepted and is not known to be chosen.
func (r *Replica) UndecidedCount() int { return len(r.undecided) }

// maxRepairKeys bounds the registers of one repair, and so the size of its messages.
const maxRepairKeys = 256

// repairUndecided finishes the rounds of values whose writer may be gone: it proposes the values again, which makes
// them chosen. Holders of a value wait for a random time, so that normally one of them does it.
func (r *Replica) repairUndecided(now time.Time) {
	if !r.Active() {
		return
	}
	due := r.dueRepairs(now)
	for _, key := range due {
		r.undecided[key] = now.Add(attemptTimeout + r.jitter(repairDelay))
	}
	if len(due) > 0 {
		r.startOperation(now, newProposal(repairValues, due, keepValues))
	}
}

// dueRepairs returns the registers to repair now. The configuration is repaired by itself, as whoever has accepted a
// next one takes part in no other round.
func (r *Replica) dueRepairs(now time.Time) (due []string) {
	for _, key := range slices.Sorted(maps.Keys(r.undecided)) {
		entry := r.acceptor.Get(key)
		if entry.Chosen || entry.Accepted == (quorum.ProposalNumber{}) {
			delete(r.undecided, key)
			continue
		}
		repairable := key == membership.RegisterKey || !r.epochClosed()
		if repairable && !now.Before(r.undecided[key]) && len(due) < maxRepairKeys {
			due = append(due, key)
		}
	}
	if slices.Contains(due, membership.RegisterKey) {
		return []string{membership.RegisterKey}
	}
	return due
}
