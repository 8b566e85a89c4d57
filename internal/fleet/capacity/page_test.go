package capacity

import (
	"fmt"
	"go/constant"
	"go/token"
	"go/types"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	pageName  = "../../../docs/CAPACITY.md"
	tolerance = 0.02 // relative; the page shows rounded values
)

// page is the parsed content of docs/CAPACITY.md.
type page struct {
	constants *types.Package // the named values, as constants that formulas refer to
	sums      [][]string     // the table rows with name, formula, value and bound
	exceeding string         // the text of the section that lists the sums over their bound
}

// parsePage parses the tables of the sections "The target", "Slopes" and "Sums" and the text of
// the section "What does not fit yet".
func parsePage(text string) (*page, error) {
	p := &page{constants: types.NewPackage("capacity", "capacity")}
	section := ""
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = title
			continue
		}
		if section == "What does not fit yet" {
			p.exceeding += line + "\n"
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.Trim(cells[i], " `")
		}
		if len(cells) < 3 || cells[0] == "name" || strings.HasPrefix(cells[0], "---") {
			continue
		}
		switch section {
		case "The target", "Slopes":
			if err := p.define(cells[0], cells[1]); err != nil {
				return nil, err
			}
		case "Sums":
			p.sums = append(p.sums, cells)
		}
	}
	return p, nil
}

// define adds a named constant, unless the page marks its value as not measured yet.
func (p *page) define(name, text string) error {
	if text == "not measured yet" {
		return nil
	}
	v, err := parseNumber(text)
	if err != nil {
		return fmt.Errorf("value of %q: %w", name, err)
	}
	c := types.NewConst(token.NoPos, p.constants, name, types.Typ[types.UntypedFloat], constant.MakeFloat64(v))
	if previous := p.constants.Scope().Insert(c); previous != nil {
		return fmt.Errorf("name %q is defined twice", name)
	}
	return nil
}

// parseNumber parses a decimal number that may have commas between groups of digits.
func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
}

// checkSum recomputes one row of the table of sums, with the cells name, formula, value and bound.
// It returns an error if the value is wrong or exceeds the bound without being listed as such. A
// value that is not measured yet is accepted if the formula cannot be evaluated.
func (p *page) checkSum(cells []string) error {
	if len(cells) < 4 {
		return fmt.Errorf("sum %q has no bound; write \"none\" if it is unbounded", cells[0])
	}
	result, err := types.Eval(token.NewFileSet(), p.constants, token.NoPos, cells[1])
	if err != nil {
		if cells[2] == "not measured yet" {
			return nil
		}
		return fmt.Errorf("sum %q: %w", cells[0], err)
	}
	want, _ := constant.Float64Val(result.Value)
	got, err := parseNumber(cells[2])
	if err != nil {
		return fmt.Errorf("value of %q: %w", cells[0], err)
	}
	if math.Abs(got-want) > tolerance*math.Abs(want) {
		return fmt.Errorf("sum %q is %g, the page says %s", cells[0], want, cells[2])
	}
	if cells[3] == "none" {
		return nil
	}
	bound, err := parseNumber(cells[3])
	if err != nil {
		return fmt.Errorf("bound of %q: %w", cells[0], err)
	}
	if want > bound && !strings.Contains(p.exceeding, "`"+cells[0]+"`") {
		return fmt.Errorf("sum %q is %g, over its bound %g, and not listed in section \"What does not fit yet\"", cells[0], want, bound)
	}
	return nil
}

// checkPage returns the first error on the page.
func checkPage(text string) error {
	p, err := parsePage(text)
	if err != nil {
		return err
	}
	if len(p.sums) == 0 {
		return fmt.Errorf("page has no sums")
	}
	for _, cells := range p.sums {
		if err := p.checkSum(cells); err != nil {
			return err
		}
	}
	return nil
}

func TestPageIsWorkedOutFromItsSlopes(t *testing.T) {
	text, err := os.ReadFile(pageName)
	assert.NilError(t, err)
	assert.NilError(t, checkPage(string(text)))
}

func TestCheckFindsFaults(t *testing.T) {
	const slopes = "## Slopes\n| name | value | command |\n| `a` | 2 | x |\n| `b` | not measured yet | |\n## Sums\n"
	for name, test := range map[string]struct{ text, want string }{
		"wrong sum":     {slopes + "| `s` | a * 3 | 7 | none |", "the page says"},
		"over a bound":  {slopes + "| `s` | a * 3 | 6 | 5 |", "over its bound"},
		"unknown name":  {slopes + "| `s` | c * 3 | 6 | 5 |", "undefined"},
		"listed":        {slopes + "| `s` | a * 3 | 6 | 5 |\n## What does not fit yet\n`s`", ""},
		"not measured":  {slopes + "| `s` | b * 3 | not measured yet | 5 |", ""},
		"defined twice": {slopes + "## Slopes\n| a | 3 | x |", "is defined twice"},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkPage(test.text)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}
