package server

import (
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"sagelever/internal/control/drain"
)

// orderParam is the query parameter that carries the identity of an order on a zone. A caller learns the identity from a
// redirect to the controller that it has asked.
const orderParam = "order"

const (
	// minFollowTimeout is how long a nearby caller may take to send its order again with the identity that it was given, until
	// the redirect counts as lost. It is not longer than the pause of a caller that has found out.
	minFollowTimeout = 100 * time.Millisecond

	// followTrips is the number of round trips that this takes in addition: the redirect, and a new connection.
	followTrips = 4
)

// followTimeout returns how long the caller of an order may take to follow a redirect.
func followTimeout(order drain.EvacuationOrder) time.Duration {
	return minFollowTimeout + followTrips*order.RoundTripTime
}

// maxOrderOffers bounds the identities that a controller remembers.
const maxOrderOffers = 1024

// orderOffers records which identities a controller has given to callers that have not used them yet. A caller that comes
// back without an identity, while nothing else was ordered, does not follow redirects.
type orderOffers struct {
	mu   sync.Mutex
	open map[string]orderOffer // by ID
}

type orderOffer struct {
	orders    zoneOrders
	order     drain.EvacuationOrder
	offeredAt time.Time
}

// offer reports whether the caller of an order that it sent without an identity should be redirected. If so, the identity is
// open from now on.
func (o *orderOffers) offer(now time.Time, orders zoneOrders, order drain.EvacuationOrder) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, previous := range o.open {
		age := now.Sub(previous.offeredAt)
		isSame := previous.orders == orders && previous.order.Base == order.Base
		switch {
		case age >= order.Window:
			delete(o.open, id)
		case isSame && age >= callerPatience:
			delete(o.open, id)
			return false
		}
	}
	if o.open == nil {
		o.open = map[string]orderOffer{}
	}
	if len(o.open) < maxOrderOffers {
		o.open[order.ID] = orderOffer{orders, order, now}
	}
	return true
}

// accept notes that a caller has used an identity. It returns the last order before it, as the controller knew it when it gave
// the identity. known is false if the controller did not give it, or has seen it used.
func (o *orderOffers) accept(id string) (previous drain.KnownOrder, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	offer, known := o.open[id]
	delete(o.open, id)
	return offer.order.Previous, known
}

// isOpen reports whether no caller has used an identity.
func (o *orderOffers) isOpen(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, open := o.open[id]
	return open
}

// readOrderIdentity returns the identity that an order carries. ok is false if it carries none.
func readOrderIdentity(r *http.Request) (identity drain.OrderIdentity, ok bool, err error) {
	query := r.URL.Query()
	if !query.Has(orderParam) {
		return drain.OrderIdentity{}, false, nil
	}
	identity, err = drain.ParseOrderIdentity(query.Get(orderParam))
	if err != nil {
		return drain.OrderIdentity{}, false, invalidParam(orderParam + ": " + err.Error())
	}
	return identity, true, nil
}

// redirectOrder sends the caller of an order back to this controller with an identity, by the address that it has used.
func (s *Server) redirectOrder(w http.ResponseWriter, r *http.Request, identity drain.OrderIdentity) {
	query := r.URL.Query()
	query.Set(orderParam, identity.String())
	location := url.URL{Scheme: "http", Host: s.calledAddress(r), Path: r.URL.Path, RawQuery: query.Encode()}
	w.Header()["Date"] = nil
	w.Header().Set("Location", location.String())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// calledAddress returns the address at which the caller of a request has reached this controller.
func (s *Server) calledAddress(r *http.Request) string {
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		return r.Host
	}
	return s.settings.ListenAddresses["control"]
}
