package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

// peerPaths are the paths of the peer port that take a message.
var peerPaths = append(message.ReplicaPaths(),
	message.PullPath, message.TallyPath, message.ChangePath, message.InFlightReportPath)

// postToPeer sends a body to a path of a controller's peer port.
func postToPeer(server *Server, path string, body []byte) *http.Response {
	const patience = 50 * time.Millisecond // of a caller that does not wait for news
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	server.peerHandler().ServeHTTP(recorder, request)
	return recorder.Result()
}

// isOneLine reports whether a response consists of one line.
func isOneLine(t *testing.T, response *http.Response) bool {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Count(text, []byte("\n")) == 1 && bytes.HasSuffix(text, []byte("\n"))
}

// Guards against bad input that is taken for a message: each gets a 4xx with one line.
func TestInvalidPeerMessagesAreRejected(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	server := cluster.running[0].Server
	member := `"b":{"e":1,"n":9,"w":"n1/1"}`
	for name, test := range map[string]struct {
		path, body string
		status     int
	}{
		"cut":                      {message.PreparePath, `{"e":1,` + member + `,"k":["a`, 400},
		"not JSON, several lines":  {message.ReadPath, "a\nb\nc", 400},
		"empty":                    {message.PullPath, "", 400},
		"too large":                {message.AcceptPath, strings.Repeat(" ", rpc.MaxMessageBytes+1), 400},
		"wrong type":               {message.ConfirmPath, `{"k":7}`, 400},
		"no keys":                  {message.PreparePath, `{"e":1,` + member + `}`, 400},
		"no entries":               {message.AcceptPath, `{"e":1,` + member + `}`, 400},
		"empty key":                {message.ConfirmPath, `{"e":1,` + member + `,"k":[""]}`, 400},
		"proposal of other epoch":  {message.PreparePath, `{"e":2,` + member + `,"k":["a"]}`, 400},
		"proposal number too high": {message.PreparePath, `{"e":1,"b":{"e":1,"n":18446744073709551615,"w":"n1/1"},"k":["a"]}`, 400},
		"proposer is no member":    {message.PreparePath, `{"e":1,"b":{"e":1,"n":9,"w":"n9/1"},"k":["a"]}`, 403},
		"neither keys nor ranges":  {message.ReadPath, `{"e":1}`, 400},
		"no ranges":                {message.StatePath, `{"e":1}`, 400},
		"generation of nobody":     {message.GenerationPath, `{"e":1,"g":3}`, 400},
		"unknown role":             {message.PullPath, `{"f":{"n":"e1"},"r":"king"}`, 400},
		"pull of nobody":           {message.PullPath, `{"r":"edge"}`, 400},
		"incarnation too high":     {message.PullPath, `{"f":{"n":"e1"},"r":"edge","l":18446744073709551615}`, 400},
		"report of nobody":         {message.InFlightReportPath, `{}`, 400},
		"unknown path":             {"/nothing", `{}`, 404},
	} {
		response := postToPeer(server, test.path, []byte(test.body))
		if response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", name, response.StatusCode, test.status)
		}
		if !isOneLine(t, response) {
			t.Errorf("%s: the response is not one line", name)
		}
	}
}

// FuzzPeerMessages checks that any body sent to the peer port gets a response without a panic, and a rejected one a
// single line.
func FuzzPeerMessages(f *testing.F) {
	for i := range peerPaths {
		f.Add(i, []byte(`{"e":1,"b":{"e":1,"n":9,"w":"n1/1"},"k":["a"],"v":[{"k":"a","x":{"v":1,"b":"x"}}],"d":{"s":1,"n":1,"r":[{}]}}`))
		f.Add(i, []byte(`{"f":{"n":"e1","z":"a1"},"r":"edge","g":2,"u":{"a.1":3},"l":5,"i":[{"k":"count/s/e1","v":1,"b":"{}"}]}`))
	}
	server := newStartedCluster(f).running[0].Server
	f.Fuzz(func(t *testing.T, path int, body []byte) {
		path = int(uint(path) % uint(len(peerPaths)))
		response := postToPeer(server, peerPaths[path], body)
		rejected := response.StatusCode >= 400 && response.StatusCode < 500
		switch {
		case rejected && !isOneLine(t, response):
			t.Errorf("%s: status %d without a line", peerPaths[path], response.StatusCode)
		case !rejected && response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable:
			t.Errorf("%s: status %d", peerPaths[path], response.StatusCode)
		}
	})
}
