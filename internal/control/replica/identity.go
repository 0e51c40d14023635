package replica

import (
	"hash/fnv"
	"strconv"
	"time"

	"sagelever/internal/control/message"
)

// Identity identifies a disk and the state of the replica that uses it. It is saved as one JSON object.
//
// A replica that lost its disk, or restarts from an old copy of it, has lost promises that it made, and must not
// continue as the same member. The ID distinguishes a new disk from the previous one. The generation distinguishes a
// disk from an old copy of it: it is advanced every generationInterval and sent to other controllers, which confirm it
// after a restart.
type Identity struct {
	DiskID       string   `json:"Disk"`       // random; generated when the disk is first used
	Starts       uint64   `json:"Starts"`     // the number of processes that have used the disk
	Generation   uint64   `json:"Generation"` // advanced while the disk is confirmed not to be an old copy
	Bootstrapped bool     `json:"Fresh"`      // the disk took part in the first start of the whole system
	InitialPeers []string `json:"Contacts"`   // Config.InitialPeers when the disk was first used
	EverActive   bool     `json:"Acting"`     // the replica has been active, or took part in the first start
	ActiveEpoch  uint64   `json:"Active"`     // the last epoch in which it was active
}

// newDiskID generates the ID of a disk that is used for the first time.
func (r *Replica) newDiskID(now time.Time) string {
	const (
		randomRange = 1 << 30
		base        = 36
	)
	hash := fnv.New64a()
	hash.Write([]byte(r.config.Self.Node + r.config.Self.Addr))
	timed := hash.Sum64() ^ uint64(now.UnixNano())
	random := uint64(r.config.Random() * randomRange)
	return strconv.FormatUint(timed, base) + strconv.FormatUint(random, base)
}

// setIdentity sets this replica's identity. The caller must save it next.
func (l *localMembership) setIdentity(identity Identity) {
	l.identity = identity
	l.submittedIdentity = identity
	l.self.DiskID = identity.DiskID
}

// saveIdentity saves the identity, and then starts the confirmation of the disk, which precedes any takeover.
func (r *Replica) saveIdentity(now time.Time) {
	identity := r.local.submittedIdentity
	r.save(now, Save{Identity: &identity}, func(now time.Time, err error) {
		if err == nil {
			r.local.identitySaved = true
			r.startDiskConfirmation(now)
		}
	})
}

// replaceIdentity replaces the identity of a disk that turned out to be an old copy, which lacks the promises that were
// made later. The replica continues as one that was never a member.
func (r *Replica) replaceIdentity(now time.Time) {
	local := &r.local
	r.logEvent("stale disk detected, continuing as a candidate",
		LogField{"generation", formatUint(local.identity.Generation)})
	local.setIdentity(Identity{DiskID: r.newDiskID(now), Starts: 1, Generation: 1})
	local.identitySaved = false
	local.diskConfirmed = false
	local.caughtUp = false
	r.updatePeers(now)
	r.saveIdentity(now)
}

// advanceGeneration advances the generation of the disk every generationInterval once the disk is confirmed. Without
// confirmation, an old copy that is restarted repeatedly while it is partitioned from the other members could overtake
// the generation that they have recorded.
func (r *Replica) advanceGeneration(now time.Time) {
	local := &r.local
	if !local.identitySaved {
		if len(r.pendingSaves) == 0 { // the last attempt has failed
			r.saveIdentity(now)
		}
		return
	}
	elapsed := now.Sub(local.generationAdvancedAt)
	if !local.diskConfirmed || elapsed >= 0 && elapsed < generationInterval {
		return
	}
	local.generationAdvancedAt = now
	next := local.submittedIdentity
	next.Generation++
	local.submittedIdentity = next
	r.save(now, Save{Identity: &next}, func(_ time.Time, err error) {
		if err == nil && r.local.identity.DiskID == next.DiskID {
			r.local.identity.Generation = max(r.local.identity.Generation, next.Generation)
		}
	})
}

// startDiskConfirmation starts to confirm with other members that this disk is not an old copy. A confirmation is
// needed if an earlier process used the disk and this replica is a member or was active in the previous epoch.
func (r *Replica) startDiskConfirmation(now time.Time) {
	local := &r.local
	if local.diskConfirmed || !local.identitySaved || r.isRunning(confirmDisk) {
		return
	}
	needed := local.configuration.Epoch > 0 && (local.isMember() || r.activeInPreviousEpoch())
	if local.identity.Starts == 1 || needed && local.configuration.GenerationQuorum() == 0 {
		local.diskConfirmed = true
		r.startTakeover(now)
		return
	}
	if needed {
		r.startOperation(now, &operation{kind: confirmDisk})
	}
}

// requestDiskConfirmation asks other members which generation of this disk they have recorded.
func (r *Replica) requestDiskConfirmation(now time.Time, op *operation) {
	local := &r.local
	others := r.votingPeers()
	if !local.isMember() {
		others = r.takeoverSources()
	}
	r.requestFrom(now, op, others, message.GenerationPath, &message.PeerRequest{
		Epoch:      local.configuration.Epoch,
		From:       local.self,
		Generation: local.identity.Generation,
	})
}

// serveGeneration returns the recorded generation of the sender's disk, and records the one in the request. It doesn't
// require this replica to be active, because after a restart of all controllers none is.
func (r *Replica) serveGeneration(request *message.PeerRequest) *message.PeerResponse {
	response := &message.PeerResponse{OK: true, DiskID: r.local.self.DiskID}
	if known := r.diskGenerations[request.From.Node]; known.DiskID == request.From.DiskID {
		response.Generation = known.Number
	}
	r.recordGeneration(request.From, request.Generation)
	return response
}

// handleGenerationResponse handles the generation of this disk that another member has recorded.
func (r *Replica) handleGenerationResponse(
	now time.Time, op *operation, from message.Member, response *message.PeerResponse,
) {
	local := &r.local
	// A member whose disk was replaced has lost the generations that it had recorded.
	if !response.OK || op.attempt.answered[from.Node] || response.DiskID != from.DiskID {
		return
	}
	if response.Generation > local.identity.Generation {
		r.finish(op, nil, nil)
		r.replaceIdentity(now)
		return
	}
	op.attempt.answered[from.Node] = true
	if len(op.attempt.answered) < local.configuration.GenerationQuorum() {
		return
	}
	local.diskConfirmed = true
	r.finish(op, nil, nil)
	r.advanceGeneration(now)
	r.startTakeover(now)
	r.continueVerification(now)
	r.reportQuorumChange(now)
}

// recordGeneration records the generation of another replica's disk, unless a later one is recorded.
func (r *Replica) recordGeneration(owner message.Member, number uint64) {
	if owner.DiskID == "" || number == 0 {
		return
	}
	known := r.diskGenerations[owner.Node]
	if known.DiskID == owner.DiskID && known.Number >= number {
		return
	}
	member, isMember := r.local.configuration.Find(owner.Node)
	if isMember && member.DiskID != owner.DiskID && known.DiskID == member.DiskID {
		return // a candidate with the name of a member doesn't replace the generation of the member's disk
	}
	r.diskGenerations[owner.Node] = message.DiskGeneration{DiskID: owner.DiskID, Number: number}
}

// DiskGenerations returns the recorded generations of other replicas' disks, by node. The caller saves them
// periodically and must not modify the map.
func (r *Replica) DiskGenerations() map[string]message.DiskGeneration { return r.diskGenerations }
