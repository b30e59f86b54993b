// Command stand2 plays the cases of this review: it starts the system's own programs with the commands
// of the deploy file, and stands in for clients, servers and the operator.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// errCannotRun is returned by a case that could not be played.
var errCannotRun = errors.New("the case could not run")

var cases = map[string]func(c *play) (broken bool, err error){
	"evacuation": playEvacuation,
	"stranded":   playStranded,
	"cold":       playCold,
	"homes":      playHomes,
	"crossed":    playCrossed,
	"statuses":   playStatuses,
}

// play is what a case has to work with.
type play struct {
	rec     *record
	root    string
	dir     string
	trouble bool

	mu    sync.Mutex
	stops []func()
}

// onStop has f called if the play is ended from outside.
func (p *play) onStop(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = append(p.stops, f)
}

// limit is how long a case may take.
const limit = 115 * time.Second

// endIfStopped ends the processes of the play, and this one, at a signal or when it takes too long.
func (p *play) endIfStopped() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	p.rec.note("not played: ended from outside, or after %v", limit)
	p.mu.Lock()
	for _, f := range p.stops {
		f()
	}
	_ = os.RemoveAll(p.dir)
	os.Exit(exitNoRun)
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "where the record is written")
	keep := flag.Bool("keep", false, "keep the folder of the processes")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *keep))
}

func run(name, root, out string, keep bool) int {
	f := cases[name]
	root, err := filepath.Abs(root)
	if f == nil || err != nil {
		fmt.Println("no such case:", name, err)
		return exitNoRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		rec.note("%v", err)
		return exitNoRun
	}
	if keep {
		fmt.Println("folder:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	p := &play{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	go p.endIfStopped()
	rec.note("case %s, disruption %v", name, p.trouble)
	broken, err := f(p)
	switch {
	case err != nil:
		rec.note("not played: %v", err)
		return exitNoRun
	case broken:
		rec.note("the rule is broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
