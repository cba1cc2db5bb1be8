// Command zinniaroute is the daemon: it runs an entry, a control or a gateway, and also the demo and the stand-ins.
package main

import (
	"os"

	"github.com/zinniaroute/zinniaroute/cli"
)

func main() { os.Exit(cli.Daemon(os.Args[1:], os.Stdout, os.Stderr)) }
