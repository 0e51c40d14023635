package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/proxy/balancer"
)

// newBackendRequest makes the request that a backend receives: method, path, query and body are the client's. A body
// that is buffered completely is set later, before each send (see roundTrip).
func newBackendRequest(r *http.Request, request *balancer.Request, body requestBody) *http.Request {
	outbound := &http.Request{
		Method: r.Method,
		URL:    backendURL(r, request.SentTo.Address),
		Host:   r.Host,
		Header: make(http.Header, len(r.Header)+2),
	}
	for name, values := range r.Header {
		if !hopByHopHeaders[name] {
			outbound.Header[name] = values
		}
	}
	removeConnectionHeaders(outbound.Header, r.Header)
	if _, ok := outbound.Header["User-Agent"]; !ok {
		outbound.Header["User-Agent"] = nil // keeps the transport from adding its own
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

// backendURL is the URL of a request at a backend, byte for byte as the client wrote path and query.
func backendURL(r *http.Request, address string) *url.URL {
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") { // Opaque would be read as a URL of its own
		return &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
