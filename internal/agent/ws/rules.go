package ws

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/match"
)

// Errors of requests that don't fit a workload. The texts are sent to clients.
var (
	errNoWorkload = errors.New("no such workload")
	errBadMethod  = errors.New("GET or POST is wanted")
)

// ruleSubject exposes a client's request to the operator's rules.
type ruleSubject struct {
	ClientRequest
	peer   string
	effect string // of the workload named by the path, "" if there is none
}

func (s ruleSubject) splitPath() (path, query string) {
	path, query, _ = strings.Cut(s.Path, "?")
	return path, query
}

// Text returns the method ("method"), the path without query ("path") or the client's address ("peer").
func (s ruleSubject) Text(name string) string {
	switch name {
	case "method":
		return s.Method
	case "path":
		path, _ := s.splitPath()
		return path
	case "peer":
		end := strings.LastIndexByte(s.peer, ':')
		return s.peer[:max(end, 0)]
	}
	return ""
}

// Segments returns the segments of the path.
func (s ruleSubject) Segments() []string {
	path, _ := s.splitPath()
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

// Table returns the headers or the query. There are no cookies.
func (s ruleSubject) Table(name string) match.Table {
	switch name {
	case "header":
		return match.Table{Of: s.Header, Fold: true}
	case "query":
		_, query := s.splitPath()
		if values, err := url.ParseQuery(query); err == nil {
			return match.Table{Of: values}
		}
	}
	return match.Table{}
}

// Size returns the length of the body in bytes.
func (s ruleSubject) Size() int64 { return int64(len(s.Body)) }

// Hint returns the client's estimate of the work, or 0 if there is none.
func (s ruleSubject) Hint() time.Duration { return s.workHint() }

// Sent returns how repeatable the request is as the client sent it.
func (s ruleSubject) Sent() match.Repeatable {
	return match.SentAs(s.Method, len(s.Body) > 0, s.Idempotency != "", s.effect)
}

// accept validates a request, applies the operator's rules and returns its properties for the policy.
func (s *Server) accept(request ClientRequest, peer string) (api.TransactionAccepted, error) {
	deployment := s.host.Deployment()
	subject := ruleSubject{ClientRequest: request, peer: peer}
	workload := subject.Segments()[0]
	subject.effect = deployment.Effects[workload]
	accepted := api.TransactionAccepted{
		ID:        api.TransactionID(request.ID),
		Key:       api.AffinityKey(request.Key),
		Cost:      request.workHint(),
		CostKnown: request.workHint() > 0,
		IsRetry:   request.IsRetry,
	}
	if rules := s.host.Judge(); rules != nil {
		judgement := rules.Judge(subject)
		if judgement.Refused != nil {
			return accepted, judgement.Refused
		}
		if judgement.Workload != "" {
			workload = judgement.Workload
		}
		applyJudgement(&accepted, judgement)
	}
	if err := checkEffect(subject, deployment.Effects[workload]); err != nil {
		return accepted, err
	}
	accepted.Workload = api.Workload(workload)
	timeout, maximum := s.host.Timeouts(workload)
	if accepted.Timeout = timeout; request.timeout() > 0 {
		accepted.Timeout = max(min(request.timeout(), maximum), 1)
	}
	return accepted, nil
}

// applyJudgement applies the decisions of the rules to a request, except for the workload.
func applyJudgement(accepted *api.TransactionAccepted, judgement match.Judgement) {
	if judgement.Key != "" {
		accepted.Key = api.AffinityKey(judgement.Key)
	}
	accepted.Customer = api.Customer(judgement.Customer)
	if judgement.Cost > 0 {
		accepted.Cost, accepted.CostKnown = judgement.Cost, true
	}
}

// checkEffect checks that the method, body and idempotency key of a request fit the effect of its workload.
func checkEffect(subject ruleSubject, effect string) error {
	subject.effect = ""
	switch {
	case effect == "":
		return errNoWorkload
	case subject.Method != http.MethodGet && subject.Method != http.MethodPost:
		return errBadMethod
	case subject.Sent() < match.RepeatableBy(effect):
		return errors.New("a " + effect +
			" workload is not asked for so: GET without a body, or POST with idempotency, is wanted")
	}
	return nil
}
