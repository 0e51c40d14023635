package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// Lease is the membership of a node, as the controller that grants it knows it.
//
//easyjson:json
type Lease struct {
	Node          string `json:"n"`
	Role          string `json:"r"`
	Zone          string `json:"z"`
	ListenAddress string `json:"f"` // where clients reach it; empty while it is not ready, or leaving
	Grantor       string `json:"h"` // the controller that grants the lease
	Ended         bool   `json:"e,omitempty"`
}

// Item returns the lease as an item.
func (l *Lease) Item(version uint64) Item {
	body, _ := easyjson.Marshal(l) // strings and booleans always encode
	return Item{Key: LeaseKeyPrefix + l.Node + "/" + l.Role, Version: version, Body: string(body)}
}

// ReadLease reads the body of a lease's item. ok is false if it can't be read; the lease is never nil.
func ReadLease(item Item) (lease *Lease, ok bool) {
	lease = &Lease{}
	err := easyjson.Unmarshal([]byte(item.Body), lease)
	return lease, err == nil
}
