package cli

import (
	"bufio"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

type digestCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute prints the digest of the key on standard input. An argument would appear in the list of processes.
func (c *digestCommand) Execute([]string) error {
	line, err := bufio.NewReader(io.LimitReader(os.Stdin, workspaces.MaxKeyBytes+2)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read the key")
	}
	key, reason := workspaces.ParseBearer([]string{"Bearer " + strings.TrimRight(line, "\r\n")})
	if reason != "" {
		return withExitCode(ExitUsage, errors.Errorf("standard input holds %s", reason))
	}
	digest := catalog.KeyDigest(key)
	return c.show(map[string]string{"digest": digest}, func(t *table) { t.writeLine(digest) })
}
