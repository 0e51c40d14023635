package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// MergeTallies publishes the release tallies of a proxy, and ends the releases that have enough votes.
func (r *Replica) MergeTallies(now time.Time, items []replication.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, replication.ReleaseTallyKeyPrefix) {
			r.mergeLocal(item)
		}
	}
	r.decideReleases(now)
}

// tallyService returns the service in the item key of a tally.
func tallyService(key string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(key, replication.ReleaseTallyKeyPrefix), "/")
	return service
}

// decideReleases ends the releases in service that have enough votes of the proxies.
func (r *Replica) decideReleases(now time.Time) {
	tallies := map[string][]*replication.ReleaseTally{}
	r.items.ForEach(replication.ReleaseTallyKeyPrefix, func(item replication.Item) {
		if tally, ok := replication.ReadReleaseTally(item); ok {
			service := tallyService(item.Key)
			tallies[service] = append(tallies[service], tally)
		}
	})
	for _, service := range slices.Sorted(maps.Keys(tallies)) {
		rel, ok := release.Read(r.acceptor.Get(release.RegisterKey(service)).Value)
		if !ok || rel.Phase != release.PhaseInService || r.decidingReleases[service] {
			continue
		}
		if phase := release.CountVotes(rel.Number, tallies[service]); phase != "" {
			r.endRelease(now, service, rel.Number, phase)
		}
	}
}

// endRelease writes the end of a release. If the write fails, the votes remain and are counted again later.
func (r *Replica) endRelease(now time.Time, service string, number uint64, phase release.Phase) {
	r.decidingReleases[service] = true
	r.logEvent("release decided by votes", LogField{"service", service}, LogField{"phase", string(phase)})
	updates := map[string]quorum.UpdateFunc{release.RegisterKey(service): release.End(number, phase)}
	r.startInternalWrite(now, updates, func() { delete(r.decidingReleases, service) })
}
