package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/backoff"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// A value that this replica has accepted may be chosen, and acknowledged, without this replica's knowledge: the member
// that has proposed it tells the others, and may be gone before it does. Whoever holds such a value finds out, in two
// steps. First it asks the others whether they have accepted the value too, which costs one round trip and gets in
// nobody's way (confirm.go). If too few have, or can be asked, it proposes the value again by a round of its own.

// undecidedValue is the state of a register whose value this replica has accepted without knowing that it is chosen.
type undecidedValue struct {
	accepted   quorum.ProposalNumber // under which it was accepted
	noticedAt  time.Time             // when that was noticed; zero: before this replica's start
	repairAt   time.Time             // when the next step is due
	needsRound bool                  // the others were asked to confirm it: the next step is a round
	rounds     int                   // that were begun for it here
}

// trackUndecided schedules the repair of those of some registers whose values this replica has accepted without knowing
// that they are chosen. It begins anew with each value: one that was accepted just now is most likely about to be chosen,
// and a repair would get in its way. What was accepted together is repaired together.
func (r *Replica) trackUndecided(now time.Time, entries []quorum.Entry) {
	if len(entries) == 0 {
		return
	}
	confirmAt := now.Add(confirmDelay + r.jitter(confirmDelay/2))
	for _, entry := range entries {
		current := r.acceptor.Get(entry.Key)
		if current.Chosen || current.Accepted == (quorum.ProposalNumber{}) {
			continue
		}
		if scheduled, ok := r.undecided[entry.Key]; ok && scheduled.accepted == current.Accepted {
			continue
		}
		r.undecided[entry.Key] = undecidedValue{accepted: current.Accepted, noticedAt: now}
		if isConfirmable(entry.Key) {
			r.scheduleRepair(entry.Key, confirmAt, false)
		} else {
			r.scheduleRepair(entry.Key, now.Add(configurationRepairDelay+r.jitter(configurationRepairDelay)), true)
		}
	}
}

// expediteRepair begins the repair of registers that somebody waits for.
func (r *Replica) expediteRepair(now time.Time, keys map[string]bool) {
	for key := range keys {
		if value, known := r.undecided[key]; known && !value.needsRound {
			r.scheduleRepair(key, now, false)
		}
	}
	r.repairUndecided(now)
}

// isAwaited reports whether a verification or a read waits for a register.
func (r *Replica) isAwaited(key string) bool {
	if r.verification.undecided[key] {
		return true
	}
	for _, op := range r.operations {
		if op.read.undecided[key] {
			return true
		}
	}
	return false
}

// scheduleRepair sets when the next step for the present value of an undecided register is due. asked says that the step
// is a round.
func (r *Replica) scheduleRepair(key string, at time.Time, needsRound bool) {
	r.undecided[key] = undecidedValue{
		accepted:   r.acceptor.Get(key).Accepted,
		noticedAt:  r.undecided[key].noticedAt,
		repairAt:   at,
		needsRound: needsRound,
		rounds:     r.undecided[key].rounds,
	}
	if r.nextRepairAt.IsZero() || at.Before(r.nextRepairAt) {
		r.nextRepairAt = at
	}
}

// UndecidedCount returns how many registers hold a value here that was accepted and is not known to be chosen.
func (r *Replica) UndecidedCount() int { return len(r.undecided) }

const (
	// maxRepairKeys bounds the registers of one round of a repair, and so the size of its messages.
	maxRepairKeys = 256

	// maxRepairRounds bounds the rounds that repair a larger change at the same time. The rest follows.
	maxRepairRounds = 4
)

// repairBackoff is the time between two rounds for a value. It grows, so that where rounds take long, as they do for a large
// change on busy machines, those of several members come to an end between each other's.
var repairBackoff = backoff.Policy{Initial: attemptTimeout + repairDelay, Max: 8 * attemptTimeout}

// repairUndecided takes the next step for the undecided registers for which it is due.
func (r *Replica) repairUndecided(now time.Time) {
	if !r.Active() || now.Before(r.nextRepairAt) || len(r.undecided) == 0 {
		return
	}
	confirm, propose := r.dueRepairs(now)
	if len(confirm)+len(propose) == 0 {
		r.updateNextRepair(now)
		return
	}
	turn, random := r.repairTurnDelay(now), r.config.Random()
	for _, key := range confirm {
		r.scheduleRepair(key, now.Add(attemptTimeout+turn), true)
	}
	for _, key := range propose {
		value := r.undecided[key]
		value.rounds++
		r.undecided[key] = value
		r.scheduleRepair(key, now.Add(turn+repairBackoff.Delay(value.rounds, random)), true)
	}
	r.updateNextRepair(now)
	r.confirmValues(now, confirm)
	for part := range slices.Chunk(propose, maxRepairKeys) {
		r.startOperation(now, newProposal(repairValues, part, keepValues))
	}
}

// updateNextRepair notes when the next repair is due: not at once, as those that are due have been begun or can't be.
func (r *Replica) updateNextRepair(now time.Time) {
	r.nextRepairAt = time.Time{}
	for _, value := range r.undecided {
		if r.nextRepairAt.IsZero() || value.repairAt.Before(r.nextRepairAt) {
			r.nextRepairAt = value.repairAt
		}
	}
	if earliest := now.Add(minRetryDelay); !r.nextRepairAt.IsZero() && r.nextRepairAt.Before(earliest) {
		r.nextRepairAt = earliest
	}
}

// dueRepairs returns the registers whose values are to be confirmed, and those to be proposed again, now. The
// configuration is repaired by itself, as whoever has accepted a next one takes part in no other round.
func (r *Replica) dueRepairs(now time.Time) (confirm, propose []string) {
	for _, key := range slices.Sorted(maps.Keys(r.undecided)) {
		entry := r.acceptor.Get(key)
		if entry.Chosen || entry.Accepted == (quorum.ProposalNumber{}) {
			r.resolveUndecided(now, entry)
			continue
		}
		repairable := key == membership.RegisterKey || !r.epochClosed()
		value := r.undecided[key]
		switch {
		case !repairable || now.Before(value.repairAt):
		case !value.needsRound:
			confirm = append(confirm, key)
		case len(propose) < maxRepairRounds*maxRepairKeys:
			propose = append(propose, key)
		}
	}
	if slices.Contains(propose, membership.RegisterKey) {
		return nil, []string{membership.RegisterKey}
	}
	return confirm, propose
}

// resolveUndecided notes that the value of a register is known to be chosen.
func (r *Replica) resolveUndecided(now time.Time, entry quorum.Entry) {
	delete(r.undecided, entry.Key)
	r.resolveReads(entry)
	r.resolveVerification(now, entry.Key)
}
