// Command fleet2 plays the scripts of the second review: the project's program as separate processes,
// between stand-ins of the platform's store, of servers and of clients.
//
// # Usage
//
//	fleet2 -case dropped-service -record review/4/record.txt -trouble=1
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case: the exit code.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// play plays a case in a temporary folder.
type play func(folder string, log *record, hasTrouble bool) verdict

// plays has the cases by name. The file of each registers it.
var plays = make(map[string]play)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

func main() {
	os.Exit(int(runCase()))
}

func runCase() verdict {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where to write what happened")
	hasTrouble := flag.Bool("trouble", true, "whether to play the disruption")
	flag.Parse()
	played, known := plays[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return notRun
	}
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.close()
	folder, err := os.MkdirTemp("", "fleet2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	// The processes end with this one.
	watchdog := time.AfterFunc(maxTime, func() {
		log.printf("not over after %s", maxTime)
		os.Exit(int(notRun))
	})
	defer watchdog.Stop()
	began := time.Now()
	result := played(folder, log, *hasTrouble)
	log.printf("verdict %d after %d s", result, int(time.Since(began).Seconds()))
	fmt.Printf("%s: verdict %d (0 held, 1 broken, 2 not run)\n", *name, result)
	return result
}
