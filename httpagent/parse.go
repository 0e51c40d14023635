package httpagent

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/agent/api"
)

const (
	maxBodySize = 64 << 10 // bytes of a client's body

	// bodyReadTimeout is how long a body may take once its headers are there: with headerReadTimeout it stays below the 3
	// s within which whoever sends half a request has to be answered.
	bodyReadTimeout = 800 * time.Millisecond

	// maxHeaderNumber is beyond any figure that a client has reason to name, and still fits a time.Duration.
	maxHeaderNumber = 1e10
)

// clientRequest is a transaction as a client has written it: the request, which is forwarded unchanged, and what the
// policy needs to know of it.
type clientRequest struct {
	api.TransactionAccepted
	request  *http.Request
	body     []byte
	deadline time.Time // when the client gives up
}

// requestError says that a request does not become a transaction, and by which status it is answered.
type requestError struct {
	status  int
	message string
}

func (e requestError) Error() string { return e.message }

// parseRequest reads from a request what the policy needs. Its error is a requestError.
func (a *Agent) parseRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	if strings.HasPrefix(r.RequestURI, "//") || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, requestError{http.StatusNotFound, "no such workload"}
	}
	request := &clientRequest{request: r}
	request.ID = api.TransactionID(r.Header.Get("Request-Id"))
	if err := a.parseHeaders(request); err != nil {
		return nil, err
	}
	if err := a.assignWorkload(request); err != nil {
		return nil, err
	}
	if request.Timeout == 0 {
		request.Timeout = setting(a.station, "workload."+string(request.Workload)+".abandon", time.Second)
	}
	var err error
	if request.body, err = a.readBody(w, r); err != nil {
		return nil, err
	}
	request.deadline = time.Now().Add(request.Timeout)
	return request, nil
}

// assignWorkload finds the workload by the path and the operator's rules, and checks that the request fits it.
func (a *Agent) assignWorkload(request *clientRequest) error {
	r := request.request
	byPath := pathWorkload(r)
	workload, err := a.applyRules(r, request, byPath, a.effectOf(byPath))
	if err != nil {
		return err
	}
	effect := a.effectOf(workload)
	if effect == "" {
		return requestError{http.StatusNotFound, "no such workload"}
	}
	if request.ID == "" {
		return requestError{http.StatusBadRequest, "Request-Id is missing"}
	}
	if workload == byPath {
		err = checkMethod(r, effect)
	} else { // the rules let no workload pass that is more repeatable than what was sent
		err = checkMethodOfRule(r)
	}
	request.Workload = api.Workload(workload)
	return err
}

// pathWorkload is the first segment of a path as it was written: a backend need not read an escaped slash as one.
func pathWorkload(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	return name
}

// effectOf is the effect of a workload, "" if the deployment does not know it.
func (a *Agent) effectOf(workload string) string {
	return setting(a.station, "workload."+workload+".effect", "")
}

// parseHeaders reads from the headers what the policy needs.
func (a *Agent) parseHeaders(request *clientRequest) error {
	header := request.request.Header
	for _, name := range []string{"Request-Id", "Request-Timeout", "Idempotency-Key", "Work-Hint"} {
		if len(header[name]) > 1 { // a backend might read the other one
			return requestError{http.StatusBadRequest, name + " comes twice"}
		}
	}
	if text := header.Get("Request-Timeout"); text != "" {
		timeout, err := parseTimeout(text)
		if err != nil {
			return requestError{http.StatusBadRequest, err.Error()}
		}
		request.Timeout = max(min(timeout, a.longestTimeout()), 1) // nothing is kept in memory for longer
	}
	if hint := header.Get("Work-Hint"); hint != "" {
		var ok bool
		if request.Cost, ok = parseWorkHint(hint); !ok {
			return requestError{http.StatusBadRequest, "Work-Hint is no number of microseconds"}
		}
		request.CostKnown = request.Cost > 0
	}
	if cookie, err := request.request.Cookie("k"); err == nil {
		request.Key = api.AffinityKey(cookie.Value)
	}
	request.IsRetry = header.Get("Client-Retry") == "1"
	a.parseRequestInfo(request, header.Get("Request-Info"))
	return nil
}

// parseRequestInfo reads name=value pairs that are separated by commas. Customers that the deployment does not name are
// ignored, so that what is kept for each customer stays bounded.
func (a *Agent) parseRequestInfo(request *clientRequest, text string) {
	for _, pair := range strings.Split(text, ",") {
		switch name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name {
		case "customer":
			if slices.Contains(setting(a.station, "customers", []string(nil)), value) {
				request.Customer = api.Customer(value)
			}
		case "write":
			request.IsWrite = value == "1"
		}
	}
}

// checkMethod rejects a request that is not written as those of its workload are.
func checkMethod(r *http.Request, effect string) error {
	method := http.MethodPost
	if effect == "pure" {
		method = http.MethodGet
	}
	if r.Method != method {
		return requestError{http.StatusMethodNotAllowed, "this workload uses " + method}
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return requestError{http.StatusBadRequest, "this workload has no body"}
	}
	if effect == "receipted" && r.Header.Get("Idempotency-Key") == "" {
		return requestError{http.StatusBadRequest, "Idempotency-Key is missing"}
	}
	return nil
}

// checkMethodOfRule rejects a method that no workload uses.
func checkMethodOfRule(r *http.Request) error {
	if r.Method == http.MethodPost || r.Method == http.MethodGet && r.ContentLength == 0 {
		return nil
	}
	return requestError{http.StatusMethodNotAllowed, "GET without a body or POST is wanted"}
}

// checkFraming rejects a request that does not say plainly where it ends: net/http drops a Content-Length beside a
// Transfer-Encoding and reads on behind the chunks, where another request may be hidden (request smuggling, RFC 9112
// section 11.2). No client needs chunks, nor HTTP/1.0.
func checkFraming(r *http.Request) error {
	switch {
	case r.TransferEncoding != nil || !r.ProtoAtLeast(1, 1):
		return requestError{http.StatusBadRequest, "HTTP/1.1 with Content-Length is wanted"}
	case r.ContentLength > maxBodySize:
		return requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	return nil
}

// readBody reads as many bytes as the request declares, if all bodies together leave room for them. The read deadline
// is lifted afterwards: if it passed during the transaction, the client would seem to have left.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if a.bodyBytes.Add(r.ContentLength) > a.maxBodyBytes {
		a.bodyBytes.Add(-r.ContentLength)
		return nil, requestError{http.StatusServiceUnavailable, "no room for the body now"}
	}
	setReadDeadline(w, time.Now().Add(bodyReadTimeout))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		a.bodyBytes.Add(-r.ContentLength)
		return nil, requestError{http.StatusBadRequest, "the body cannot be read"}
	}
	setReadDeadline(w, time.Time{})
	return body, nil
}

// parseWorkHint reads a number of microseconds.
func parseWorkHint(text string) (time.Duration, bool) {
	micros, err := strconv.ParseFloat(text, 64)
	if err != nil || !(micros >= 0 && micros < maxHeaderNumber) {
		return 0, false
	}
	return time.Duration(micros * float64(time.Microsecond)), true
}

// parseTimeout reads a number and its unit: m for milliseconds, u for microseconds.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		digits, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(digits, 64)
	if err != nil || !ok || !(value > 0 && value < maxHeaderNumber) {
		return 0, fmt.Errorf("Request-Timeout cannot be read: %.40q", text)
	}
	return time.Duration(value * float64(unit)), nil
}
