package storage

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
)

// diskFault is a fault that faultDisk injects into an operation.
type diskFault int

const (
	noFault         diskFault = iota
	errorFault                // the operation fails without effect
	shortWriteFault           // a write stores part of its data and returns the length without an error
	powerFault                // the power fails during the operation and stays off until losePower is called
)

// faultDisk is an in-memory directory that injects faults by the platform's rules for disks. A power failure preserves
// synced data. Each write after the last sync is preserved, missing or torn, or all of them are missing. A name is
// durable once its directory or its new file has been synced. After a failed sync, some of the writes that it covered
// may be lost, although later syncs succeed.
type faultDisk struct {
	mu          sync.Mutex
	blockSteps  chan struct{} // if not nil, steps block until it is closed
	blockCreate chan struct{} // if not nil, Create blocks until it is closed
	rng         *rand.Rand
	visible     map[string]*fileState // by name, as processes see them
	durable     map[string]*fileState // by name, as after a power failure
	steps       int                   // number of operations so far that change the disk
	failAt      map[int]diskFault     // fault by number of the step
	powerOff    bool
	ignoresSync bool // Sync succeeds without effect
}

// fileState is the content of a file.
type fileState struct {
	data     []byte      // as processes see it
	synced   []byte      // after the last sync
	unsynced []diskWrite // since the last sync
}

// diskWrite is a write or a truncation.
type diskWrite struct {
	offset int // of data; -1 for a truncation to size
	data   []byte
	size   int
}

var errDisk = errors.New("injected disk fault")

func newFaultDisk(seed uint64) *faultDisk {
	return &faultDisk{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		visible: map[string]*fileState{},
		durable: map[string]*fileState{},
		failAt:  map[int]diskFault{},
	}
}

// step counts an operation that changes the disk. It returns the fault to inject and the error of the operation.
func (d *faultDisk) step() (fault diskFault, err error) {
	if d.blockSteps != nil {
		<-d.blockSteps
	}
	if d.powerOff {
		return noFault, errDisk
	}
	d.steps++
	fault = d.failAt[d.steps]
	if fault == powerFault {
		d.powerOff = true
	}
	if fault == errorFault || fault == powerFault {
		err = errDisk
	}
	return fault, err
}

// losePower simulates a power failure and restores the power. The process that used the disk must have ended.
func (d *faultDisk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerOff = false
	loseAll := d.rng.IntN(4) == 0 // some power failures lose all unsynced data
	names := maps.Clone(d.durable)
	if !loseAll {
		for name, file := range d.visible { // a name may be durable without a sync
			if d.durable[name] != file && d.rng.IntN(2) == 0 {
				names[name] = file
			}
		}
	}
	for _, file := range names {
		file.losePower(d.rng, loseAll)
	}
	d.visible = names
	d.durable = maps.Clone(names)
}

// losePower drops, tears or keeps each unsynced write.
func (f *fileState) losePower(rng *rand.Rand, loseAll bool) {
	data := slices.Clone(f.synced)
	for _, write := range f.unsynced {
		outcome := rng.IntN(4)
		if loseAll || outcome == 0 {
			continue
		}
		if outcome == 1 && !write.truncates() {
			write.data = write.data[:rng.IntN(len(write.data)+1)]
		}
		data = write.applyTo(data)
	}
	*f = fileState{data: data, synced: slices.Clone(data)}
}

// truncates reports whether the write is a truncation.
func (w diskWrite) truncates() bool { return w.offset < 0 }

// applyTo returns a file's data after the write. It fills a gap before the write with zeroes.
func (w diskWrite) applyTo(data []byte) []byte {
	if w.truncates() {
		return data[:min(len(data), w.size)]
	}
	if missing := w.offset + len(w.data) - len(data); missing > 0 {
		data = append(data, make([]byte, missing)...)
	}
	copy(data[w.offset:], w.data)
	return data
}

// ReadFile implements FileSystem.
func (d *faultDisk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file := d.visible[name]; file != nil {
		return slices.Clone(file.data), nil
	}
	return nil, os.ErrNotExist
}

// OpenAppend implements FileSystem.
func (d *faultDisk) OpenAppend(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.visible[name] == nil {
		d.visible[name] = &fileState{}
	}
	return &faultFile{d, name, d.visible[name]}, nil
}

// Create implements FileSystem.
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

// Rename implements FileSystem.
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

// Remove implements FileSystem.
func (d *faultDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.visible, name)
	return nil
}

// SyncDir implements FileSystem.
func (d *faultDisk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.visible)
	return nil
}

// faultFile is an open file of a faultDisk.
type faultFile struct {
	disk  *faultDisk
	name  string
	state *fileState
}

// Write implements File.
func (f *faultFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault, err := f.disk.step()
	n := len(p)
	if fault == shortWriteFault || fault == powerFault {
		n = f.disk.rng.IntN(len(p) + 1)
	} else if err != nil {
		return 0, err
	}
	f.state.unsynced = append(f.state.unsynced, diskWrite{offset: len(f.state.data), data: slices.Clone(p[:n])})
	f.state.data = append(f.state.data, p[:n]...)
	return n, err
}

// Truncate implements File.
func (f *faultFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if _, err := f.disk.step(); err != nil {
		return err
	}
	f.state.unsynced = append(f.state.unsynced, diskWrite{offset: -1, size: int(size)})
	f.state.data = f.state.data[:size]
	return nil
}

// Sync implements File.
func (f *faultFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if _, err := f.disk.step(); err != nil {
		if !f.disk.powerOff && len(f.state.unsynced) > 0 && f.disk.rng.IntN(2) == 0 {
			// Lose a write that the sync should have covered. Later syncs do not report the loss.
			lost := f.disk.rng.IntN(len(f.state.unsynced))
			f.state.unsynced = append(f.state.unsynced[:lost:lost], f.state.unsynced[lost+1:]...)
		}
		return err
	}
	if f.disk.ignoresSync {
		return nil
	}
	// By the platform's rules, the sync of a file also makes its name durable.
	if f.disk.visible[f.name] == f.state && f.disk.durable[f.name] == nil {
		f.disk.durable[f.name] = f.state
	}
	data := f.state.synced
	for _, write := range f.state.unsynced {
		data = write.applyTo(data)
	}
	f.state.synced = data
	f.state.unsynced = nil
	return nil
}

// Close implements File.
func (f *faultFile) Close() error { return nil }
