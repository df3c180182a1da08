package main

import (
	"fmt"
	"os"
)

// cases holds the plays by name.
var cases = map[string]func(*lab){
	"deadly-refund":    deadlyRefund,
	"late-report":      lateReport,
	"false-promise":    falsePromise,
	"retained-headers": retainedHeaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	cases[os.Args[1]](newLab(os.Args[2]))
}
