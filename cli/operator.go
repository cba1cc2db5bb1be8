package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

// controlsVariable names the environment variable that lists the controls' operations addresses.
const controlsVariable = "ZINNIA_CONTROLS"

// Operator runs the program zinniactl and returns its exit code.
func Operator(arguments []string, out, failures io.Writer) int {
	common := &operatorOptions{out: out, failures: failures}
	parser, err := newParser("zinniactl", operatorDescription, []command{
		{
			"check", "Check a catalog file as a whole",
			"Example: zinniactl check catalog.jsonc\nWith --against-published the file is merged with the published catalog first.",
			&checkCommand{operatorOptions: common},
		},
		{
			"diff", "Show what applying a catalog file would change",
			"Example: zinniactl diff catalog.jsonc", &diffCommand{operatorOptions: common},
		},
		{
			"apply", "Publish a catalog file",
			"Example: zinniactl apply --wait catalog.jsonc\n" +
				"Objects that the file does not name stay as they are, unless --prune or --delete names them.",
			&applyCommand{operatorOptions: common},
		},
		{
			"get", "Show published objects",
			"Example: zinniactl get model/crest-small\nWithout arguments all objects are listed.",
			&getCommand{operatorOptions: common},
		},
		{
			"status", "Show the revision in force, members, runners and models",
			"Example: zinniactl status", &statusCommand{operatorOptions: common},
		},
		{
			"explain", "Show why a name's requests go where they go",
			"Example: zinniactl explain crest-small", &explainCommand{operatorOptions: common},
		},
		{
			"history", "Show the latest changes of the catalog",
			"Example: zinniactl history", &historyCommand{operatorOptions: common},
		},
		{
			"dump", "Show the state of every duty of a process",
			"Example: zinniactl dump 127.0.0.1:7102", &dumpCommand{operatorOptions: common},
		},
		{
			"drain", "Stop a process as planned",
			"Example: zinniactl drain 127.0.0.1:7102", &drainCommand{operatorOptions: common},
		},
		{
			"trace", "Tell what became of a request and why, from the logs of many processes",
			"Example: zinniactl trace e400b193651d32cb *.log\nWithout files the logs are read from standard input.",
			&traceCommand{operatorOptions: common},
		},
		{
			"replay", "Decide on a request again with the dump of a gateway, and show what decides it",
			"Example: zinniactl dump 10.1.0.15:8788 > dump.json; zinniactl replay --service chat --unit crest --prompt-tokens 900 " +
				"dump.json", &replayCommand{operatorOptions: common},
		},
		{
			"load", "Send seeded load to entries and measure what callers see",
			"Example: zinniactl load --entry 127.0.0.1:21010 --model bench --rate 50 --duration 30s --plot load.svg",
			&loadCommand{operatorOptions: common},
		},
		{
			"overhead", "Measure what an entry adds to a direct call of an engine",
			"Example: see scripts/measure-overhead", &overheadCommand{operatorOptions: common},
		},
		{
			"completion", "Print the shell completion for bash",
			"Example: source <(zinniactl completion)", &completionCommand{operatorOptions: common},
		},
	})
	if err == nil {
		_, err = parser.AddGroup("Common options", "", common)
	}
	if err != nil {
		_, _ = fmt.Fprintln(failures, err)
		return ExitFailure
	}
	return run(parser, arguments, out, failures)
}

const operatorDescription = `The operators' client of zinniaroute.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings in the input, 4 conflict with another change,
5 no control or no key-value service answers, 6 the wait ended before the change was in force everywhere.`

// operatorOptions are the options of every subcommand.
type operatorOptions struct {
	Controls []string `long:"control" short:"c" description:"Operations address of a control; may be repeated. Default: $ZINNIA_CONTROLS, separated by commas"`
	Output   string   `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"Form of the output"`
	out      io.Writer
	failures io.Writer
}

// client returns the client of the named controls.
func (o *operatorOptions) client() (*operatorapi.Client, error) {
	names := o.Controls
	if len(names) == 0 && os.Getenv(controlsVariable) != "" {
		names = strings.Split(os.Getenv(controlsVariable), ",")
	}
	if len(names) == 0 {
		return nil, exitWith(ExitUsage, errors.New("no control is named: use --control or set "+controlsVariable))
	}
	addresses := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		address, err := netip.ParseAddrPort(strings.TrimSpace(name))
		if err != nil {
			return nil, exitWith(ExitUsage, errors.Wrapf(err, "control %q", name))
		}
		addresses = append(addresses, address)
	}
	return operatorapi.NewClient(addresses), nil
}

// show prints a value as JSON, or as a table by the given function.
func (o *operatorOptions) show(value any, table func(t *table)) error {
	if o.Output == "json" {
		return printJSON(o.out, value)
	}
	t := newTable(o.out)
	table(t)
	return t.flush()
}

func unavailable(err error) error { return exitWith(ExitUnavailable, err) }

// operatorContext ends after the limit or when the client is asked to stop.
func operatorContext(limit time.Duration) (context.Context, context.CancelFunc) {
	signals, stop := stopSignals()
	ctx, cancel := context.WithTimeout(signals, limit)
	return ctx, func() {
		cancel()
		stop()
	}
}

type completionCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute prints the completion.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.out, bashCompletion)
	return err
}

const bashCompletion = `_zinniactl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _zinniactl zinniactl
`

var _ flags.Commander = (*completionCommand)(nil)
