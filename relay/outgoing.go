package relay

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sagelever/sway"
)

// outgoing makes the request that an appliance gets: method, path, query and body as they came.
func outgoing(q *http.Request, req *sway.Request, body []byte, rest io.Reader) *http.Request {
	out := &http.Request{Method: q.Method, URL: target(q, req.To.Address), Host: q.Host, Header: make(http.Header, len(q.Header)+2)}
	for k, v := range q.Header {
		if !hopByHop[k] {
			out.Header[k] = v
		}
	}
	drop(out.Header, q.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	out.Header[meant] = []string{req.To.ID}
	out.Header[timeLeft] = []string{strconv.FormatInt(max(0, time.Until(req.Deadline).Milliseconds()), 10)}
	if rest != nil {
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body), rest)), q.ContentLength
	}
	return out
}

// target is the place of a request at an appliance, letter for letter as the client wrote it.
func target(q *http.Request, address string) *url.URL {
	path, query, asked := strings.Cut(q.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: address, Path: q.URL.Path, RawPath: q.URL.RawPath, RawQuery: q.URL.RawQuery}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: asked && query == ""}
}
