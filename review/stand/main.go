// Command stand runs one case of the review against the project's own programs. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held    = 0
	broken  = 1
	cantRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: REPO=... stand CASE-NAME RECORD-FILE")
		os.Exit(cantRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(cantRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*recorder, bool) int{"lost-leave": lostLeave, "first-start": firstStart}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(cantRun)
	}
	code := run(rec, trouble)
	rec.logf("exit %d", code)
	fmt.Println("exit", code)
	os.Exit(code)
}
