package steward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
)

// longestAsk bounds the bytes of a message between agents: some ten thousand routes.
const longestAsk = 32 << 20

// Dial opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Client is what agents call one another with; dial is the way that connections take, nil for the usual one.
func Client(dial Dial) *http.Client {
	if dial == nil {
		dial = patience.Dialer(time.Second).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

// Post makes one call on the port between agents.
func Post(ctx context.Context, client *http.Client, addr, path string, body []byte, out easyjson.Unmarshaler) error {
	packed, coding := pack(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(packed))
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil
	if coding != "" {
		req.Header.Set("Content-Encoding", coding)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := unpack(resp.Body, resp.Header.Get("Content-Encoding"))
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

func read(w http.ResponseWriter, r *http.Request, into easyjson.Unmarshaler) bool {
	data, err := unpack(http.MaxBytesReader(w, r.Body, longestAsk), r.Header.Get("Content-Encoding"))
	if err == nil {
		err = easyjson.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func write(w http.ResponseWriter, what easyjson.Marshaler) (size int) {
	body, err := easyjson.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	packed, coding := pack(body)
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, []string{"application/json"}
	if coding != "" {
		h.Set("Content-Encoding", coding)
	}
	w.Write(packed)
	return len(packed)
}
