package storage

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// maxCommandParts is how many parts a command of the file may have; one with more is taken for damage.
const maxCommandParts = 8

// syncedRecordStart is how each record begins: with the command that sets syncedKey.
const syncedRecordStart = "*3\r\n$3\r\nset\r\n$6\r\n" + syncedKey

// validPrefix returns the length of the longest prefix of data that consists of complete commands with right
// checksums.
//
// Writes after the last sync may be missing or torn after a power failure, so an invalid tail alone is no damage. The
// file is intact unless a valid record behind the prefix says that bytes beyond the prefix had been synced: then data
// is lost that may have been acknowledged.
func validPrefix(data []byte) (validLen int, intact bool) {
	validLen = parseCommands(data, func(int) {})
	intact = true
	rest := data[validLen:]
	for len(rest) > 0 {
		offset := bytes.Index(rest, []byte(syncedRecordStart))
		if offset < 0 {
			break
		}
		rest = rest[offset:]
		parsed := parseCommands(rest, func(synced int) { intact = intact && synced <= validLen })
		rest = rest[max(1, parsed):]
	}
	return validLen, intact
}

// parseCommands reads valid commands from the start of data up to the first invalid one, and returns how many bytes
// they take. It calls onSyncedOffset with each value of syncedKey.
func parseCommands(data []byte, onSyncedOffset func(synced int)) (validLen int) {
	reader := commandReader{input: bufio.NewReader(bytes.NewReader(data)), maxLen: len(data)}
	for {
		next, ok := reader.next()
		if !ok || !next.valid() {
			return validLen
		}
		if offset, ok := next.syncedOffset(); ok {
			onSyncedOffset(offset)
		}
		validLen += next.size
	}
}

// command is one parsed command of the file.
type command struct {
	parts []string // name, key and, for "set", the value with its checksum
	size  int      // in bytes of the file
}

func (c command) isSet() bool {
	return strings.EqualFold(c.parts[0], setCommand) && len(c.parts) == 3
}

func (c command) isDelete() bool {
	return strings.EqualFold(c.parts[0], deleteCommand) && len(c.parts) == 2
}

// valid reports whether the command is known and its checksum, if it has one, is right.
func (c command) valid() bool {
	if !c.isSet() {
		return c.isDelete()
	}
	_, ok := verifyChecksum(c.parts[1], c.parts[2])
	return ok
}

// syncedOffset returns the synced size of the file that a valid command states, if it states one.
func (c command) syncedOffset() (offset int, ok bool) {
	if !c.isSet() || c.parts[1] != syncedKey {
		return 0, false
	}
	offset, err := strconv.Atoi(c.parts[2][checksumLen:])
	return offset, err == nil
}

// commandReader reads commands one after another.
type commandReader struct {
	input  *bufio.Reader
	maxLen int // no length in the input may exceed it, so that damage never makes the reader allocate more
}

// next reads a command. It returns false at the end of the input and at a malformed command.
func (r *commandReader) next() (command, bool) {
	count, size, ok := r.readLength('*')
	if !ok || count < 1 || count > maxCommandParts {
		return command{}, false
	}
	next := command{parts: make([]string, 0, count), size: size}
	for range count {
		part, size, ok := r.readPart()
		if !ok {
			return command{}, false
		}
		next.parts = append(next.parts, part)
		next.size += size
	}
	return next, true
}

// readPart reads a bulk string. Its size includes the header and the line ends.
func (r *commandReader) readPart() (part string, size int, ok bool) {
	partLen, headerSize, ok := r.readLength('$')
	if !ok {
		return "", 0, false
	}
	payload := make([]byte, partLen+2)
	if _, err := io.ReadFull(r.input, payload); err != nil {
		return "", 0, false
	}
	if payload[partLen] != '\r' || payload[partLen+1] != '\n' {
		return "", 0, false
	}
	return string(payload[:partLen]), headerSize + partLen + 2, true
}

// readLength reads a header line: the prefix, a decimal number and a line end. Its size is that of the line.
func (r *commandReader) readLength(prefix byte) (length, size int, ok bool) {
	line, err := r.input.ReadString('\n')
	if err != nil || len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
		return 0, 0, false
	}
	length, err = strconv.Atoi(line[1 : len(line)-2])
	return length, len(line), err == nil && length >= 0 && length <= r.maxLen
}
