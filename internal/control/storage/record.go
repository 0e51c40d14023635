package storage

import (
	"fmt"
	"hash/crc32"
)

// checksumLen is the length of the checksum that precedes each stored value: CRC-32 (IEEE) in eight hexadecimal digits.
const checksumLen = 8

// recordOverhead is the approximate number of bytes that a "set" command takes in addition to its key and value.
const recordOverhead = 27

// Commands of the file format, which is the format of buntdb's own append-only files.
const (
	setCommand    = "set"
	deleteCommand = "del"
)

// addChecksum returns a value preceded by a checksum over its key and the value.
func addChecksum(key, value string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(key+"\n"+value))) + value
}

// verifyChecksum returns the value of a stored string without its checksum, and whether the checksum is correct.
func verifyChecksum(key, stored string) (value string, ok bool) {
	if len(stored) < checksumLen || addChecksum(key, stored[checksumLen:])[:checksumLen] != stored[:checksumLen] {
		return "", false
	}
	return stored[checksumLen:], true
}

// appendSetCommand appends the command that sets a key, with the value's checksum.
func appendSetCommand(dst []byte, key, value string) []byte {
	return appendCommand(dst, setCommand, key, addChecksum(key, value))
}

// appendDeleteCommand appends the command that deletes a key.
func appendDeleteCommand(dst []byte, key string) []byte {
	return appendCommand(dst, deleteCommand, key)
}

// appendCommand appends a command in the Redis serialization protocol (RESP): an array of bulk strings.
func appendCommand(dst []byte, parts ...string) []byte {
	dst = fmt.Appendf(dst, "*%d\r\n", len(parts))
	for _, part := range parts {
		dst = fmt.Appendf(dst, "$%d\r\n%s\r\n", len(part), part)
	}
	return dst
}

// estimatedRecordSize returns the approximate number of bytes that a key and its value with checksum take in a
// compacted file.
func estimatedRecordSize(key, stored string) int64 {
	return int64(len(key) + len(stored) + recordOverhead)
}
