package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/message"
)

// verification makes sure that this replica has published everything that was acknowledged before it began: it compares
// all registers with those of as many members as hold, with this one, each acknowledged value, and then waits until the
// values that it has found are known to be chosen.
//
// A replica verifies itself after its start, and whenever it has become a member anew: what it has accepted before may
// have been acknowledged by another member, which alone knew that it is chosen. Until then, and whatever its quorum, it
// may lack items (message.AuthorityLacking). It verifies itself also for proxies that want to know whether what they
// know is all there is. Those that ask while one is going on share the next.
//
// Verifications are numbered; one is going on while begun is above completed.
type verification struct {
	requested uint64          // the last one that somebody waits for
	begun     uint64          // the last one that has begun
	completed uint64          // the last one that has ended; 0 as long as there is none
	undecided map[string]bool // the registers that it still waits for; nil while it compares
}

// isVerified reports whether this replica knows everything that was acknowledged before it became a member.
func (r *Replica) isVerified() bool { return r.verification.completed > 0 }

// requestVerification asks for a verification that begins after now, and returns its number.
func (r *Replica) requestVerification(now time.Time) (number uint64) {
	v := &r.verification
	v.requested = max(v.requested, v.begun+1)
	r.continueVerification(now)
	return v.requested
}

// continueVerification begins the next verification if one is wanted and none is going on. One whose operation has ended,
// because this replica was no member for a while, begins again.
func (r *Replica) continueVerification(now time.Time) {
	v := &r.verification
	if v.completed >= v.requested || !r.Active() || r.isRunning(verifyRegisters) || len(v.undecided) > 0 {
		return
	}
	v.begun++
	v.undecided = nil
	r.startOperation(now, &operation{kind: verifyRegisters})
}

// finishVerifyingRead ends the comparison of a verification.
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

// resolveVerification notes that the value of a register is known to be chosen.
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

// resetVerification has this replica verify itself anew, as it may have missed what was acknowledged while it was no
// member.
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

// authority says in a response to a proxy how far this replica knows everything that was acknowledged.
func (r *Replica) authority(pending *PendingPull, response *message.PullResponse) message.Authority {
	wanted := pending.verification
	switch {
	case !r.isVerified():
		return message.AuthorityLacking
	case wanted > 0 && r.verification.completed >= wanted && response.HasQuorum && !response.Truncated:
		return message.AuthorityConfirmed
	default:
		return message.AuthorityFollowing
	}
}
