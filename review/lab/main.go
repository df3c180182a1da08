// Command lab plays the scripted cases of the review. Each starts the project's own programs as
// processes between stand-ins of the platform's store, replicas and consumers.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	cases[os.Args[1]](w)
	w.fatal("the case has no verdict")
}
