package vault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
)

// disk is a folder in memory that fails and loses its power as DEPLOY says: what was synced lasts; of later writes each is
// there, missing or torn, or all are gone; names last once the folder was synced. After a failed sync what it should have
// covered may be lost, though later syncs succeed.
type disk struct {
	mu     sync.Mutex
	slow   chan struct{} // until it is closed, changes hang
	anew   chan struct{} // until it is closed, a file that is begun anew does
	rng    *rand.Rand
	now    map[string]*node // by name, as processes see them
	last   map[string]*node // the names that last
	ops    int              // changes so far
	failAt map[int]string   // by number: "error", "short", "power"
	off    bool
	lying  bool // syncs cover nothing
}

type node struct {
	data  []byte   // as processes see it
	safe  []byte   // as synced
	later []change // since then
}

type change struct {
	at   int // where it was written; -1: set to a length
	data []byte
	size int
}

var errDisk = errors.New("the disk refuses")

func newDisk(seed uint64) *disk {
	return &disk{rng: rand.New(rand.NewPCG(seed, 1)), now: map[string]*node{}, last: map[string]*node{}, failAt: map[int]string{}}
}

// op counts a change and says how it fails.
func (d *disk) op() (how string, err error) {
	if d.slow != nil {
		<-d.slow
	}
	if d.off {
		return "", errDisk
	}
	d.ops++
	how = d.failAt[d.ops]
	if how == "power" {
		d.off = true
	}
	if how == "error" || how == "power" {
		err = errDisk
	}
	return how, err
}

// lose takes the power, and gives it back: the process that used the disk is gone.
func (d *disk) lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off = false
	gone := d.rng.IntN(4) == 0 // at some losses of power all that was not synced is gone
	names := map[string]*node{}
	for name, f := range d.last {
		names[name] = f
	}
	if !gone {
		for name, f := range d.now { // a name that was not synced may have lasted all the same
			if d.last[name] != f && d.rng.IntN(2) == 0 {
				names[name] = f
			}
		}
	}
	for _, f := range names {
		data := slices.Clone(f.safe)
		for _, c := range f.later {
			kind := d.rng.IntN(4)
			if gone || kind == 0 {
				continue
			}
			if c.at < 0 {
				if c.size < len(data) {
					data = data[:c.size]
				}
				continue
			}
			b := c.data
			if kind == 1 {
				b = b[:d.rng.IntN(len(b)+1)]
			}
			for len(data) < c.at+len(b) {
				data = append(data, 0)
			}
			copy(data[c.at:], b)
		}
		*f = node{data: data, safe: slices.Clone(data)}
	}
	d.now, d.last = names, map[string]*node{}
	for name, f := range names {
		d.last[name] = f
	}
}

func (d *disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.now[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) Append(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now[name] == nil {
		d.now[name] = &node{}
	}
	return &handle{d, name, d.now[name]}, nil
}

func (d *disk) Create(name string) (File, error) {
	if d.anew != nil {
		<-d.anew
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.op(); err != nil {
		return nil, err
	}
	d.now[name] = &node{}
	return &handle{d, name, d.now[name]}, nil
}

func (d *disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.op(); err != nil {
		return err
	}
	d.now[to] = d.now[from]
	delete(d.now, from)
	return nil
}

func (d *disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.now, name)
	return nil
}

func (d *disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.op(); err != nil {
		return err
	}
	d.last = map[string]*node{}
	for name, f := range d.now {
		d.last[name] = f
	}
	return nil
}

type handle struct {
	d    *disk
	name string
	f    *node
}

func (h *handle) Write(p []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	how, err := h.d.op()
	n := len(p)
	if how == "short" || how == "power" {
		n = h.d.rng.IntN(len(p) + 1)
	} else if err != nil {
		return 0, err
	}
	h.f.later = append(h.f.later, change{at: len(h.f.data), data: slices.Clone(p[:n])})
	h.f.data = append(h.f.data, p[:n]...)
	return n, err
}

func (h *handle) Truncate(size int64) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if _, err := h.d.op(); err != nil {
		return err
	}
	h.f.later = append(h.f.later, change{at: -1, size: int(size)})
	h.f.data = h.f.data[:size]
	return nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if _, err := h.d.op(); err != nil {
		if !h.d.off && len(h.f.later) > 0 && h.d.rng.IntN(2) == 0 {
			// What it should have covered is lost, and later syncs will not say so.
			k := h.d.rng.IntN(len(h.f.later))
			h.f.later = append(h.f.later[:k:k], h.f.later[k+1:]...)
		}
		return err
	}
	if h.d.lying {
		return nil
	}
	// A file's own sync makes a new file last, under the name it has: DEPLOY, Disk.
	if h.d.now[h.name] == h.f && h.d.last[h.name] == nil {
		h.d.last[h.name] = h.f
	}
	data := h.f.safe
	for _, c := range h.f.later {
		if c.at < 0 {
			data = data[:min(len(data), c.size)]
			continue
		}
		if c.at == len(data) {
			data = append(data, c.data...)
			continue
		}
		for len(data) < c.at+len(c.data) {
			data = append(data, 0)
		}
		copy(data[c.at:], c.data)
	}
	h.f.safe, h.f.later = data, nil
	return nil
}

func (h *handle) Close() error { return nil }

// play writes until the disk loses its power or all is written; it returns what was acknowledged, by key, and the newest
// that was handed in.
func play(v *Vault, from int, acked, sent map[string]int) {
	for i := from; i < from+30; i++ {
		k := fmt.Sprint("k", i%3)
		sent[k] = i
		if v.Put(map[string]string{k: fmt.Sprint(i), "pad": string(make([]byte, 1_000))}) == nil {
			acked[k] = i
		}
	}
}

const small = 5_000 // bytes: so that the file is written anew in the midst of a test

// trial plays a disk that fails at one change, and then lives after it; it says what is wrong, and whether the file was
// written anew.
func trial(kind string, at int, lying bool) (compacted bool, wrong string) {
	d := newDisk(uint64(at))
	acked, sent := map[string]int{}, map[string]int{}
	v, err := openOn(d, small)
	if err != nil {
		return false, err.Error()
	}
	d.lying = lying
	switch start := d.ops; kind {
	case "two errors":
		d.failAt[start+at], d.failAt[start+at+1] = "error", "error"
	case "error, power", "short, power":
		d.failAt[start+at/6], d.failAt[start+at/6+1+at%6] = kind[:5], "power"
	default:
		d.failAt[start+at] = kind
	}
	play(v, 0, acked, sent)
	before := len(acked)
	v.Close()
	clear(d.failAt)
	d.lose()
	for life := range 2 {
		if v, err = openOn(d, small); err != nil {
			return compacted, err.Error()
		}
		if v.Aside {
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
		play(v, 100*(life+1), acked, sent)
		if before = len(acked); before < 3 {
			return compacted, "the store takes no writes any more"
		}
		now, _ := v.Size()
		compacted = compacted || now < 2*small
		v.Close()
		d.lose()
	}
	return compacted, ""
}

// Whatever fails at whichever change to the disk, and at whichever the power is lost: what was acknowledged is read
// again, nothing is read that was never written, and the store takes writes again.
func TestEveryFault(t *testing.T) {
	for _, kind := range []string{"error", "short", "power", "two errors", "error, power", "short, power"} {
		for at := 6; at < 360; at++ {
			compacted, wrong := trial(kind, at, false)
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
		if _, wrong := trial("power", at, true); wrong != "" {
			return
		}
	}
	t.Error("a disk that does not sync passes")
}
