package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
)

// faultDisk is a folder in memory that fails and loses its power as DEPLOY says: what was synced lasts; of later writes each is
// there, missing or torn, or all are gone; names last once the folder was synced. After a failed sync what it should have
// covered may be lost, though later syncs succeed.
type faultDisk struct {
	mu          sync.Mutex
	blockSteps  chan struct{} // until it is closed, changes hang
	blockCreate chan struct{} // until it is closed, a file that is begun anew does
	rng         *rand.Rand
	visible     map[string]*fileState // by name, as processes see them
	durable     map[string]*fileState // the names that last
	steps       int                   // changes so far
	failAt      map[int]string        // by number: "error", "short", "power"
	powerOff    bool
	ignoresSync bool // syncs cover nothing
}

type fileState struct {
	data     []byte      // as processes see it
	synced   []byte      // as synced
	unsynced []diskWrite // since then
}

type diskWrite struct {
	offset int // where it was written; -1: set to a length
	data   []byte
	size   int
}

var errDisk = errors.New("the disk refuses")

func newFaultDisk(seed uint64) *faultDisk {
	return &faultDisk{rng: rand.New(rand.NewPCG(seed, 1)), visible: map[string]*fileState{}, durable: map[string]*fileState{}, failAt: map[int]string{}}
}

// step counts a change and says how it fails.
func (d *faultDisk) step() (how string, err error) {
	if d.blockSteps != nil {
		<-d.blockSteps
	}
	if d.powerOff {
		return "", errDisk
	}
	d.steps++
	how = d.failAt[d.steps]
	if how == "power" {
		d.powerOff = true
	}
	if how == "error" || how == "power" {
		err = errDisk
	}
	return how, err
}

// losePower takes the power, and gives it back: the process that used the disk is gone.
func (d *faultDisk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerOff = false
	gone := d.rng.IntN(4) == 0 // at some losses of power all that was not synced is gone
	names := map[string]*fileState{}
	for name, f := range d.durable {
		names[name] = f
	}
	if !gone {
		for name, f := range d.visible { // a name that was not synced may have lasted all the same
			if d.durable[name] != f && d.rng.IntN(2) == 0 {
				names[name] = f
			}
		}
	}
	for _, f := range names {
		data := slices.Clone(f.synced)
		for _, c := range f.unsynced {
			kind := d.rng.IntN(4)
			if gone || kind == 0 {
				continue
			}
			if c.offset < 0 {
				if c.size < len(data) {
					data = data[:c.size]
				}
				continue
			}
			b := c.data
			if kind == 1 {
				b = b[:d.rng.IntN(len(b)+1)]
			}
			for len(data) < c.offset+len(b) {
				data = append(data, 0)
			}
			copy(data[c.offset:], b)
		}
		*f = fileState{data: data, synced: slices.Clone(data)}
	}
	d.visible, d.durable = names, map[string]*fileState{}
	for name, f := range names {
		d.durable[name] = f
	}
}

func (d *faultDisk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.visible[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *faultDisk) OpenAppend(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.visible[name] == nil {
		d.visible[name] = &fileState{}
	}
	return &faultFile{d, name, d.visible[name]}, nil
}

func (d *faultDisk) Create(name string) (File, error) {
	if d.blockCreate != nil {
		<-d.blockCreate
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step(); err != nil {
		return nil, err
	}
	d.visible[name] = &fileState{}
	return &faultFile{d, name, d.visible[name]}, nil
}

func (d *faultDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step(); err != nil {
		return err
	}
	d.visible[to] = d.visible[from]
	delete(d.visible, from)
	return nil
}

func (d *faultDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.visible, name)
	return nil
}

func (d *faultDisk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step(); err != nil {
		return err
	}
	d.durable = map[string]*fileState{}
	for name, f := range d.visible {
		d.durable[name] = f
	}
	return nil
}

type faultFile struct {
	disk  *faultDisk
	name  string
	state *fileState
}

func (h *faultFile) Write(p []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	how, err := h.disk.step()
	n := len(p)
	if how == "short" || how == "power" {
		n = h.disk.rng.IntN(len(p) + 1)
	} else if err != nil {
		return 0, err
	}
	h.state.unsynced = append(h.state.unsynced, diskWrite{offset: len(h.state.data), data: slices.Clone(p[:n])})
	h.state.data = append(h.state.data, p[:n]...)
	return n, err
}

func (h *faultFile) Truncate(size int64) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if _, err := h.disk.step(); err != nil {
		return err
	}
	h.state.unsynced = append(h.state.unsynced, diskWrite{offset: -1, size: int(size)})
	h.state.data = h.state.data[:size]
	return nil
}

func (h *faultFile) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if _, err := h.disk.step(); err != nil {
		if !h.disk.powerOff && len(h.state.unsynced) > 0 && h.disk.rng.IntN(2) == 0 {
			// What it should have covered is lost, and later syncs will not say so.
			k := h.disk.rng.IntN(len(h.state.unsynced))
			h.state.unsynced = append(h.state.unsynced[:k:k], h.state.unsynced[k+1:]...)
		}
		return err
	}
	if h.disk.ignoresSync {
		return nil
	}
	// A file's own sync makes a new file last, under the name it has: DEPLOY, Disk.
	if h.disk.visible[h.name] == h.state && h.disk.durable[h.name] == nil {
		h.disk.durable[h.name] = h.state
	}
	data := h.state.synced
	for _, c := range h.state.unsynced {
		if c.offset < 0 {
			data = data[:min(len(data), c.size)]
			continue
		}
		if c.offset == len(data) {
			data = append(data, c.data...)
			continue
		}
		for len(data) < c.offset+len(c.data) {
			data = append(data, 0)
		}
		copy(data[c.offset:], c.data)
	}
	h.state.synced, h.state.unsynced = data, nil
	return nil
}

func (h *faultFile) Close() error { return nil }

// writeValues writes until the disk loses its power or all is written; it returns what was acknowledged, by key, and the newest
// that was handed in.
func writeValues(v *Store, from int, acked, sent map[string]int) {
	for i := from; i < from+30; i++ {
		k := fmt.Sprint("k", i%3)
		sent[k] = i
		if v.Put(map[string]string{k: fmt.Sprint(i), "pad": string(make([]byte, 1_000))}) == nil {
			acked[k] = i
		}
	}
}

const smallCompactSize = 5_000 // bytes: so that the file is written anew in the midst of a test

// runFaultCase plays a disk that fails at one change, and then lives after it; it says what is wrong, and whether the file was
// written anew.
func runFaultCase(kind string, at int, lying bool) (compacted bool, wrong string) {
	d := newFaultDisk(uint64(at))
	acked, sent := map[string]int{}, map[string]int{}
	v, err := openWithThreshold(d, smallCompactSize)
	if err != nil {
		return false, err.Error()
	}
	d.ignoresSync = lying
	switch start := d.steps; kind {
	case "two errors":
		d.failAt[start+at], d.failAt[start+at+1] = "error", "error"
	case "error, power", "short, power":
		d.failAt[start+at/6], d.failAt[start+at/6+1+at%6] = kind[:5], "power"
	default:
		d.failAt[start+at] = kind
	}
	writeValues(v, 0, acked, sent)
	before := len(acked)
	v.Close()
	clear(d.failAt)
	d.losePower()
	for life := range 2 {
		if v, err = openWithThreshold(d, smallCompactSize); err != nil {
			return compacted, err.Error()
		}
		if v.Quarantined {
			return compacted, "a sound file is put aside"
		}
		read := v.Load("k")
		if len(read) < before {
			return compacted, fmt.Sprintf("%d keys of %d", len(read), before)
		}
		for k, x := range read {
			var got int
			fmt.Sscan(x, &got)
			if k = "k" + k; got < acked[k] || got > sent[k] {
				return compacted, fmt.Sprintf("life %d: %s is %d; acknowledged %d, handed in %d", life, k, got, acked[k], sent[k])
			}
		}
		writeValues(v, 100*(life+1), acked, sent)
		if before = len(acked); before < 3 {
			return compacted, "the store takes no writes any more"
		}
		now, _ := v.Size()
		compacted = compacted || now < 2*smallCompactSize
		v.Close()
		d.losePower()
	}
	return compacted, ""
}

// Whatever fails at whichever change to the disk, and at whichever the power is lost: what was acknowledged is read
// again, nothing is read that was never written, and the store takes writes again.
func TestEveryDiskFault(t *testing.T) {
	for _, kind := range []string{"error", "short", "power", "two errors", "error, power", "short, power"} {
		for at := 6; at < 360; at++ {
			compacted, wrong := runFaultCase(kind, at, false)
			if wrong != "" {
				t.Errorf("%s at change %d: %s", kind, at, wrong)
			}
			if !compacted {
				t.Errorf("%s at change %d: the file was never written anew", kind, at)
			}
		}
	}
	// The checks are shown to fail: a disk whose syncs cover nothing is found.
	for at := 1; at < 110; at++ {
		if _, wrong := runFaultCase("power", at, true); wrong != "" {
			return
		}
	}
	t.Error("a disk that does not sync passes")
}
