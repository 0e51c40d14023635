package operatorfile

import (
	"fmt"
	"strings"
)

// ParseError is an error at a position in the file.
type ParseError struct {
	File    string
	Line    int // from 1
	Column  int // from 1, in bytes
	Message string
	Source  string // the complete line; empty if the file has no such line
}

// Error implements error. It uses the format of compilers: file:line:column: message.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Caret returns the line and, on a second line, a caret below the column. It returns "" if the line is unknown.
func (e *ParseError) Caret() string {
	if e.Source == "" {
		return ""
	}
	before := e.Source[:min(e.Column-1, len(e.Source))]
	padding := strings.Map(func(r rune) rune {
		if r == '\t' {
			return r // aligns the caret regardless of the width of a tab
		}
		return ' '
	}, before)
	return e.Source + "\n" + padding + "^"
}
