package operator

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// PlaceError reports what is wrong at a place of a command.
type PlaceError struct {
	// Line is the line of the command with the place.
	Line string
	// Column is the place in the line, counted in characters from 1.
	Column int
	// Reason tells what is wrong.
	Reason string
}

// Error shows the reason, the line and a caret under the place.
func (e *PlaceError) Error() string {
	return fmt.Sprintf("column %d: %s\n  %s\n  %s^", e.Column, e.Reason, e.Line, strings.Repeat(" ", e.Column-1))
}

// errorf reports what is wrong at a place, whose line Execute fills in.
func errorf(pos lexer.Position, format string, args ...any) error {
	return &unplacedError{pos: pos, reason: fmt.Sprintf(format, args...)}
}

// unplacedError is a PlaceError whose command is not known yet.
type unplacedError struct {
	pos    lexer.Position
	reason string
}

// Error tells the reason.
func (e *unplacedError) Error() string { return e.reason }

func placeError(text string, pos lexer.Position, reason string) *PlaceError {
	lines := strings.Split(text, "\n")
	line := ""
	if pos.Line >= 1 && pos.Line <= len(lines) {
		line = lines[pos.Line-1]
	}
	column := min(max(pos.Column, 1), utf8.RuneCountInString(line)+1)
	return &PlaceError{Line: strings.ReplaceAll(line, "\t", " "), Column: column, Reason: reason}
}
