//go:build review

// Command drive2 starts gateways with stand-ins of the platform and plays one case of the second review.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	minArgCount = 3
)

// play plays a case with or without its disruption. It returns what broke the rule, or an error if the case could not run.
type play func(d *deployment, trouble bool) (broken []string, err error)

var plays = map[string]play{"head": playHead, "files": playFiles, "release": playRelease, "memory": playMemory}

func main() {
	if len(os.Args) < minArgCount || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive2 CASE RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, path string, trouble bool) int {
	r := newRecord(path)
	r.line("begins, trouble: %v", trouble)
	d := newDeployment(r)
	defer d.stop()
	broken, err := p(d, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	case len(broken) > 0:
		for _, b := range broken {
			r.line("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	default:
		r.line("held")
		fmt.Println("held")
		return exitHeld
	}
}
