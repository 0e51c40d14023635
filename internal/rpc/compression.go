package rpc

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

const (
	// minCompressBytes is the minimum size of a message that is compressed. A smaller message fits into one or two
	// packets uncompressed.
	minCompressBytes = 1400

	gzipEncoding = "gzip"
)

// ErrTooLarge is the error for a message of more than MaxMessageBytes.
var ErrTooLarge = errors.New("the message is too large")

// Compress compresses a message unless it is small. encoding is its Content-Encoding, empty if it is not compressed.
func Compress(body []byte) (compressed []byte, encoding string) {
	if len(body) < minCompressBytes {
		return body, ""
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return body, ""
	}
	if _, err := writer.Write(body); err != nil {
		return body, ""
	}
	if err := writer.Close(); err != nil {
		return body, ""
	}
	return buffer.Bytes(), gzipEncoding
}

// Decompress reads a message to its end and decompresses it if encoding is gzip. It returns ErrTooLarge if the message
// has more than MaxMessageBytes.
func Decompress(r io.Reader, encoding string) ([]byte, error) {
	if encoding == gzipEncoding {
		decompressor, err := gzip.NewReader(r)
		if err != nil {
			return nil, err
		}
		r = decompressor
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return data, err
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}
