package plan

import (
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
)

const (
	clearedKey = "zone/"
	heardKey   = "heard/"
)

// ClearedKey is the register that says whether a zone is cleared out.
func ClearedKey(zone string) string { return clearedKey + zone }

// HeardKey is the register of the last version of a zone's register whose order is known to have had its answer.
func HeardKey(zone string) string { return heardKey + zone }

// cleared is a zone's register, read: orders that stand, and whether the last word withdrew one.
type cleared struct {
	orders int
	back   bool
}

// mostOrders bounds the orders that are counted for one zone.
const mostOrders = 1000

// readCleared reads "off", "on", "on 2" or "on 1 back". The version before knows the first two, and writes them.
func readCleared(body string) cleared {
	words := strings.Fields(body)
	if len(words) == 0 || words[0] != "on" {
		return cleared{back: true}
	}
	c := cleared{orders: 1, back: len(words) > 2}
	if len(words) > 1 {
		if n, err := strconv.Atoi(words[1]); err == nil && n > 0 {
			c.orders = n
		}
	}
	return c
}

func (c cleared) text() string {
	switch {
	case c.orders == 0:
		return "off"
	case c.back:
		return "on " + strconv.Itoa(c.orders) + " back"
	case c.orders == 1:
		return "on"
	}
	return "on " + strconv.Itoa(c.orders)
}

// Clear orders a zone to be cleared out, or withdraws one such order. Orders add up: two that overlap stand until both are
// withdrawn. An order has neither a name nor a body, so that one which is sent again as its answer was lost looks like
// another; it is taken for the same while the last word was the same, and is not known to have had its answer: heard is the
// version up to which that is known.
func Clear(on bool, heard uint64) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		c := readCleared(held.Body)
		switch {
		case held.Version == 0 && !on:
			return quorum.Value{Version: 1, Body: "off"}
		case c.orders == 0 && !on, c.orders >= mostOrders && on:
			return held
		case held.Version > 0 && c.back == !on && heard != held.Version:
			return held
		}
		if on {
			c.orders++
		} else {
			c.orders--
		}
		c.back = !on
		return quorum.Value{Version: held.Version + 1, Body: c.text()}
	}
}

// wordGiven is the note of a zone's register: when its last word was given.
const wordGiven = "word"

// ClearOnce is Clear for a word that was given at some time. A word can be the same one again only within the term: after it
// the last one counts as heard.
func ClearOnce(on bool, heard uint64, now time.Time, term time.Duration) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		l := readTaken(held)
		if len(l.Orders) > 0 && !l.has(wordGiven, now, term) {
			heard = held.Version
		}
		next := Clear(on, heard)(held)
		if next.Version != held.Version {
			next.Note = takenList{}.with(wordGiven, now, term).note()
		}
		return next
	}
}

// Heard notes that the order which brought a version of a zone's register has had its answer.
func Heard(version uint64) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		if ReadHeard(held) >= version {
			return held
		}
		return quorum.Value{Version: held.Version + 1, Body: strconv.FormatUint(version, 10)}
	}
}

// ReadHeard reads the register of HeardKey.
func ReadHeard(v quorum.Value) uint64 {
	n, _ := strconv.ParseUint(v.Body, 10, 64) // none is 0
	return n
}
