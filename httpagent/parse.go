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
	maxBodySize = 64 << 10 // bytes of a request body

	// bodyReadTimeout limits reading the body after the headers. Together with headerReadTimeout it stays below 3 s,
	// within which an incomplete request has to be answered.
	bodyReadTimeout = 800 * time.Millisecond

	// maxHeaderNumber is larger than any meaningful value, and still fits a time.Duration in any unit that is used.
	maxHeaderNumber = 1e10
)

// clientRequest is a transaction as received from a client: the request, which is forwarded unchanged, and its
// properties for the policy.
type clientRequest struct {
	api.TransactionAccepted
	request  *http.Request
	body     []byte
	deadline time.Time // when the client stops waiting
}

// requestError is the reason why a request is rejected, with the status of the response.
type requestError struct {
	status  int
	message string
}

func (e requestError) Error() string { return e.message }

// parseRequest validates a request and extracts its properties for the policy. Its error is always a requestError.
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

// assignWorkload determines the workload from the path and the operator's rules, and checks that the request fits it.
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
	} else { // the rules never assign a workload that is more repeatable than the request
		err = checkMethodOfRule(r)
	}
	request.Workload = api.Workload(workload)
	return err
}

// pathWorkload returns the first segment of the escaped path, as a backend may not treat an escaped slash as a
// separator.
func pathWorkload(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	return name
}

// effectOf returns the effect of a workload, or "" if the deployment does not define the workload.
func (a *Agent) effectOf(workload string) string {
	return setting(a.station, "workload."+workload+".effect", "")
}

// parseHeaders extracts the properties for the policy from the headers.
func (a *Agent) parseHeaders(request *clientRequest) error {
	header := request.request.Header
	for _, name := range []string{"Request-Id", "Request-Timeout", "Idempotency-Key", "Work-Hint"} {
		if len(header[name]) > 1 { // a backend might use a different value than the agent
			return requestError{http.StatusBadRequest, name + " comes twice"}
		}
	}
	if text := header.Get("Request-Timeout"); text != "" {
		timeout, err := parseTimeout(text)
		if err != nil {
			return requestError{http.StatusBadRequest, err.Error()}
		}
		request.Timeout = max(min(timeout, a.longestTimeout()), 1) // bounds how long the transaction is kept in memory
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

// parseRequestInfo parses comma-separated name=value pairs. Customers that the deployment does not list are ignored, so
// that per-customer state stays bounded.
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

// checkMethod rejects a request whose method, body or headers don't fit the effect of its workload.
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

// checkMethodOfRule rejects a method that no workload uses, for a request whose workload was assigned by a rule.
func checkMethodOfRule(r *http.Request) error {
	if r.Method == http.MethodPost || r.Method == http.MethodGet && r.ContentLength == 0 {
		return nil
	}
	return requestError{http.StatusMethodNotAllowed, "GET without a body or POST is wanted"}
}

// checkFraming rejects a request whose length is ambiguous: net/http ignores Content-Length if there is a
// Transfer-Encoding and continues reading after the chunks, where another request may be hidden (request smuggling, RFC
// 9112 section 11.2). No client needs chunks or HTTP/1.0.
func checkFraming(r *http.Request) error {
	switch {
	case r.TransferEncoding != nil || !r.ProtoAtLeast(1, 1):
		return requestError{http.StatusBadRequest, "HTTP/1.1 with Content-Length is wanted"}
	case r.ContentLength > maxBodySize:
		return requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	return nil
}

// readBody reads the declared number of bytes if the memory limit for all bodies allows it. It clears the read deadline
// afterwards: if the deadline passed during the transaction, net/http would report that the client has disconnected.
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

// parseWorkHint parses a number of microseconds.
func parseWorkHint(text string) (time.Duration, bool) {
	micros, err := strconv.ParseFloat(text, 64)
	if err != nil || !(micros >= 0 && micros < maxHeaderNumber) {
		return 0, false
	}
	return time.Duration(micros * float64(time.Microsecond)), true
}

// parseTimeout parses a number followed by its unit: m for milliseconds, u for microseconds.
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
