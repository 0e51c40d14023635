package storage

import (
	"fmt"
	"testing"
)

// smallCompactSize is small enough for a file to be compacted several times during a test.
const smallCompactSize = 5_000

// faultCase is a schedule of disk faults. position is a number of disk operations since the store was opened.
type faultCase struct {
	name     string
	schedule func(faults map[int]diskFault, start, position int)
}

// singleFault returns a case that injects one fault.
func singleFault(name string, fault diskFault) faultCase {
	return faultCase{name, func(faults map[int]diskFault, start, position int) { faults[start+position] = fault }}
}

// faultThenPower returns a case that injects a fault and, one to six operations later, a power failure.
func faultThenPower(name string, fault diskFault) faultCase {
	return faultCase{name, func(faults map[int]diskFault, start, position int) {
		first := start + position/6
		faults[first] = fault
		faults[first+1+position%6] = powerFault
	}}
}

var (
	powerFailure = singleFault("power", powerFault)
	faultCases   = []faultCase{
		singleFault("error", errorFault),
		singleFault("short", shortWriteFault),
		powerFailure,
		{"two errors", func(faults map[int]diskFault, start, position int) {
			faults[start+position] = errorFault
			faults[start+position+1] = errorFault
		}},
		faultThenPower("error, power", errorFault),
		faultThenPower("short, power", shortWriteFault),
	}
)

// history contains the last acknowledged value and the last written value of each key.
type history struct {
	acknowledged map[string]int
	written      map[string]int
}

// writeValues writes thirty values, numbered consecutively from first.
func (h history) writeValues(store *Store, first int) {
	for i := first; i < first+30; i++ {
		key := fmt.Sprint("k", i%3)
		h.written[key] = i
		if store.Put(map[string]string{key: fmt.Sprint(i), "pad": string(make([]byte, 1_000))}) == nil {
			h.acknowledged[key] = i
		}
	}
}

// check compares the content of a store with the history.
func (h history) check(store *Store, wantKeys int) error {
	if store.Quarantined {
		return fmt.Errorf("an intact file was quarantined")
	}
	values := store.Load("k")
	if len(values) < wantKeys {
		return fmt.Errorf("%d keys, want at least %d", len(values), wantKeys)
	}
	for suffix, value := range values {
		key := "k" + suffix
		var got int
		if _, err := fmt.Sscan(value, &got); err != nil {
			return err
		}
		if got < h.acknowledged[key] || got > h.written[key] {
			return fmt.Errorf("%s is %d; acknowledged %d, written %d", key, got, h.acknowledged[key], h.written[key])
		}
	}
	return nil
}

// run executes a fault case: a store runs on the faulty disk, the power fails, and two more stores run in sequence on
// the resulting disk. It reports whether the file was compacted, and returns the first violation of a guarantee.
func (c faultCase) run(position int, ignoreSync bool) (compacted bool, err error) {
	disk := newFaultDisk(uint64(position))
	expected := history{map[string]int{}, map[string]int{}}
	store, err := openWithThreshold(disk, smallCompactSize)
	if err != nil {
		return false, err
	}
	disk.ignoresSync = ignoreSync
	c.schedule(disk.failAt, disk.steps, position)
	expected.writeValues(store, 0)
	wantKeys := len(expected.acknowledged)
	if err := store.Close(); err != nil {
		return false, err
	}
	clear(disk.failAt)
	disk.losePower()
	for restart := range 2 {
		if store, err = openWithThreshold(disk, smallCompactSize); err != nil {
			return compacted, err
		}
		if err := expected.check(store, wantKeys); err != nil {
			return compacted, fmt.Errorf("restart %d: %w", restart, err)
		}
		expected.writeValues(store, 100*(restart+1))
		wantKeys = len(expected.acknowledged)
		if wantKeys < 3 {
			return compacted, fmt.Errorf("the store no longer accepts writes")
		}
		size, _ := store.Size()
		compacted = compacted || size < 2*smallCompactSize
		if err := store.Close(); err != nil {
			return compacted, err
		}
		disk.losePower()
	}
	return compacted, nil
}

// For each disk operation that fails, and each time of a power failure: acknowledged values are read again, no value is
// read that was never written, and the store accepts writes again.
func TestEveryDiskFault(t *testing.T) {
	for _, c := range faultCases {
		for position := 6; position < 360; position++ {
			compacted, err := c.run(position, false)
			if err != nil {
				t.Errorf("%s at operation %d: %v", c.name, position, err)
			}
			if !compacted {
				t.Errorf("%s at operation %d: the file was never compacted", c.name, position)
			}
		}
	}
}

// The checks of TestEveryDiskFault fail on a disk whose syncs have no effect.
func TestDiskThatIgnoresSyncIsDetected(t *testing.T) {
	for position := 1; position < 110; position++ {
		if _, err := powerFailure.run(position, true); err != nil {
			return
		}
	}
	t.Error("a disk that ignores syncs was not detected")
}
