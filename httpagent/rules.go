package httpagent

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/match"
)

// ruleSubject exposes an HTTP request to the operator's rules.
type ruleSubject struct {
	*http.Request
	hint   time.Duration
	effect string // of the workload named by the path, "" if there is none
}

// Text returns the method ("method"), the escaped path ("path") or the client's address ("peer").
func (r ruleSubject) Text(name string) string {
	switch name {
	case "method":
		return r.Method
	case "path":
		return r.URL.EscapedPath()
	case "peer":
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		return host
	}
	return ""
}

// Segments returns the segments of the escaped path.
func (r ruleSubject) Segments() []string {
	return strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
}

// Table returns the headers, the query or the cookies.
func (r ruleSubject) Table(name string) match.Table {
	switch name {
	case "header":
		return match.Table{Of: r.Header, Fold: true}
	case "query":
		values, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil { // a backend might parse it differently
			return match.Table{}
		}
		return match.Table{Of: values}
	case "cookie":
		table := map[string][]string{}
		for _, c := range r.Cookies() {
			table[c.Name] = append(table[c.Name], c.Value)
		}
		return match.Table{Of: table}
	}
	return match.Table{}
}

// Size returns the length of the body in bytes.
func (r ruleSubject) Size() int64 { return r.ContentLength }

// Hint returns the client's estimate of the work, or 0 if there is none.
func (r ruleSubject) Hint() time.Duration { return r.hint }

// Sent returns how repeatable the request is as the client sent it.
func (r ruleSubject) Sent() match.Repeatable {
	return match.SentAs(r.Method, r.ContentLength != 0, r.Header.Get("Idempotency-Key") != "", r.effect)
}

// Deployment returns the deployment that the operator's rules for this station are compiled against.
func (s *Station) Deployment() match.Deployment {
	d := match.Deployment{Effects: map[string]string{}, Customers: setting(s, "customers", []string(nil))}
	for _, w := range setting(s, "workloads", []string(nil)) {
		d.Effects[w] = setting(s, "workload."+w+".effect", "effectful")
	}
	return d
}

// Subject returns a request as an input of the operator's rules.
func (s *Station) Subject(r *http.Request) match.Subject {
	hint, _ := parseWorkHint(r.Header.Get("Work-Hint"))
	return ruleSubject{r, hint, setting(s, "workload."+pathWorkload(r)+".effect", "")}
}

// SetRules replaces the operator's rules; nil removes them. Transactions that have been accepted are not affected.
func (a *Agent) SetRules(rules match.Judge) {
	a.setRules(rules)
	a.log.Info("rules", "on", rules != nil)
}

func (a *Agent) setRules(rules match.Judge) {
	if rules == nil {
		a.rules.Store(nil)
	} else {
		a.rules.Store(&rules)
	}
}

// applyRules evaluates the operator's rules for a request and applies their decisions to it. It returns the workload
// that the rules choose, or byPath if they choose none; effect is the effect of byPath.
func (a *Agent) applyRules(r *http.Request, request *clientRequest, byPath, effect string) (workload string,
	err error) {
	rules := a.rules.Load()
	if rules == nil {
		return byPath, nil
	}
	judgement := (*rules).Judge(ruleSubject{r, request.Cost, effect})
	if judgement.Trouble != nil {
		a.ruleErrorLog.warn("rule_error", "error", judgement.Trouble)
	}
	if judgement.Refused != nil {
		return "", requestError{http.StatusBadRequest, judgement.Refused.Error()}
	}
	if judgement.Key != "" {
		request.Key = api.AffinityKey(judgement.Key)
	}
	if judgement.Customer != "" {
		request.Customer = api.Customer(judgement.Customer)
	}
	if judgement.Cost > 0 {
		request.Cost, request.CostKnown = judgement.Cost, true
	}
	if judgement.Workload != "" {
		return judgement.Workload, nil
	}
	return byPath, nil
}
