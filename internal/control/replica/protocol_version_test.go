package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Pulls and responses of protocol version 1, in which progress is expressed in the responder's local sequence numbers,
// are still supported.
func TestPreviousProtocolVersion(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 1400*time.Microsecond, time.Millisecond)
	sim.writeAndMeasure(sim.nodes[0], routeKey(0), 7)
	replica, now := sim.nodes[1].replica, sim.nodes[1].clock()

	t.Run("pull", func(t *testing.T) {
		request := &message.PullRequest{}
		decode(t, `{"f":{"n":"e9","z":"z1","a":""},"r":"edge","v":{},"w":1200,"c":"10.0.0.9:80","l":5}`, request)
		response, ready := replica.AnswerPull(now, replica.HandlePull(now, request))
		if !ready || !response.Complete || response.LocalSequence == 0 || len(response.Items) == 0 || response.Source == "" {
			t.Fatalf("first pull: ready %v, %+v", ready, response)
		}
		request.LegacyVector = map[string]uint64{response.Source: response.LocalSequence}
		response, ready = replica.AnswerPull(now, replica.HandlePull(now, request))
		if len(response.Items) > 1 || ready && len(response.Items) == 0 { // its own lease is a new item
			t.Errorf("items are sent again: ready %v, %+v", ready, response)
		}
	})

	// Items in a response of version 1 have no sequence numbers: this replica publishes them as its own.
	t.Run("response", func(t *testing.T) {
		entry := quorum.Entry{
			Key:      "item/routes/q",
			Accepted: quorum.ProposalNumber{Number: 9, Proposer: "m2"},
			Value:    quorum.Value{Version: 3, Body: "b"},
			Chosen:   true,
		}
		body, err := easyjson.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		response := &message.PullResponse{}
		const format = `{"s":"m2@abc","q":17,"i":[{"k":"reg/%s","v":3,"b":%q}],"o":true,"n":1,"h":1,"t":1000000000}`
		decode(t, fmt.Sprintf(format, entry.Key, body), response)
		peer := sim.nodes[2].self
		replica.HandlePullResponse(now, peer, replica.NewPullRequest(now, peer), response)
		if replica.Register(entry.Key).Value.Version != 3 {
			t.Error("the register is not held")
		}
		if request := replica.NewPullRequest(now, peer); request.LegacyVector["m2@abc"] != 17 {
			t.Errorf("next pull with %v", request.LegacyVector)
		}
	})
}

func decode(t *testing.T, text string, out easyjson.Unmarshaler) {
	t.Helper()
	if err := easyjson.Unmarshal([]byte(text), out); err != nil {
		t.Fatal(err)
	}
}
