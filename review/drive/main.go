//go:build review

// Command drive plays one case of the review. It starts gateways as processes of their own, with stand-ins of the store,
// the runners and the clients in its own process, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// cases maps the names of the cases to what they do. A case returns what breaks the rule, one line for each finding.
var cases = map[string]func(d *deployment, trouble bool) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) (code int) {
	d, err := newDeployment(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	defer func() {
		if cause := recover(); cause != nil {
			d.note("the case could not run: %v", cause)
			code = exitNotRun
		}
	}()
	time.AfterFunc(timeLimit, func() {
		d.note("the case took too long")
		d.stop()
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	d.note("case %s, trouble %t", name, trouble)
	broken := cases[name](d, trouble)
	for _, line := range broken {
		d.note("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	d.note("the rule held")
	return exitHeld
}
