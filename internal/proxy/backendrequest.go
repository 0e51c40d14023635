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

// newBackendRequest makes the request that an appliance gets: method, path, query and body as they came.
func newBackendRequest(r *http.Request, req *balancer.Request, body []byte, remainder io.Reader) *http.Request {
	outbound := &http.Request{Method: r.Method, URL: backendURL(r, req.SentTo.Address), Host: r.Host, Header: make(http.Header, len(r.Header)+2)}
	for k, v := range r.Header {
		if !hopByHopHeaders[k] {
			outbound.Header[k] = v
		}
	}
	removeConnectionHeaders(outbound.Header, r.Header)
	if _, ok := outbound.Header["User-Agent"]; !ok {
		outbound.Header["User-Agent"] = nil
	}
	outbound.Header[headerTargetServer] = []string{req.SentTo.ID}
	outbound.Header[headerTimeLeft] = []string{strconv.FormatInt(max(0, time.Until(req.Deadline).Milliseconds()), 10)}
	if remainder != nil {
		outbound.Body, outbound.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body), remainder)), r.ContentLength
	}
	return outbound
}

// backendURL is the place of a request at an appliance, letter for letter as the client wrote it.
func backendURL(r *http.Request, address string) *url.URL {
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
