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
	tolerance = 0.02 // of the value, for the page's rounding
)

// page is docs/CAPACITY.md: names with values, sums made of them, and what exceeds a bound.
type page struct {
	values *types.Package
	sums   [][]string
	unfit  string
}

// readPage reads the tables below the headings "The target", "Slopes" and "Sums".
func readPage(text string) (*page, error) {
	p := &page{values: types.NewPackage("capacity", "capacity")}
	section := ""
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = title
			continue
		}
		if section == "What does not fit yet" {
			p.unfit += line + "\n"
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

// define adds a name, unless its value is not measured yet.
func (p *page) define(name, text string) error {
	if text == "not measured yet" {
		return nil
	}
	v, err := number(text)
	if err != nil {
		return fmt.Errorf("value of %q: %w", name, err)
	}
	c := types.NewConst(token.NoPos, p.values, name, types.Typ[types.UntypedFloat], constant.MakeFloat64(v))
	if old := p.values.Scope().Insert(c); old != nil {
		return fmt.Errorf("name %q stands twice", name)
	}
	return nil
}

func number(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
}

// check recomputes one sum: name, formula, value, bound.
func (p *page) check(cells []string) error {
	if len(cells) < 4 {
		return fmt.Errorf("sum %q has no bound; write none", cells[0])
	}
	result, err := types.Eval(token.NewFileSet(), p.values, token.NoPos, cells[1])
	if err != nil {
		if cells[2] == "not measured yet" {
			return nil
		}
		return fmt.Errorf("sum %q: %w", cells[0], err)
	}
	want, _ := constant.Float64Val(result.Value)
	got, err := number(cells[2])
	if err != nil {
		return fmt.Errorf("value of %q: %w", cells[0], err)
	}
	if math.Abs(got-want) > tolerance*math.Abs(want) {
		return fmt.Errorf("sum %q is %g, the page says %s", cells[0], want, cells[2])
	}
	if cells[3] == "none" {
		return nil
	}
	bound, err := number(cells[3])
	if err != nil {
		return fmt.Errorf("bound of %q: %w", cells[0], err)
	}
	if want > bound && !strings.Contains(p.unfit, "`"+cells[0]+"`") {
		return fmt.Errorf("sum %q is %g, over its bound %g, and not listed under what does not fit", cells[0], want, bound)
	}
	return nil
}

func checkText(text string) error {
	p, err := readPage(text)
	if err != nil {
		return err
	}
	if len(p.sums) == 0 {
		return fmt.Errorf("page has no sums")
	}
	for _, cells := range p.sums {
		if err := p.check(cells); err != nil {
			return err
		}
	}
	return nil
}

func TestPageIsWorkedOutFromItsSlopes(t *testing.T) {
	text, err := os.ReadFile(pageName)
	assert.NilError(t, err)
	assert.NilError(t, checkText(string(text)))
}

func TestCheckFindsFaults(t *testing.T) {
	const slopes = "## Slopes\n| name | value | command |\n| `a` | 2 | x |\n| `b` | not measured yet | |\n## Sums\n"
	for name, test := range map[string]struct{ text, want string }{
		"wrong sum":     {slopes + "| `s` | a * 3 | 7 | none |", "the page says"},
		"over a bound":  {slopes + "| `s` | a * 3 | 6 | 5 |", "over its bound"},
		"unknown name":  {slopes + "| `s` | c * 3 | 6 | 5 |", "undefined"},
		"listed":        {slopes + "| `s` | a * 3 | 6 | 5 |\n## What does not fit yet\n`s`", ""},
		"not measured":  {slopes + "| `s` | b * 3 | not measured yet | 5 |", ""},
		"defined twice": {slopes + "## Slopes\n| a | 3 | x |", "stands twice"},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkText(test.text)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}
