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

// ruleSubject is an HTTP request as the operator's rules see it.
type ruleSubject struct {
	*http.Request
	hint   time.Duration
	effect string // of the workload that the path names, "" if it names none
}

// Text is the method, the path as it was written, or the client's address.
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

// Segments are the segments of the path as it was written.
func (r ruleSubject) Segments() []string {
	return strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
}

// Table is the headers, the query or the cookies.
func (r ruleSubject) Table(name string) match.Table {
	switch name {
	case "header":
		return match.Table{Of: r.Header, Fold: true}
	case "query":
		values, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil { // a backend might read it otherwise
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

// Size is the length of the body in bytes.
func (r ruleSubject) Size() int64 { return r.ContentLength }

// Hint is the client's estimate of the work, 0 if it gave none.
func (r ruleSubject) Hint() time.Duration { return r.hint }

// Sent is how repeatable the request is as it was sent.
func (r ruleSubject) Sent() match.Repeatable {
	return match.SentAs(r.Method, r.ContentLength != 0, r.Header.Get("Idempotency-Key") != "", r.effect)
}

// Deployment is what the operator's rules for this station have to fit.
func (s *Station) Deployment() match.Deployment {
	d := match.Deployment{Effects: map[string]string{}, Customers: setting(s, "customers", []string(nil))}
	for _, w := range setting(s, "workloads", []string(nil)) {
		d.Effects[w] = setting(s, "workload."+w+".effect", "effectful")
	}
	return d
}

// Subject is a request as the operator's rules see it.
func (s *Station) Subject(r *http.Request) match.Subject {
	hint, _ := parseWorkHint(r.Header.Get("Work-Hint"))
	return ruleSubject{r, hint, setting(s, "workload."+pathWorkload(r)+".effect", "")}
}

// SetRules takes up other rules, nil for none. Transactions that were accepted before go on as they were judged.
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

// applyRules lets the operator's rules judge a request, whose path names a workload with an effect. It returns the
// workload that they decide on, else that of the path.
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
