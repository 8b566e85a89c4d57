package rosevalve

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"rosevalve/internal/fleet/explain"
)

// explainBlocks is the argument of explain that stands for the blocked prompts in place of a request.
const explainBlocks = "blocks"

// explain prints the history of a request, or of the blocked prompts, as reconstructed from saved
// logs. The arguments are the request's id, or explainBlocks, and the log files; without files a log
// is read from standard input.
func (c *ctl) explain(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: explain needs the id of a request, or %q", errUsage, explainBlocks)
	}
	logs, closeAll, err := c.openLogs(args[1:])
	if err != nil {
		return err
	}
	defer closeAll()
	if args[0] == explainBlocks {
		return c.explainBlocks(logs)
	}
	found, err := explain.FindRequest(args[0], logs)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	_, err = found.WriteTo(c.stdout)
	return err
}

// explainBlocks prints which prompts are kept from the engines, and why.
func (c *ctl) explainBlocks(logs []explain.Log) error {
	blocks, err := explain.ReadBlocks(logs)
	if err != nil {
		return fmt.Errorf("explain blocks: %w", err)
	}
	_, err = blocks.WriteTo(c.stdout)
	return err
}

// account prints what each router process did with the tokens of a workspace, according
// to saved logs. The arguments are its name and the log files, as for explain.
func (c *ctl) account(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: account needs the name of a workspace", errUsage)
	}
	logs, closeAll, err := c.openLogs(args[1:])
	if err != nil {
		return err
	}
	defer closeAll()
	a, err := explain.ReadAccount(args[0], logs)
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	_, err = a.WriteTo(c.stdout)
	return err
}

// openLogs opens the log files, or returns standard input if there are no names. The
// caller must call closeAll if err is nil.
func (c *ctl) openLogs(names []string) (logs []explain.Log, closeAll func(), err error) {
	var files []io.Closer
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	if len(names) == 0 {
		return []explain.Log{{Name: "-", Lines: c.stdin}}, closeAll, nil
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, fmt.Errorf("open log: %w", err)
		}
		files = append(files, f)
		logs = append(logs, explain.Log{Name: filepath.Base(name), Lines: f})
	}
	return logs, closeAll, nil
}
