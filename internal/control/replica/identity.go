package replica

import (
	"hash/fnv"
	"strconv"
	"time"

	"sagelever/internal/control/message"
)

// Identity is what a disk says about the replica that uses it. It is saved as a whole, as JSON.
//
// A replica that lost its disk, or got back an old copy of it, no longer knows what it has promised. It must not go on
// as the same member. The ID tells apart a new disk from the old one. The generation tells apart a disk from an old
// copy of it: it is advanced every generationInterval and sent to other controllers, who confirm it after a restart.
type Identity struct {
	DiskID       string   `json:"Disk"`       // random, drawn when the disk is first used
	Starts       uint64   `json:"Starts"`     // how many processes have used the disk
	Generation   uint64   `json:"Generation"` // advanced while the disk is confirmed not to be an old copy
	Bootstrapped bool     `json:"Fresh"`      // the disk took part in the first start of the whole system
	InitialPeers []string `json:"Contacts"`   // Config.InitialPeers at that time
	EverActive   bool     `json:"Acting"`     // the replica has been active, or took part in the first start
	ActiveEpoch  uint64   `json:"Active"`     // the last epoch in which it was active
}

// newDiskID draws the identity of a disk that is used for the first time.
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

// setIdentity makes an identity, which is to be saved next, that of this replica.
func (l *localMembership) setIdentity(identity Identity) {
	l.identity = identity
	l.submittedIdentity = identity
	l.self.DiskID = identity.DiskID
}

// saveIdentity saves the identity, and goes on with what has to happen before this replica can be active.
func (r *Replica) saveIdentity(now time.Time) {
	identity := r.local.submittedIdentity
	r.save(now, Save{Identity: &identity}, func(now time.Time, err error) {
		if err == nil {
			r.local.identitySaved = true
			r.startDiskConfirmation(now)
		}
	})
}

// replaceIdentity gives up a disk that turned out to be an old copy: what was promised on it later is not known here.
// The replica goes on as one that was never a member.
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

// advanceGeneration advances the generation of the disk every generationInterval, once others have confirmed it. If it
// were advanced without, an old copy that is started again and again while its replica is cut off would overtake the
// generation that the others know.
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

// startDiskConfirmation has others confirm that this disk is not an old copy, if it was used by an earlier process and
// this replica's part as a member, or as a member of the previous epoch, depends on it.
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

// requestDiskConfirmation asks other members which generation of this disk they know.
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

// serveGeneration tells which generation of the sender's disk is known here, and records the one that it sends. It
// does so whether or not this replica is active: after all controllers were restarted, none is yet.
func (r *Replica) serveGeneration(request *message.PeerRequest) *message.PeerResponse {
	response := &message.PeerResponse{OK: true, DiskID: r.local.self.DiskID}
	if known := r.diskGenerations[request.From.Node]; known.DiskID == request.From.DiskID {
		response.Generation = known.Number
	}
	r.recordGeneration(request.From, request.Generation)
	return response
}

// handleGenerationResponse takes another member's knowledge of this disk.
func (r *Replica) handleGenerationResponse(
	now time.Time, op *operation, from message.Member, response *message.PeerResponse,
) {
	local := &r.local
	// A member with another disk than expected has lost what it knew.
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

// recordGeneration notes the generation of another replica's disk, unless a later one is known.
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
		return // a candidate with a member's name doesn't replace what is known of the member
	}
	r.diskGenerations[owner.Node] = message.DiskGeneration{DiskID: owner.DiskID, Number: number}
}

// DiskGenerations returns the known generations of other replicas' disks, by node. The caller saves them from time to
// time and must not change the map.
func (r *Replica) DiskGenerations() map[string]message.DiskGeneration { return r.diskGenerations }
