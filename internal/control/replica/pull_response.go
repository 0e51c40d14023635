package replica

import (
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// HandlePullResponse handles a controller's response to a pull. from is the zero Member if the pull requested only the
// members.
func (r *Replica) HandlePullResponse(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse,
) {
	pull, changed := r.collectParts(now, from, request, response)
	if pull != nil {
		changed = append(changed, r.applyPull(now, pull)...)
	}
	if response.Configuration != nil {
		changed = append(changed, r.learnEntries(now, []quorum.Entry{*response.Configuration})...)
	}
	r.recordPeerResponse(now, from, request, response)
	r.learnAddresses(now, response.Members)
	r.save(now, Save{Entries: changed}, nil)
	r.reportQuorumChange(now)
}

// learnAddresses updates the addresses of unreachable members: they may have moved since the configuration was decided,
// and a candidate gets no pulls that would tell it.
func (r *Replica) learnAddresses(now time.Time, members []message.Member) {
	for _, member := range members {
		peer := r.peers[member.Node]
		if peer != nil && peer.SameReplica(member) && !r.reachable(member.Node, now) {
			peer.Addr = member.Addr
		}
	}
}

// mergeItems merges the items of a response and adds their keys to received. It returns the changed register entries,
// which the caller must save.
func (r *Replica) mergeItems(
	now time.Time, response *message.PullResponse, coversProgress bool, received map[string]bool,
) (changed []quorum.Entry) {
	for _, item := range response.Items {
		received[item.Key] = true
		origin, sequence := "", item.Sequence
		if response.ProtocolVersion >= message.ProtocolVersion && coversProgress {
			origin = response.OriginOf(item)
		}
		changed = append(changed, r.mergeItem(now, item, origin, sequence)...)
	}
	return changed
}

// recordPeerResponse records that a member has responded. A member that was unreachable counts as reachable only once
// it has sent everything that this replica lacks. Responses from another disk are ignored, because a candidate may have
// taken over the member's address; responses of protocol version 1 don't contain the disk.
func (r *Replica) recordPeerResponse(
	now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse,
) {
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
	peer.recordResponse(now, request.StartedAt, response)
	r.peerResponded = true
}

// mergeItem merges an item of a response. If origin is empty, the item is published with this replica as its origin. It
// returns the changed register entries.
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

// mergeRegister merges the chosen register that an item contains. It returns the changed register entries.
func (r *Replica) mergeRegister(now time.Time, item replication.Item, origin string, sequence uint64) []quorum.Entry {
	entry := quorum.Entry{}
	if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen {
		return nil
	}
	// The item is stored with its origin before the entry is learned, so that learnEntries doesn't publish it again.
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

// notifyDelay returns how long an item may be delayed to be sent together with others.
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

// trackItem updates the liveness tracking for a lease or backend that was received or restored from disk. It tracks
// leases and backends that this replica granted or owned in an earlier incarnation, stops tracking backends with
// another owner, and schedules the removal of backends that are gone.
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
