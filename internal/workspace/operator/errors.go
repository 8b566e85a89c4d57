package operator

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// PositionError is an error at a position in the text of a command.
type PositionError struct {
	// Line is the line of the command that contains the error.
	Line string
	// Column is the position of the error in the line, in characters, starting at 1.
	Column int
	// Reason describes the error.
	Reason string
}

// Error returns the reason, the line and a caret below the position of the error.
func (e *PositionError) Error() string {
	return fmt.Sprintf("column %d: %s\n  %s\n  %s^", e.Column, e.Reason, e.Line, strings.Repeat(" ", e.Column-1))
}

// errorf returns an error at a position, which Execute converts to a *PositionError.
func errorf(pos lexer.Position, format string, args ...any) error {
	return &posError{pos: pos, reason: fmt.Sprintf(format, args...)}
}

// posError is an error at a position of a command whose text is not known where the
// error occurs. Execute, which has the text, converts it to a *PositionError.
type posError struct {
	pos    lexer.Position
	reason string
}

// Error returns the reason.
func (e *posError) Error() string { return e.reason }

// newPositionError returns the error at a position of text, with its column clamped to the line.
func newPositionError(text string, pos lexer.Position, reason string) *PositionError {
	lines := strings.Split(text, "\n")
	line := ""
	if pos.Line >= 1 && pos.Line <= len(lines) {
		line = lines[pos.Line-1]
	}
	column := min(max(pos.Column, 1), utf8.RuneCountInString(line)+1)
	return &PositionError{Line: strings.ReplaceAll(line, "\t", " "), Column: column, Reason: reason}
}
