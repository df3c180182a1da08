package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// maxRun bounds a case; the scripts may run for 120 seconds.
const maxRun = 115 * time.Second

// cases maps the folder of each case to its check.
var cases = map[string]func(l *lab) (broken bool){
	"11": absurdTokens,
	"12": manifestAfterRestore,
	"13": lookupAfterCrash,
	"14": evacuationAfterRestore,
	"15": coldAgain,
}

// main runs the case whose folder is the only argument. TROUBLE=0 leaves the disruption out.
func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "lab3: expected the folder of a case")
		os.Exit(exitUnknown)
	}
	os.Exit(play(os.Args[1]))
}

func play(folder string) (code int) {
	check := cases[filepath.Base(folder)]
	if check == nil {
		fmt.Fprintln(os.Stderr, "lab3: no such case:", folder)
		return exitUnknown
	}
	l, err := newLab(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab3:", err)
		return exitUnknown
	}
	defer l.close()
	giveUp := func(reason string) {
		l.note("%s", reason)
		l.close()
		os.Exit(exitUnknown)
	}
	time.AfterFunc(maxRun, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp("stopped by " + (<-signals).String()) }()
	defer func() {
		if reason := recover(); reason != nil {
			if _, ok := reason.(unable); !ok {
				l.note("%s", debug.Stack())
			}
			l.note("the case could not run: %v", reason)
			code = exitUnknown
		}
	}()
	if check(l) {
		l.note("RESULT: the rule was broken")
		return exitBroken
	}
	l.note("RESULT: the rule held")
	return exitHeld
}
