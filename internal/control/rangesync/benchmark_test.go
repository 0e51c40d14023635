package rangesync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// keyCounts are the numbers of keys in the benchmarks. The largest is slightly above the number of tenants to be
// supported.
var keyCounts = []int{1000, 100_000, 800_000}

func BenchmarkCompare(b *testing.B) {
	for _, keys := range keyCounts {
		pair := newReplicaPair(keys)
		for _, differences := range []int{0, 1, 100, 1000, 10_000} {
			if differences > keys {
				continue
			}
			for _, recent := range []bool{false, true} {
				b.Run(fmt.Sprintf("keys=%d/differences=%d/recent=%v", keys, differences, recent), func(b *testing.B) {
					pair.measure(b, differences, recent, DefaultLimits, 1)
				})
			}
		}
		b.Run(fmt.Sprintf("keys=%d/differences=%d/window=8", keys, min(keys, 10_000)), func(b *testing.B) {
			pair.measure(b, min(keys, 10_000), false, DefaultLimits, 8)
		})
	}
}

// BenchmarkLimits measures the cost of DefaultLimits and of other limits.
func BenchmarkLimits(b *testing.B) {
	pair := newReplicaPair(800_000)
	for _, parts := range []int{8, 16, 32, 64} {
		for _, sendThreshold := range []int{1, 4, 16, 64} {
			limits := DefaultLimits
			limits.SplitParts, limits.SendThreshold = parts, sendThreshold
			for _, differences := range []int{1, 100, 10_000} {
				b.Run(fmt.Sprintf("parts=%d/send=%d/differences=%d", parts, sendThreshold, differences), func(b *testing.B) {
					pair.measure(b, differences, false, limits, 1)
				})
			}
		}
	}
}

func (pair *replicaPair) measure(b *testing.B, differences int, recent bool, limits Limits, window int) {
	random := rand.New(rand.NewPCG(3, 3))
	var cost syncCost
	for range b.N {
		b.StopTimer()
		pair.introduceDifferences(differences, recent, random)
		b.StartTimer()
		cost = pair.reconcile(limits, window)
	}
	cost.report(b)
}

func (c syncCost) report(b *testing.B) {
	b.ReportMetric(float64(c.messages), "messages")
	b.ReportMetric(float64(c.rounds), "rounds")
	b.ReportMetric(float64(c.comparisonBytes), "compared-B")
	b.ReportMetric(float64(c.entries), "entries")
	b.ReportMetric(float64(c.largestMessage), "largest-B")
}

// BenchmarkFill sends all entries to a replica without entries.
func BenchmarkFill(b *testing.B) {
	for _, keys := range keyCounts {
		for _, window := range []int{1, 8} {
			b.Run(fmt.Sprintf("keys=%d/window=%d", keys, window), func(b *testing.B) {
				pair := newReplicaPair(keys)
				var cost syncCost
				for b.Loop() {
					pair.initiator = NewIndex()
					cost = pair.reconcile(DefaultLimits, window)
				}
				cost.report(b)
			})
		}
	}
}

// BenchmarkIndexSet changes one key in indexes of different sizes.
func BenchmarkIndexSet(b *testing.B) {
	for _, keys := range keyCounts {
		pair := newReplicaPair(keys)
		random := rand.New(rand.NewPCG(4, 4))
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			version := uint64(1)
			for b.Loop() {
				version++
				key := pair.keys[random.IntN(keys)]
				pair.responder.Set(key, chosenFingerprint(key, version))
			}
		})
	}
}

// BenchmarkIndexRemove removes one key of a large index and adds it again.
func BenchmarkIndexRemove(b *testing.B) {
	pair := newReplicaPair(800_000)
	random := rand.New(rand.NewPCG(5, 5))
	for b.Loop() {
		key := pair.keys[random.IntN(len(pair.keys))]
		pair.responder.Remove(key)
		pair.responder.Set(key, chosenFingerprint(key, 1))
	}
}

// BenchmarkIndexSummary summarizes random ranges.
func BenchmarkIndexSummary(b *testing.B) {
	pair := newReplicaPair(800_000)
	random := rand.New(rand.NewPCG(6, 6))
	for b.Loop() {
		from := random.IntN(len(pair.keys) - 1)
		pair.responder.Summary(Range{pair.keys[from], pair.keys[from+1+random.IntN(len(pair.keys)-from-1)]})
	}
}

// BenchmarkIndexMemory builds an index of 800,000 keys that share their strings with the caller, as those of a
// quorum.Acceptor do.
func BenchmarkIndexMemory(b *testing.B) {
	keys := newReplicaPair(800_000).keys
	for name, order := range map[string][]int{"random": rand.New(rand.NewPCG(7, 7)).Perm(len(keys)), "sorted": nil} {
		b.Run(name, func(b *testing.B) {
			var elapsed time.Duration
			var usedBytes uint64
			for range b.N {
				before := heapAlloc()
				started := time.Now()
				index := NewIndex()
				for i := range keys {
					if order != nil {
						i = order[i]
					}
					index.Set(keys[i], chosenFingerprint(keys[i], 1))
				}
				elapsed = time.Since(started)
				usedBytes = heapAlloc() - before
				runtime.KeepAlive(index)
			}
			b.ReportMetric(float64(usedBytes)/1e6, "MB")
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(len(keys)), "ns/key")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
