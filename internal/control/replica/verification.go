package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
)

// verification is the state of verifications. A verification ensures that this replica has published all values that
// were acknowledged before the verification began: it compares all registers with those of a read quorum, and then
// waits until the found values are known to be chosen.
//
// A replica runs a verification after its start and whenever it has become a member again: a value that it accepted
// before may have been acknowledged by another member, and only that member knew that the value is chosen. Until the
// verification has ended, the replica may lack items even if it has a quorum (message.AuthorityUnverified). Proxies also
// request verifications, to learn whether their items are complete. Requests during a verification share the next one.
//
// Verifications are numbered; one is in progress while begun is greater than completed.
type verification struct {
	requested uint64          // the last one that was requested
	begun     uint64          // the last one that has begun
	completed uint64          // the last one that has ended; 0 for none
	undecided map[string]bool // the registers whose decision it still waits for; nil while it compares
}

// isVerified reports whether this replica has published everything that was acknowledged before it became a member.
func (r *Replica) isVerified() bool { return r.verification.completed > 0 }

// requestVerification requests a verification that begins now or later, and returns its number.
func (r *Replica) requestVerification(now time.Time) (number uint64) {
	v := &r.verification
	v.requested = max(v.requested, v.begun+1)
	r.continueVerification(now)
	return v.requested
}

// continueVerification starts the next verification if one is requested and none is in progress. It restarts a
// verification whose operation has ended because this replica was not a member for a while.
func (r *Replica) continueVerification(now time.Time) {
	v := &r.verification
	if v.completed >= v.requested || !r.Active() || r.isRunning(verifyRegisters) || len(v.undecided) > 0 {
		return
	}
	v.begun++
	v.undecided = nil
	r.startOperation(now, &operation{kind: verifyRegisters})
}

// finishVerifyingRead ends the comparison of a verification and waits for the undecided registers, if any.
func (r *Replica) finishVerifyingRead(now time.Time, op *operation) {
	r.finish(op, nil, nil)
	v := &r.verification
	v.undecided = map[string]bool{}
	for key := range r.undecided {
		if isConfirmable(key) {
			v.undecided[key] = true
		}
	}
	if len(v.undecided) == 0 {
		r.completeVerification(now)
		return
	}
	r.expediteRepair(now, v.undecided)
}

// resolveVerification continues a verification that waits for a register whose value is now known to be chosen.
func (r *Replica) resolveVerification(now time.Time, key string) {
	v := &r.verification
	if !v.undecided[key] {
		return
	}
	delete(v.undecided, key)
	if len(v.undecided) == 0 {
		r.completeVerification(now)
	}
}

func (r *Replica) completeVerification(now time.Time) {
	v := &r.verification
	if v.completed == 0 {
		r.logEvent("all acknowledged registers known",
			LogField{"sinceStartMs", formatMs(now.Sub(r.startedAt))},
			LogField{"registers", strconv.Itoa(r.acceptor.Index().Len())})
	}
	v.completed = v.begun
	r.notifyAfter(0)
	r.continueVerification(now)
}

// resetVerification discards the result of earlier verifications and requests another one, because this replica may
// have missed values that were acknowledged while it was not a member.
func (r *Replica) resetVerification(now time.Time) {
	for _, id := range r.operationIDs() {
		if op := r.operations[id]; op.kind == verifyRegisters {
			r.finish(op, nil, ErrNotMember)
		}
	}
	v := &r.verification
	v.completed = 0
	v.undecided = nil
	v.requested = v.begun + 1
	r.continueVerification(now)
}

// authority returns how complete the items in a response to a proxy are with respect to acknowledged values.
func (r *Replica) authority(pending *PendingPull, response *message.PullResponse) message.Authority {
	requested := pending.verification
	switch {
	case !r.isVerified():
		return message.AuthorityUnverified
	case requested > 0 && r.verification.completed >= requested && response.HasQuorum && !response.Truncated:
		return message.AuthorityConfirmed
	default:
		return message.AuthorityFollowing
	}
}
