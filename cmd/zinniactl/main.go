// Command zinniactl is the operators' client: it publishes catalogs and inspects, drains and measures processes.
package main

import (
	"os"

	"github.com/zinniaroute/zinniaroute/cli"
)

func main() { os.Exit(cli.Operator(os.Args[1:], os.Stdout, os.Stderr)) }
