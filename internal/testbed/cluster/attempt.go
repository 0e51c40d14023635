package cluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minRetryAfter is the shortest pause before a retry.
	minRetryAfter = 20 * time.Millisecond
	// deadlineMargin is how long before its deadline an operation counts as expired: the deadline itself may have
	// interrupted a response that ends after this point.
	deadlineMargin = 100 * time.Millisecond
)

// attempt is one request of an operation.
type attempt struct {
	id      string
	service string
	kind    requestKind
	proxy   string // address
}

// send sends the request and records its outcome in the ledger. It reports whether the client may retry, and after
// which pause. The context must have a deadline.
func (a *attempt) send(
	ctx context.Context, httpClient *http.Client, ledger *Ledger,
) (retry bool, retryAfter time.Duration) {
	deadline, _ := ctx.Deadline()
	body := strings.Repeat("b", a.kind.bodyBytes)
	url := "http://" + a.proxy + a.kind.path + a.id
	request, err := http.NewRequestWithContext(ctx, a.kind.method, url, strings.NewReader(body))
	if err != nil {
		return false, 0
	}
	request.GetBody = nil // net/http must not retry the request, which it cannot do without GetBody
	setHeaders(request, a.service, a.id, max(time.Millisecond, time.Until(deadline)))
	response, err := httpClient.Do(request)
	inTime := time.Until(deadline) > deadlineMargin
	if err != nil {
		return a.recordError(err, inTime, ledger), minRetryAfter
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	complete := err == nil
	matches := string(data) == responseBody(a.id, len(body)) && response.Header.Get(headerBackendSeal) != ""
	ledger.AttemptEnded(a.id, response.StatusCode, complete, matches, inTime)
	if response.StatusCode/100 == 2 && complete {
		return false, 0
	}
	status := response.StatusCode
	notExecuted := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return !a.kind.nonIdempotent || notExecuted, max(retryAfter, minRetryAfter)
}

// recordError records an attempt without a response, and reports whether the client may retry. An attempt that failed
// to connect was never sent, and counts as refused.
func (a *attempt) recordError(err error, inTime bool, ledger *Ledger) (retry bool) {
	if opErr, ok := errors.Into[*net.OpError](err); ok && opErr.Op == "dial" {
		ledger.AttemptEnded(a.id, http.StatusServiceUnavailable, true, true, inTime)
		return true
	}
	ledger.AttemptEnded(a.id, 0, false, false, inTime)
	return !a.kind.nonIdempotent
}

// setHeaders sets the host of a service and the headers of the protocol on a request.
func setHeaders(request *http.Request, service, attemptID string, timeLeft time.Duration) {
	request.Host = serviceHost(service)
	request.Header.Set(headerAttemptID, attemptID)
	request.Header.Set(headerTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
}
