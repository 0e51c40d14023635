package steward

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// worthPacking is the size in bytes from which a message is packed: below it a packet or two hold it as it is.
const worthPacking = 1400

// pack makes a large message smaller, as bytes between zones and regions are dear.
func pack(body []byte) (packed []byte, coding string) {
	if len(body) < worthPacking {
		return body, ""
	}
	var b bytes.Buffer
	z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if _, err := z.Write(body); err != nil || z.Close() != nil {
		return body, ""
	}
	return b.Bytes(), "gzip"
}

// unpack reads a message whole, within its bound.
func unpack(r io.Reader, coding string) ([]byte, error) {
	if coding == "gzip" {
		z, err := gzip.NewReader(r)
		if err != nil {
			return nil, err
		}
		r = z
	}
	data, err := io.ReadAll(io.LimitReader(r, longestAsk+1))
	if err == nil && len(data) > longestAsk {
		err = errors.New("the message is too long")
	}
	return data, err
}
