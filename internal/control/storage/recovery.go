package storage

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// maxCommandParts is the maximum number of parts of a command. A command with more parts is treated as damaged.
const maxCommandParts = 8

// syncedRecordStart is the start of each record: the beginning of the command that sets syncedKey.
const syncedRecordStart = "*3\r\n$3\r\nset\r\n$6\r\n" + syncedKey

// validPrefix returns the length of the longest prefix of data that consists of complete commands with correct
// checksums.
//
// After a power failure, writes since the last sync may be missing or torn, so an invalid tail alone is not damage. The
// file is not intact if a valid record after the prefix states that bytes beyond the prefix had been synced, because
// then data is lost that may have been acknowledged.
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

// parseCommands parses valid commands from the start of data up to the first invalid command, and returns their total
// size in bytes. It calls onSyncedOffset with each value of syncedKey.
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

// command is a parsed command of the file.
type command struct {
	parts []string // name, key and, for "set", the value with its checksum
	size  int      // in the file, in bytes
}

func (c command) isSet() bool {
	return strings.EqualFold(c.parts[0], setCommand) && len(c.parts) == 3
}

func (c command) isDelete() bool {
	return strings.EqualFold(c.parts[0], deleteCommand) && len(c.parts) == 2
}

// valid reports whether the command is known and its checksum, if it has one, is correct.
func (c command) valid() bool {
	if !c.isSet() {
		return c.isDelete()
	}
	_, ok := verifyChecksum(c.parts[1], c.parts[2])
	return ok
}

// syncedOffset returns the synced size of the file if a valid command sets syncedKey.
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
	maxLen int // limit on lengths in the input, so that damage can't cause larger allocations
}

// next reads a command. It returns false at the end of the input or at a malformed command.
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

// readPart reads a bulk string. size includes the header and the line ends.
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

// readLength reads a header line, which consists of the prefix, a decimal number and a line end. size is the size of
// the line.
func (r *commandReader) readLength(prefix byte) (length, size int, ok bool) {
	line, err := r.input.ReadString('\n')
	if err != nil || len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
		return 0, 0, false
	}
	length, err = strconv.Atoi(line[1 : len(line)-2])
	return length, len(line), err == nil && length >= 0 && length <= r.maxLen
}
