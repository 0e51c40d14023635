package vault

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
)

const sealLen = 8

func seal(key, x string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(key+"\n"+x))) + x
}

func open(key, x string) (string, bool) {
	if len(x) < sealLen || seal(key, x[sealLen:])[:sealLen] != x[:sealLen] {
		return "", false
	}
	return x[sealLen:], true
}

// appendSet writes a command as buntdb's files have them: set, the key, the value with its seal.
func appendSet(to []byte, key, x string) []byte { return appendCommand(to, "set", key, seal(key, x)) }

func appendDel(to []byte, key string) []byte { return appendCommand(to, "del", key) }

func appendCommand(to []byte, parts ...string) []byte {
	to = fmt.Appendf(to, "*%d\r\n", len(parts))
	for _, p := range parts {
		to = fmt.Appendf(to, "$%d\r\n%s\r\n", len(p), p)
	}
	return to
}

// recordSize is what a value takes in a file that is written anew, within some bytes.
func recordSize(key, sealed string) int64 { return int64(len(key) + len(sealed) + 27) }

// readable is how many bytes from the start are whole commands with sound values. It is not sound where a mark behind them
// says that more had been synced: then what the file lacks may have been spoken of.
func readable(data []byte) (good int, sound bool) {
	good = commands(data, func(int) {})
	sound = true
	// Whatever sound commands stand behind a flaw may say that it lies where all was synced.
	for rest := data[good:]; len(rest) > 0; {
		at := bytes.Index(rest, []byte("*3\r\n$3\r\nset\r\n$6\r\n"+mark))
		if at < 0 {
			break
		}
		rest = rest[at:]
		read := commands(rest, func(synced int) { sound = sound && synced <= good })
		rest = rest[max(1, read):]
	}
	return good, sound
}

// commands reads whole commands with sound values from the start of data; it tells marks, and how many bytes it read.
func commands(data []byte, marked func(synced int)) (good int) {
	r := bufio.NewReader(bytes.NewReader(data))
	number := func(lead byte) (int, int, bool) {
		line, err := r.ReadString('\n')
		if err != nil || len(line) < 4 || line[0] != lead || line[len(line)-2] != '\r' {
			return 0, 0, false
		}
		n, err := strconv.Atoi(line[1 : len(line)-2])
		return n, len(line), err == nil && n >= 0 && n <= len(data)
	}
	for {
		n, size, ok := number('*')
		if !ok || n < 1 || n > 8 {
			return good
		}
		parts := make([]string, 0, n)
		for range n {
			l, head, ok := number('$')
			if !ok {
				return good
			}
			b := make([]byte, l+2)
			if _, err := io.ReadFull(r, b); err != nil || b[l] != '\r' || b[l+1] != '\n' {
				return good
			}
			parts = append(parts, string(b[:l]))
			size += head + l + 2
		}
		switch {
		case strings.EqualFold(parts[0], "set") && len(parts) == 3:
			x, ok := open(parts[1], parts[2])
			if !ok {
				return good
			}
			if parts[1] == mark {
				if at, err := strconv.Atoi(x); err == nil {
					marked(at)
				}
			}
		case strings.EqualFold(parts[0], "del") && len(parts) == 2:
		default:
			return good
		}
		good += size
	}
}
