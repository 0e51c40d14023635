package drain

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxOrderIDBytes bounds the ID of an order.
const maxOrderIDBytes = 32

// OrderIdentity is the name that a controller gives to an order on a zone. The caller sends it with the order, so that copies
// with one identity are one order, whichever controller receives them.
type OrderIdentity struct {
	ID string // unique among the orders of all controllers
	// Base is the number of the last order on the zone when the identity was given (OrderSequence). A caller that sends the
	// identity was waiting for an answer at that time, so whatever was ordered later replaces the order.
	Base uint64
}

// String returns the identity in the form that ParseOrderIdentity reads.
func (i OrderIdentity) String() string { return i.ID + "-" + strconv.FormatUint(i.Base, 10) }

// ParseOrderIdentity is the inverse of String.
func ParseOrderIdentity(text string) (OrderIdentity, error) {
	id, base, _ := strings.Cut(text, "-")
	if id == "" || len(id) > maxOrderIDBytes || strings.ContainsFunc(id, isNotAlphanumeric) {
		return OrderIdentity{}, errors.New("the identity of the order is malformed")
	}
	number, err := strconv.ParseUint(base, 10, 64)
	if err != nil {
		return OrderIdentity{}, errors.New("the identity of the order has no valid number")
	}
	return OrderIdentity{ID: id, Base: number}, nil
}

func isNotAlphanumeric(r rune) bool {
	return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
}
