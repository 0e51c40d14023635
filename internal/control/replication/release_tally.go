package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// ReleaseTally holds the counts of one proxy for a release. Attempts, Rewards and Failures have one element each for
// the old and the new build.
//
//easyjson:json
type ReleaseTally struct {
	Reporter         string     `json:"n"` // the proxy and its incarnation; each incarnation counts from 0
	ReleaseNumber    uint64     `json:"r"`
	Attempts         [2]float64 `json:"t"`
	Rewards          [2]float64 `json:"p"`
	Failures         [2]float64 `json:"f"`
	NewBuildRequests float64    `json:"s"` // requests sent to the new build, including those in flight
	ServiceRequests  float64    `json:"d"` // requests to the service since the release started
	SingleBackend    [2]float64 `json:"u"` // attempts and rewards while one backend got all requests for the new build
	Vote             string     `json:"o,omitempty"`
}

// Item returns the tally as an item.
func (t *ReleaseTally) Item(service string, version uint64) Item {
	body, _ := easyjson.Marshal(t) // cannot fail: the counts are finite
	return Item{Key: ReleaseTallyKeyPrefix + service + "/" + t.Reporter, Version: version, Body: string(body)}
}

// ReadReleaseTally decodes the body of a tally's item. It returns ok = false if the body is invalid; the tally is never
// nil.
func ReadReleaseTally(item Item) (tally *ReleaseTally, ok bool) {
	tally = &ReleaseTally{}
	err := easyjson.Unmarshal([]byte(item.Body), tally)
	return tally, err == nil
}
