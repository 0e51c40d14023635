package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// ReleaseTally is what one proxy has seen of a release. Attempts, Rewards and Failures are of the old and of the new
// build.
//
//easyjson:json
type ReleaseTally struct {
	Reporter         string     `json:"n"` // the proxy and its incarnation, as each incarnation counts from 0
	ReleaseNumber    uint64     `json:"r"`
	Attempts         [2]float64 `json:"t"`
	Rewards          [2]float64 `json:"p"`
	Failures         [2]float64 `json:"f"`
	NewBuildRequests float64    `json:"s"` // requests sent to the new build, including those in flight
	ServiceRequests  float64    `json:"d"` // requests to the service since the release started
	SingleBackend    [2]float64 `json:"u"` // attempts and payoffs while one backend had all requests of the new build
	Vote             string     `json:"o,omitempty"`
}

// Item returns the tally as an item.
func (t *ReleaseTally) Item(service string, version uint64) Item {
	body, _ := easyjson.Marshal(t) // the figures are finite, so they always encode
	return Item{Key: ReleaseTallyKeyPrefix + service + "/" + t.Reporter, Version: version, Body: string(body)}
}

// ReadReleaseTally reads the body of a tally's item. ok is false if it can't be read; the tally is never nil.
func ReadReleaseTally(item Item) (tally *ReleaseTally, ok bool) {
	tally = &ReleaseTally{}
	err := easyjson.Unmarshal([]byte(item.Body), tally)
	return tally, err == nil
}
