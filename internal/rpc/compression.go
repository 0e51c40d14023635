package rpc

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// minCompressBytes is the size in bytes from which a message is packed: below it a packet or two hold it as it is.
const minCompressBytes = 1400

// Compress makes a large message smaller, as bytes between zones and regions are dear.
func Compress(body []byte) (compressed []byte, encoding string) {
	if len(body) < minCompressBytes {
		return body, ""
	}
	var buffer bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if _, err := writer.Write(body); err != nil || writer.Close() != nil {
		return body, ""
	}
	return buffer.Bytes(), "gzip"
}

// Decompress reads a message whole, within its bound.
func Decompress(r io.Reader, encoding string) ([]byte, error) {
	if encoding == "gzip" {
		zipped, err := gzip.NewReader(r)
		if err != nil {
			return nil, err
		}
		r = zipped
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err == nil && len(data) > MaxMessageBytes {
		err = errors.New("the message is too long")
	}
	return data, err
}
