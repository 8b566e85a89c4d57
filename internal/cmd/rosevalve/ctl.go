package rosevalve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/workspace/operator"
)

const ctlHelp = `Sends commands of the operators' language to a router. Without arguments the
commands are read from standard input, one a line; at a terminal there is a prompt.
A command that gets no answer is repeated, with the same command id, at the next
router. Commands that destroy something ask for confirmation, or need --yes.

The command explain asks no router: it reads the saved logs of edge processes and
tells what became of a request, what was believed then, and the cause; explain blocks
tells which prompts are kept from the engines, and why. The command
account tells from the same logs where a workspace's tokens went, life by life.

EXAMPLES
  rosevalve ctl --router 10.0.0.1:7001,10.0.0.2:7001 'show budgets'
  rosevalve ctl 'top up budget "flitch-2026" workspace "gorenjska" by 200000'
  rosevalve ctl --file commands.txt
  rosevalve ctl --output json 'show bills where tokens > 1000'
  rosevalve ctl explain 2c1954a9aaceaa1a edge-1.log edge-2.log
  rosevalve ctl explain blocks edge-1.log edge-2.log
  rosevalve ctl account gorenjska edge-1.log edge-2.log
  rosevalve ctl help`

// ctl holds the flags and the state of the subcommand ctl.
type ctl struct {
	client      ctlClient
	routers     string // addresses separated by commas
	file        string // commands to run; empty for the arguments or standard input
	output      string // one of the output formats
	assumeYes   bool   // skips the confirmation of destructive commands
	stdin       *bufio.Reader
	stdout      io.Writer
	interactive bool // whether commands and confirmations are typed at a terminal
}

// ctlCommand returns the subcommand that sends operators' commands to a router.
func ctlCommand(stdin io.Reader, stdout io.Writer) subcommand {
	c := &ctl{stdin: bufio.NewReader(stdin), stdout: stdout, interactive: isTerminal(stdin)}
	set := ff.NewFlagSet("ctl")
	set.StringVar(&c.routers, 0, "router", "127.0.0.1:7001", "addresses of routers, separated by commas")
	set.StringVar(&c.client.key, 0, "key", "", "operator key")
	set.StringVar(&c.client.commandID, 0, "command-id", "", "id of a command that is repeated after an unknown outcome")
	set.StringVar(&c.file, 0, "file", "", "file with commands, one a line")
	set.StringVar(&c.output, 0, "output", formatTable, "table, plain (numbers as they are) or json")
	set.BoolVar(&c.assumeYes, 0, "yes", "do not ask before what destroys something")
	command := &ff.Command{
		Name:      "ctl",
		Usage:     "rosevalve ctl [FLAGS] [COMMAND]",
		ShortHelp: "send an operators' command",
		LongHelp:  ctlHelp,
		Flags:     set,
		Exec:      func(_ context.Context, args []string) error { return c.exec(args) },
	}
	return subcommand{command: command, options: []ff.Option{ff.WithEnvVarPrefix("ROSEVALVE_CTL")}}
}

// isTerminal reports whether r is a character device, such as a terminal.
func isTerminal(r io.Reader) bool {
	f, ok := r.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// exec runs the command in the arguments or, without arguments, the commands of the file
// or of standard input.
func (c *ctl) exec(args []string) error {
	if len(args) > 0 && args[0] == "explain" {
		return c.explain(args[1:])
	}
	if len(args) > 0 && args[0] == "account" {
		return c.account(args[1:])
	}
	for addr := range strings.SplitSeq(c.routers, ",") {
		c.client.addrs = append(c.client.addrs, strings.TrimSpace(addr))
	}
	if !slices.Contains([]string{formatTable, formatPlain, formatJSON}, c.output) {
		return fmt.Errorf("%w: output %q does not exist; allowed: table, plain, json", errUsage, c.output)
	}
	switch {
	case len(args) > 0:
		return c.run(strings.Join(args, " "))
	case c.file != "":
		return c.runFile()
	case c.interactive:
		return c.runPrompt()
	default:
		return c.runLines(c.stdin)
	}
}

// runFile runs the commands of the file. It does not ask for confirmation, so that
// destructive commands need --yes.
func (c *ctl) runFile() error {
	f, err := os.Open(c.file)
	if err != nil {
		return fmt.Errorf("open commands: %w", err)
	}
	defer func() { _ = f.Close() }()
	c.interactive = false
	return c.runLines(f)
}

// runLines runs each line that is neither empty nor a comment and stops at the first error.
func (c *ctl) runLines(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.run(line); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read commands: %w", err)
	}
	return nil
}

// run sends one command and prints its result.
func (c *ctl) run(command string) error {
	if err := c.confirm(command); err != nil {
		return err
	}
	body, err := c.client.send(command)
	if err != nil {
		return err
	}
	return printResult(c.stdout, c.output, body)
}

// confirm asks the operator to confirm a destructive command. It returns an error if the
// operator does not, or can not be asked.
func (c *ctl) confirm(command string) error {
	if c.assumeYes || !operator.IsDestructive(command) {
		return nil
	}
	if !c.interactive {
		return fmt.Errorf("command %q destroys something; confirm it with --yes", command)
	}
	fmt.Fprintf(c.stdout, "%s\nThis can not be undone. Type yes to go on: ", command)
	answer, err := c.stdin.ReadString('\n')
	if err != nil {
		return fmt.Errorf("read confirmation: %w", err)
	}
	if strings.TrimSpace(answer) != "yes" {
		return fmt.Errorf("command %q was not confirmed", command)
	}
	return nil
}
