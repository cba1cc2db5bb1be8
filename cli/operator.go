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

// controlsVariable is the environment variable with the operations addresses of controls, separated by commas.
const controlsVariable = "ZINNIA_CONTROLS"

// Operator runs the program zinniactl and returns its exit code.
func Operator(arguments []string, out, errOut io.Writer) int {
	common := &operatorOptions{out: out, errOut: errOut}
	parser, err := newParser("zinniactl", operatorDescription, []command{
		{
			"check", "Validate a catalog file",
			"Example: zinniactl check catalog.jsonc\nWith --against-published, the file is first merged with the published catalog.",
			&checkCommand{operatorOptions: common},
		},
		{
			"diff", "Show the changes that applying a catalog file would make",
			"Example: zinniactl diff catalog.jsonc", &diffCommand{operatorOptions: common},
		},
		{
			"apply", "Publish a catalog file",
			"Example: zinniactl apply --wait catalog.jsonc\n" +
				"Published objects that are missing from the file stay, unless --prune or --delete removes them.",
			&applyCommand{operatorOptions: common},
		},
		{
			"get", "Show published objects",
			"Example: zinniactl get model/crest-small\nWithout arguments, all objects are listed.",
			&getCommand{operatorOptions: common},
		},
		{
			"status", "Show the catalog revision in force, the VMs, runners and models",
			"Example: zinniactl status", &statusCommand{operatorOptions: common},
		},
		{
			"explain", "Show where the requests for a name go, and why",
			"Example: zinniactl explain crest-small", &explainCommand{operatorOptions: common},
		},
		{
			"history", "Show the latest changes of the catalog",
			"Example: zinniactl history", &historyCommand{operatorOptions: common},
		},
		{
			"dump", "Show the internal state of a process as JSON",
			"Example: zinniactl dump 127.0.0.1:7102", &dumpCommand{operatorOptions: common},
		},
		{
			"digest", "Print the digest of a key on standard input, as the catalog's workspaces list it",
			"Example: zinniactl digest < key.txt", &digestCommand{operatorOptions: common},
		},
		{
			"drain", "Stop a process gracefully",
			"Example: zinniactl drain 127.0.0.1:7102", &drainCommand{operatorOptions: common},
		},
		{
			"trace", "Show what happened to a request and why, from the logs of several processes",
			"Example: zinniactl trace e400b193651d32cb *.log\nWithout files, the logs are read from standard input.",
			&traceCommand{operatorOptions: common},
		},
		{
			"speeds", "Show the learned speeds and limits of a gateway's endpoints, as times relative to their peers",
			"Example: zinniactl speeds 10.1.0.15:8788", &speedsCommand{operatorOptions: common},
		},
		{
			"where", "Show where a gateway would send a request now, and why, without sending it",
			"Example: zinniactl where --host shop.example --path /models/chat --model crest --prompt 2f:900 --prompt 31:40 " +
				"--workspace bench 10.1.0.15:8788\nThe options of the request may also be in a JSON file: --file request.json", &whereCommand{operatorOptions: common},
		},
		{
			"replay", "Repeat the scheduling decision for a request on the dump of a gateway, and explain it",
			"Example: zinniactl dump 10.1.0.15:8788 > dump.json; zinniactl replay --service chat --unit crest --prompt-tokens 900 " +
				"dump.json", &replayCommand{operatorOptions: common},
		},
		{
			"load", "Send reproducible load to entries and measure what callers observe",
			"Example: zinniactl load --entry 127.0.0.1:21010 --model bench --rate 50 --duration 30s --plot load.svg",
			&loadCommand{operatorOptions: common},
		},
		{
			"overhead", "Measure the latency that an entry adds to a direct call of an engine",
			"For an example, see scripts/measure-overhead.", &overheadCommand{operatorOptions: common},
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
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	return run(parser, arguments, out, errOut)
}

const operatorDescription = `The command line client of zinniaroute for operators.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings in the input, 4 conflict with another change,
5 no control or no key-value service answers, 6 the change was not in force on every VM within the wait time.`

// operatorOptions holds the options that all subcommands share.
type operatorOptions struct {
	Controls []string `long:"control" short:"c" description:"Operations address of a control; may be repeated. Default: $ZINNIA_CONTROLS, separated by commas"`
	Output   string   `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"Output format"`
	out      io.Writer
	errOut   io.Writer
}

// client returns a client for the controls that the options or the environment name.
func (o *operatorOptions) client() (*operatorapi.Client, error) {
	names := o.Controls
	if len(names) == 0 && os.Getenv(controlsVariable) != "" {
		names = strings.Split(os.Getenv(controlsVariable), ",")
	}
	if len(names) == 0 {
		return nil, withExitCode(ExitUsage, errors.New("no control address: use --control or set "+controlsVariable))
	}
	addresses := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		address, err := netip.ParseAddrPort(strings.TrimSpace(name))
		if err != nil {
			return nil, withExitCode(ExitUsage, errors.Wrapf(err, "control %q", name))
		}
		addresses = append(addresses, address)
	}
	return operatorapi.NewClient(addresses), nil
}

// show prints the value as JSON, or calls the function to print it as a table, depending on the output option.
func (o *operatorOptions) show(value any, table func(t *table)) error {
	if o.Output == "json" {
		return printJSON(o.out, value)
	}
	t := newTable(o.out)
	table(t)
	return t.flush()
}

// unavailableError gives an error without an exit code that of a process that does not answer.
func unavailableError(err error) error {
	var exit *exitError
	if errors.As(err, &exit) {
		return err
	}
	return withExitCode(ExitUnavailable, err)
}

// operatorContext returns a context that ends after the limit or on a stop signal.
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

// Execute prints the completion script.
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
