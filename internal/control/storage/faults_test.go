package storage

import (
	"fmt"
	"testing"
)

// smallCompactSize makes a file compact several times during a test.
const smallCompactSize = 5_000

// faultCase is a schedule of disk faults. Its position counts disk operations from the opening of the store.
type faultCase struct {
	name     string
	schedule func(faults map[int]diskFault, start, position int)
}

// singleFault injects one fault.
func singleFault(name string, fault diskFault) faultCase {
	return faultCase{name, func(faults map[int]diskFault, start, position int) { faults[start+position] = fault }}
}

// faultThenPower injects a fault and, one to six operations after it, a power failure.
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

// history is what a writer knows: the last value that was acknowledged, and the last that was written, by key.
type history struct {
	acknowledged map[string]int
	written      map[string]int
}

// writeValues writes thirty values, numbered upwards from first.
func (h history) writeValues(store *Store, first int) {
	for i := first; i < first+30; i++ {
		key := fmt.Sprint("k", i%3)
		h.written[key] = i
		if store.Put(map[string]string{key: fmt.Sprint(i), "pad": string(make([]byte, 1_000))}) == nil {
			h.acknowledged[key] = i
		}
	}
}

// check compares what a store holds with the history.
func (h history) check(store *Store, wantKeys int) error {
	if store.Quarantined {
		return fmt.Errorf("an intact file was quarantined")
	}
	values := store.Load("k")
	if len(values) < wantKeys {
		return fmt.Errorf("%d keys of %d", len(values), wantKeys)
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

// run plays a fault case: a store runs on the failing disk, the power fails, and two more stores run after one another
// on the disk as it is then. It reports whether the file was compacted, and the first broken guarantee.
func (c faultCase) run(position int, ignoreSync bool) (compacted bool, err error) {
	disk := newFaultDisk(uint64(position))
	known := history{map[string]int{}, map[string]int{}}
	store, err := openWithThreshold(disk, smallCompactSize)
	if err != nil {
		return false, err
	}
	disk.ignoresSync = ignoreSync
	c.schedule(disk.failAt, disk.steps, position)
	known.writeValues(store, 0)
	wantKeys := len(known.acknowledged)
	if err := store.Close(); err != nil {
		return false, err
	}
	clear(disk.failAt)
	disk.losePower()
	for restart := range 2 {
		if store, err = openWithThreshold(disk, smallCompactSize); err != nil {
			return compacted, err
		}
		if err := known.check(store, wantKeys); err != nil {
			return compacted, fmt.Errorf("restart %d: %w", restart, err)
		}
		known.writeValues(store, 100*(restart+1))
		wantKeys = len(known.acknowledged)
		if wantKeys < 3 {
			return compacted, fmt.Errorf("the store accepts no writes any more")
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

// Whatever disk operation fails, and whenever the power fails: acknowledged values are read again, no value is read
// that was never written, and the store accepts writes again.
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
	t.Error("a disk that ignores syncs passes")
}
