package storage

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
)

const checksumLen = 8

func addChecksum(key, value string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(key+"\n"+value))) + value
}

func verifyChecksum(key, sealed string) (string, bool) {
	if len(sealed) < checksumLen || addChecksum(key, sealed[checksumLen:])[:checksumLen] != sealed[:checksumLen] {
		return "", false
	}
	return sealed[checksumLen:], true
}

// appendSetCommand writes a command as buntdb's files have them: set, the key, the value with its seal.
func appendSetCommand(dst []byte, key, value string) []byte {
	return appendCommand(dst, "set", key, addChecksum(key, value))
}

func appendDeleteCommand(dst []byte, key string) []byte { return appendCommand(dst, "del", key) }

func appendCommand(dst []byte, parts ...string) []byte {
	dst = fmt.Appendf(dst, "*%d\r\n", len(parts))
	for _, part := range parts {
		dst = fmt.Appendf(dst, "$%d\r\n%s\r\n", len(part), part)
	}
	return dst
}

// estimatedRecordSize is what a value takes in a file that is written anew, within some bytes.
func estimatedRecordSize(key, sealed string) int64 { return int64(len(key) + len(sealed) + 27) }

// validPrefix is how many bytes from the start are whole commands with sound values. It is not sound where a mark behind them
// says that more had been synced: then what the file lacks may have been spoken of.
func validPrefix(data []byte) (validLen int, intact bool) {
	validLen = parseCommands(data, func(int) {})
	intact = true
	// Whatever sound commands stand behind a flaw may say that it lies where all was synced.
	for rest := data[validLen:]; len(rest) > 0; {
		offset := bytes.Index(rest, []byte("*3\r\n$3\r\nset\r\n$6\r\n"+syncedKey))
		if offset < 0 {
			break
		}
		rest = rest[offset:]
		parsed := parseCommands(rest, func(synced int) { intact = intact && synced <= validLen })
		rest = rest[max(1, parsed):]
	}
	return validLen, intact
}

// parseCommands reads whole commands with sound values from the start of data; it tells marks, and how many bytes it read.
func parseCommands(data []byte, onSyncedOffset func(synced int)) (validLen int) {
	reader := bufio.NewReader(bytes.NewReader(data))
	readLength := func(prefix byte) (int, int, bool) {
		line, err := reader.ReadString('\n')
		if err != nil || len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
			return 0, 0, false
		}
		n, err := strconv.Atoi(line[1 : len(line)-2])
		return n, len(line), err == nil && n >= 0 && n <= len(data)
	}
	for {
		n, commandLen, ok := readLength('*')
		if !ok || n < 1 || n > 8 {
			return validLen
		}
		parts := make([]string, 0, n)
		for range n {
			partLen, headerLen, ok := readLength('$')
			if !ok {
				return validLen
			}
			payload := make([]byte, partLen+2)
			if _, err := io.ReadFull(reader, payload); err != nil || payload[partLen] != '\r' || payload[partLen+1] != '\n' {
				return validLen
			}
			parts = append(parts, string(payload[:partLen]))
			commandLen += headerLen + partLen + 2
		}
		switch {
		case strings.EqualFold(parts[0], "set") && len(parts) == 3:
			value, ok := verifyChecksum(parts[1], parts[2])
			if !ok {
				return validLen
			}
			if parts[1] == syncedKey {
				if syncedOffset, err := strconv.Atoi(value); err == nil {
					onSyncedOffset(syncedOffset)
				}
			}
		case strings.EqualFold(parts[0], "del") && len(parts) == 2:
		default:
			return validLen
		}
		validLen += commandLen
	}
}
