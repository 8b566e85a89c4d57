// Command review-2 plays the cases of the second review: review-2 CASE FOLDER. With TROUBLE=0 in
// its environment it leaves the disruption out. It ends with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 118 * time.Second

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"drill-after-restart": drillAfterRestart,
	"entry-of-another":    entryOfAnother,
	"route-added":         routeAdded,
	"many-parts":          promptsInManyParts,
	"final-fault":         finalFault,
	"loss-of-most":        lossOfMost,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	time.AfterFunc(maxTime, func() {
		rec.sayf("the case took too long")
		rec.close()
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.sayf("the case could not run: %v", err)
		return 2
	case broken:
		rec.sayf("the rule was broken")
		return 1
	default:
		rec.sayf("the rule held")
		return 0
	}
}
