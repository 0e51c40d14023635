package rpc

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"sagelever/internal/tcp"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
)

// MaxMessageBytes bounds the bytes of a message between agents: some ten thousand routes.
const MaxMessageBytes = 32 << 20

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// userTimeout is for how long a connection between nodes stays up without any acknowledgement from the other machine.
const userTimeout = tcp.UserTimeout(1500 * time.Millisecond)

// NewClient is what agents call one another with; dial is the way that connections take, nil for the usual one.
func NewClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = userTimeout.Dialer(time.Second).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

// Post makes one call on the port between agents.
func Post(ctx context.Context, client *http.Client, address, path string, body []byte, out easyjson.Unmarshaler) error {
	compressed, encoding := Compress(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(compressed))
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := Decompress(resp.Body, resp.Header.Get("Content-Encoding"))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return easyjson.Unmarshal(data, out)
}

func ReadRequest(w http.ResponseWriter, r *http.Request, message easyjson.Unmarshaler) bool {
	data, err := Decompress(http.MaxBytesReader(w, r.Body, MaxMessageBytes), r.Header.Get("Content-Encoding"))
	if err == nil {
		err = easyjson.Unmarshal(data, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func WriteResponse(w http.ResponseWriter, message easyjson.Marshaler) (size int) {
	body, err := easyjson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	compressed, encoding := Compress(body)
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, []string{"application/json"}
	if encoding != "" {
		header.Set("Content-Encoding", encoding)
	}
	w.Write(compressed)
	return len(compressed)
}
