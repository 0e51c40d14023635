package replica

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/backoff"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// A value that this replica has accepted may be chosen, and even acknowledged, although it is undecided at this
// replica: the member that proposed the value announces the decision to the others, but may fail before it does. A
// replica repairs undecided values in two steps. First it asks the others whether they have accepted the value too,
// which takes one round trip and doesn't interrupt other rounds (confirm.go). If too few have, or too few can be asked,
// the replica proposes the value again in a round of its own, when it is its turn. Until then it repeats the first step,
// because the round of another member may have decided the register.

// undecidedValue is the state of a register whose accepted value is not known to be chosen.
type undecidedValue struct {
	accepted   quorum.ProposalNumber // the proposal number under which the value was accepted
	noticedAt  time.Time             // when the value was found to be undecided; zero if before this replica's start
	repairAt   time.Time             // when the next repair step is due
	needsRound bool                  // the next repair step is a round; otherwise a confirmation
	roundAt    time.Time             // when this replica's turn for a round is; zero before the first confirmation has ended
	rounds     int                   // repair rounds that this replica has started for the value
}

// trackUndecided schedules the repair of those of the given registers whose accepted values are not known to be chosen.
// The schedule starts over with each new value: a value that was just accepted will most likely be chosen soon, and a
// repair would interrupt its round. Values that were accepted together are repaired together.
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

// expediteRepair starts the repair of registers that a read or a verification waits for.
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

// scheduleRepair sets when the next repair step for the current value of an undecided register is due, and whether that
// step is a round.
func (r *Replica) scheduleRepair(key string, at time.Time, needsRound bool) {
	value := r.undecided[key]
	value.accepted = r.acceptor.Get(key).Accepted
	value.repairAt = at
	value.needsRound = needsRound
	r.undecided[key] = value
	if r.nextRepairAt.IsZero() || at.Before(r.nextRepairAt) {
		r.nextRepairAt = at
	}
}

// UndecidedCount returns the number of registers whose accepted value is not known to be chosen.
func (r *Replica) UndecidedCount() int { return len(r.undecided) }

const (
	// maxRepairKeys limits the registers of one repair round, and thus the size of its messages.
	maxRepairKeys = 256

	// maxRepairRounds limits the concurrent rounds that repair a larger change. The remaining registers follow later.
	maxRepairRounds = 4

	// maxRepairPause is the longest pause between two repair rounds for a value.
	maxRepairPause = 8 * attemptTimeout
)

// repairBackoff is the pause between two repair rounds for a value. It grows, so that rounds of several members can end
// between each other even if they take long, as they do for a large change on busy machines.
var repairBackoff = backoff.Policy{Initial: attemptTimeout + repairDelay, Max: maxRepairPause}

// repairUndecided takes the next repair step for the undecided registers for which one is due.
func (r *Replica) repairUndecided(now time.Time) {
	if !r.Active() || now.Before(r.nextRepairAt) || len(r.undecided) == 0 {
		return
	}
	confirm, propose := r.dueRepairs(now)
	if len(confirm)+len(propose) == 0 {
		r.updateNextRepair(now)
		return
	}
	random := r.config.Random()
	for _, key := range confirm {
		r.scheduleRepair(key, now.Add(attemptTimeout+repairDelay), false) // unless the confirmation schedules a round
	}
	for _, key := range propose {
		value := r.undecided[key]
		value.rounds++
		value.roundAt = time.Time{}
		r.undecided[key] = value
		r.scheduleRepair(key, now.Add(repairBackoff.Delay(value.rounds, random)), !isConfirmable(key))
	}
	r.updateNextRepair(now)
	r.confirmValues(now, confirm)
	for part := range slices.Chunk(propose, maxRepairKeys) {
		repair := newProposal(repairValues, part, quorum.Keep)
		repair.held = r.acceptedEntries(part)
		r.startOperation(now, repair)
	}
}

// updateNextRepair updates the time of the next repair. That time is at least minRetryDelay ahead, because the repairs
// that are due have either been started or can't be started now.
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

// dueRepairs returns the registers whose values are to be confirmed now, and those whose values are to be proposed
// again. The configuration is repaired separately, because members that have accepted the next configuration take part
// in no other rounds.
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

// resolveUndecided records that the value of a register is known to be chosen.
func (r *Replica) resolveUndecided(now time.Time, entry quorum.Entry) {
	delete(r.undecided, entry.Key)
	r.resolveReads(entry)
	r.resolveVerification(now, entry.Key)
}

// maxLoggedRegisters limits the registers that a log entry about decided values names.
const maxLoggedRegisters = 4

// Ways in which undecided values are decided.
const (
	decidedByRound        = "round"
	decidedByConfirmation = "confirmation"
)

// logDecided logs which of the values that this replica held undecided are now chosen or replaced. held are the entries
// before, in the order of their keys.
func (r *Replica) logDecided(by string, held, chosen []quorum.Entry) {
	if len(held) == 0 {
		return
	}
	chosenByKey := make(map[string]quorum.Entry, len(chosen))
	for _, entry := range chosen {
		chosenByKey[entry.Key] = entry
	}
	var described []string
	for _, entry := range held[:min(len(held), maxLoggedRegisters)] {
		described = append(described, describeDecision(entry, chosenByKey[entry.Key]))
	}
	r.logEvent("undecided values decided",
		LogField{"by", by},
		LogField{"registers", strconv.Itoa(len(held))},
		LogField{"decisions", strings.Join(described, ", ")})
}

// describeDecision describes the entry that this replica held of a register and the one that was chosen: the versions
// and the proposals.
func describeDecision(held, chosen quorum.Entry) string {
	describe := func(entry quorum.Entry) string {
		return fmt.Sprintf("version %d of %d/%s", entry.Value.Version, entry.Accepted.Number, entry.Accepted.Proposer)
	}
	if chosen.Key == "" {
		return fmt.Sprintf("%s: held %s, nothing chosen", held.Key, describe(held))
	}
	return fmt.Sprintf("%s: held %s, chosen %s", held.Key, describe(held), describe(chosen))
}
