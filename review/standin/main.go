// Command standin starts the programs of sequoiaspread as processes on loopback addresses, with stand-ins for clients,
// runners, the operator and the platform, and plays one case of the review.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// play is what one case needs. Trouble is false in the run without the disruption.
type play struct {
	fleet   *fleet
	record  *recorder
	trouble bool
}

// cases holds for each name what prepares the case and returns its body.
var cases = map[string]func(program string, record *recorder, trouble bool) (*play, func(*play) error, error){}

func main() {
	os.Exit(runCase())
}

// runCase plays the case that the arguments name and returns its exit code.
func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	prepare, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	p, body, err := prepare("target/sequoiaspread", record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	done := make(chan error, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { done <- body(p) }()
	select {
	case <-interrupted:
		err = errors.New("interrupted")
	case err = <-done:
	}
	p.fleet.end()
	switch {
	case err == nil:
		record.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.note("result: %v", err)
		fmt.Println(err)
		return exitBroken
	}
	record.note("the case cannot run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
