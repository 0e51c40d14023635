package proxy

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/proxy/balancer"
)

// newBackendRequest returns the request for a backend, with the client's method, path, query and body. roundTrip sets a
// completely buffered body before each use of the request.
func newBackendRequest(r *http.Request, request *balancer.Request, body requestBody) *http.Request {
	outbound := &http.Request{
		Method: r.Method,
		URL:    backendURL(r, destination{request.SentTo.ID, request.SentTo.Address}.host()),
		Host:   cmp.Or(r.Host, request.SentTo.Address), // never the host of the URL
		Header: make(http.Header, len(r.Header)+2),
	}
	for name, values := range r.Header {
		if !hopByHopHeaders[name] {
			outbound.Header[name] = values
		}
	}
	removeConnectionHeaders(outbound.Header, r.Header)
	if _, ok := outbound.Header["User-Agent"]; !ok {
		outbound.Header["User-Agent"] = nil // prevents the transport from adding its own
	}
	timeLeft := max(0, time.Until(request.Deadline).Milliseconds())
	outbound.Header[headerTargetServer] = []string{request.SentTo.ID}
	outbound.Header[headerTimeLeft] = []string{strconv.FormatInt(timeLeft, 10)}
	if !body.replayable() {
		outbound.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body.buffered), body.remainder))
		outbound.ContentLength = r.ContentLength
	}
	return outbound
}

// backendURL returns the URL of a request at a backend, with the host of its destination, and with path and query byte for
// byte as the client sent them.
func backendURL(r *http.Request, host string) *url.URL {
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") { // as Opaque it would be parsed as an absolute URL
		return &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	}
	return &url.URL{Scheme: "http", Host: host, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
