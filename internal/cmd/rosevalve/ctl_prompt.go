package rosevalve

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/workspace/operator"
)

const promptHelp = `Commands of the operators' language, and:
  history    the commands so far
  !!, !N     the last command again, or the one with the number N
  WORDS?     what may follow
  exit`

// runPrompt reads and runs commands at a terminal until the input ends or the operator
// exits. It prints the errors of commands and continues.
func (c *ctl) runPrompt() error {
	fmt.Fprintln(c.stdout, promptHelp)
	var history []string
	for {
		fmt.Fprint(c.stdout, "rosevalve> ")
		line, err := c.stdin.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read command: %w", err)
		}
		line, err = expandHistory(strings.TrimSpace(line), history)
		switch {
		case err != nil:
			fmt.Fprintln(c.stdout, err)
		case line == "":
		case line == "exit":
			return nil
		case line == "history":
			for i, command := range history {
				fmt.Fprintf(c.stdout, "%3d  %s\n", i+1, command)
			}
		case strings.HasSuffix(line, "?"):
			fmt.Fprintln(c.stdout, strings.Join(operator.Complete(strings.TrimSuffix(line, "?")), "\n"))
		default:
			history = append(history, line)
			if err := c.run(line); err != nil {
				fmt.Fprintln(c.stdout, err)
			}
		}
	}
}

// expandHistory returns the command of the history that !! or !N refers to, and any other
// line unchanged.
func expandHistory(line string, history []string) (string, error) {
	number, ok := strings.CutPrefix(line, "!")
	if !ok {
		return line, nil
	}
	n := len(history)
	if number != "!" {
		var err error
		if n, err = strconv.Atoi(number); err != nil {
			return "", fmt.Errorf("%q is not the number of a command", number)
		}
	}
	if n < 1 || n > len(history) {
		return "", fmt.Errorf("history has no command %d", n)
	}
	return history[n-1], nil
}
