package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// Lease is the lease of a node, as recorded by the controller that grants it.
//
//easyjson:json
type Lease struct {
	Node          string `json:"n"`
	Role          string `json:"r"`
	Zone          string `json:"z"`
	ListenAddress string `json:"f"` // address for clients; empty while the node is not ready, or leaving
	Grantor       string `json:"h"` // the controller that grants the lease
	Ended         bool   `json:"e,omitempty"`
}

// Item returns the lease as an item.
func (l *Lease) Item(version uint64) Item {
	body, _ := easyjson.Marshal(l) // cannot fail: the fields are strings and booleans
	return Item{Key: LeaseKeyPrefix + l.Node + "/" + l.Role, Version: version, Body: string(body)}
}

// ReadLease decodes the body of a lease's item. It returns ok = false if the body is invalid; the lease is never nil.
func ReadLease(item Item) (lease *Lease, ok bool) {
	lease = &Lease{}
	err := easyjson.Unmarshal([]byte(item.Body), lease)
	return lease, err == nil
}
