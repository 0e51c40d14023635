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

// MergeTallies takes what a proxy has observed of releases, and decides the releases on which there are enough votes.
func (r *Replica) MergeTallies(now time.Time, items []replication.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, replication.ReleaseTallyKeyPrefix) {
			r.mergeLocal(item)
		}
	}
	r.decideReleases(now)
}

// tallyService returns the service that the key of a tally names.
func tallyService(key string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(key, replication.ReleaseTallyKeyPrefix), "/")
	return service
}

// decideReleases ends the releases in service that the votes of the proxies decide.
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

// endRelease writes the end of a release. If the write fails, the votes are still there and are counted again.
func (r *Replica) endRelease(now time.Time, service string, number uint64, phase release.Phase) {
	r.decidingReleases[service] = true
	r.logEvent("release decided by votes", LogField{"service", service}, LogField{"phase", string(phase)})
	updates := map[string]quorum.UpdateFunc{release.RegisterKey(service): release.End(number, phase)}
	r.startInternalWrite(now, updates, func() { delete(r.decidingReleases, service) })
}
