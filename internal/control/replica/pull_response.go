package replica

import (
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// HandlePullResponse takes a controller's response to a pull. from is the zero Member where only the members were
// asked for.
func (r *Replica) HandlePullResponse(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse,
) {
	// A response to a request from before a reset builds on items that were given up since. It proves no progress, and
	// its items are published anew as this replica's own.
	coversProgress := response.Complete || request.ResetCount == r.resetCount
	changed, received := r.mergeItems(now, response, coversProgress)
	if response.Configuration != nil {
		changed = append(changed, r.learnEntries(now, []quorum.Entry{*response.Configuration})...)
	}
	if !request.MembersOnly {
		if response.ProtocolVersion >= message.ProtocolVersion &&
			!r.applyFullPull(now, from, request, response, received) && coversProgress {
			r.items.Advance(response.Progress)
		}
		r.lastPullAt = now
	}
	r.recordPeerResponse(now, from, response)
	r.save(now, Save{Entries: changed}, nil)
	r.reportQuorumChange(now)
}

// mergeItems merges the items of a response. It returns the register entries that have changed, to be saved, and the
// keys of all items.
func (r *Replica) mergeItems(
	now time.Time, response *message.PullResponse, coversProgress bool,
) (changed []quorum.Entry, received map[string]bool) {
	received = make(map[string]bool, len(response.Items))
	for _, item := range response.Items {
		received[item.Key] = true
		origin, sequence := "", item.Sequence
		if response.ProtocolVersion >= message.ProtocolVersion && coversProgress {
			origin = response.OriginOf(item)
		}
		changed = append(changed, r.mergeItem(now, item, origin, sequence)...)
	}
	return changed, received
}

// recordPeerResponse notes that a member has responded. One that was not heard before counts as heard only once it has sent
// all that this replica lacks: until then this replica is not up to date with it. The disk is compared because a candidate may have taken over a
// member's address; protocol version 1 doesn't tell it.
func (r *Replica) recordPeerResponse(now time.Time, from message.Member, response *message.PullResponse) {
	peer := r.peers[from.Node]
	if peer == nil {
		return
	}
	if response.DiskID != peer.DiskID && response.ProtocolVersion >= message.ProtocolVersion {
		return
	}
	if response.Truncated && !r.reachable(peer.Node, now) {
		return
	}
	peer.recordResponse(now, response)
	r.peerResponded = true
}

// mergeItem merges an item of a response; without an origin it is published as this replica's own. It returns the
// register entries that have changed.
func (r *Replica) mergeItem(
	now time.Time, item replication.Item, origin string, sequence uint64,
) (changed []quorum.Entry) {
	if strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
		return r.mergeRegister(now, item, origin, sequence)
	}
	merged := false
	if origin == "" {
		merged = r.mergeLocal(item)
	} else {
		merged = r.mergeRemote(item, origin, sequence)
	}
	if merged {
		r.trackItem(now, item)
	}
	return nil
}

// mergeRegister learns the chosen register that an item contains.
func (r *Replica) mergeRegister(now time.Time, item replication.Item, origin string, sequence uint64) []quorum.Entry {
	entry := quorum.Entry{}
	if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen {
		return nil
	}
	// The item is stored under its own origin before the entry is learned, so that learning doesn't publish it anew.
	if origin != "" {
		r.mergeRemote(item, origin, sequence)
	}
	return r.learnEntries(now, []quorum.Entry{entry})
}

// mergeLocal publishes an item with this replica as its origin. It reports whether the item was new.
func (r *Replica) mergeLocal(item replication.Item) bool {
	if !r.items.Publish(item) {
		return false
	}
	r.notifyAfter(notifyDelay(item))
	return true
}

// mergeRemote stores an item of another origin. It reports whether the item was new.
func (r *Replica) mergeRemote(item replication.Item, origin string, sequence uint64) bool {
	if !r.items.Receive(item, origin, sequence) {
		return false
	}
	r.notifyAfter(notifyDelay(item))
	return true
}

// notifyDelay returns how long an item may wait to be sent together with others.
func notifyDelay(item replication.Item) time.Duration {
	switch {
	case strings.HasPrefix(item.Key, replication.RegisterKeyPrefix):
		return urgentNotifyDelay
	case strings.HasPrefix(item.Key, replication.BackendKeyPrefix):
		backend, ok := replication.ReadBackend(item)
		if ok && (backend.Phase == replication.PhaseDraining || backend.Phase == replication.PhaseLeft) {
			return urgentNotifyDelay
		}
	case strings.HasPrefix(item.Key, replication.ReleaseTallyKeyPrefix):
		if tally, ok := replication.ReadReleaseTally(item); ok && tally.Vote != "" {
			return urgentNotifyDelay
		}
		return tallyNotifyDelay
	}
	return defaultNotifyDelay
}

// trackItem has this replica watch over a lease or backend that came from elsewhere or from its disk, and that it
// granted or owned in an earlier incarnation.
func (r *Replica) trackItem(now time.Time, item replication.Item) {
	if strings.HasPrefix(item.Key, replication.LeaseKeyPrefix) {
		lease, ok := replication.ReadLease(item)
		if ok && lease.Grantor == r.config.Self.Node && !lease.Ended {
			r.liveness.RestoreLease(item.Key, lease.Zone, now)
		}
		return
	}
	id, ok := strings.CutPrefix(item.Key, replication.BackendKeyPrefix)
	if !ok {
		return
	}
	backend, ok := replication.ReadBackend(item)
	if !ok {
		return
	}
	gone := isGone(backend.Phase)
	if gone {
		r.addTombstone(item.Key, now)
	}
	if gone || backend.Owner != r.config.Self.Node {
		r.liveness.StopTrackingBackend(id)
		delete(r.backends, id)
	} else {
		r.liveness.RecordHeartbeat(id, now)
	}
}
