package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

const (
	callTimeout        = 60 * time.Second
	statusPollInterval = 200 * time.Millisecond
)

// fileArguments lists the catalog files of a command. Together they form one set.
type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// parseFiles reads catalog files into one set. The locator maps each object to its file and line.
func parseFiles(files []string) (*catalog.Set, *catalog.Locator, document.Findings, error) {
	merged := &catalog.Set{}
	locator := catalog.NewLocator()
	var findings document.Findings
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, nil, errors.Wrap(err, "read catalog")
		}
		set, fileLocator, fileFindings := catalog.Parse(file, data)
		findings = append(findings, fileFindings...)
		merged.Append(set)
		locator.Merge(fileLocator)
	}
	return merged, locator, findings, nil
}

// reportFindings returns an error that lists the findings, one on each line, or nil when there are none. With JSON
// output it also prints them.
func (o *operatorOptions) reportFindings(findings document.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	if o.Output == "json" {
		_ = printJSON(o.out, findings)
	}
	return withExitCode(ExitFindings, errors.Errorf("%s\n%d findings", findings.Error(), len(findings)))
}

type checkCommand struct {
	*operatorOptions `no-flag:"true"`
	AgainstPublished bool          `long:"against-published" description:"Merge the file with the published catalog first"`
	Arguments        fileArguments `positional-args:"true" required:"true"`
}

// Execute validates the files as one catalog.
func (c *checkCommand) Execute([]string) error {
	set, locator, findings, err := parseFiles(c.Arguments.Files)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if len(findings) == 0 && c.AgainstPublished {
		set, err = c.mergePublished(set)
		if err != nil {
			return err
		}
	}
	findings = append(findings, catalog.Validate(set, locator)...)
	if err := c.reportFindings(findings); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, "no findings")
	return err
}

func (c *checkCommand) mergePublished(set *catalog.Set) (*catalog.Set, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return nil, unavailableError(err)
	}
	objects, err := set.Objects(0)
	if err != nil {
		return nil, err
	}
	request := publication.Request{Put: objects}
	merged := publication.Merge(published.Objects, request, published.Revision, published.Revision+1)
	return catalog.NewSet(merged.Objects)
}

type diffCommand struct {
	*operatorOptions `no-flag:"true"`
	Prune            bool          `long:"prune" description:"Treat published objects that are missing from the files as deleted"`
	Arguments        fileArguments `positional-args:"true" required:"true"`
}

// Execute shows the objects that applying the files would add, change or delete.
func (c *diffCommand) Execute([]string) error {
	request, published, _, err := c.buildRequest(c.Arguments.Files, nil, c.Prune)
	if err != nil {
		return err
	}
	merged := publication.Merge(published.Objects, request, published.Revision, published.Revision+1)
	return c.show(merged.Difference, func(t *table) { printDifference(t, merged.Difference) })
}

func printDifference(t *table, difference publication.Difference) {
	for _, key := range difference.Added {
		t.writeRow("+", key)
	}
	for _, key := range difference.Changed {
		t.writeRow("~", key)
	}
	for _, key := range difference.Deleted {
		t.writeRow("-", key)
	}
	t.writeLine(difference.String())
}

// buildRequest reads the files, checks their syntax and builds the request that publishes them.
func (o *operatorOptions) buildRequest(
	files, deletes []string,
	prune bool,
) (publication.Request, operator.Catalog, *operatorapi.Client, error) {
	request := publication.Request{ID: uuid.NewString(), Author: currentUserName()}
	set, _, findings, err := parseFiles(files)
	if err != nil {
		return request, operator.Catalog{}, nil, withExitCode(ExitUsage, err)
	}
	if err := o.reportFindings(findings); err != nil {
		return request, operator.Catalog{}, nil, err
	}
	client, err := o.client()
	if err != nil {
		return request, operator.Catalog{}, nil, err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return request, published, client, unavailableError(err)
	}
	request.Put, err = set.Objects(0)
	if err == nil {
		request.Delete, err = deletions(published.Objects, request.Put, deletes, prune)
	}
	return request, published, client, err
}

func deletions(published, put []catalog.Object, deletes []string, prune bool) ([]catalog.Key, error) {
	var keys []catalog.Key
	for _, text := range deletes {
		kind, name, ok := strings.Cut(text, "/")
		if !ok || !slices.Contains(catalog.Kinds(), catalog.Kind(kind)) {
			return nil, withExitCode(ExitUsage, errors.Errorf("--delete %s: expected KIND/NAME", text))
		}
		keys = append(keys, catalog.Key{Kind: catalog.Kind(kind), Name: name})
	}
	if !prune {
		return keys, nil
	}
	for _, object := range published {
		named := slices.ContainsFunc(put, func(o catalog.Object) bool { return o.Key == object.Key })
		if !named {
			keys = append(keys, object.Key)
		}
	}
	return keys, nil
}

func currentUserName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

type applyCommand struct {
	*operatorOptions `no-flag:"true"`
	Wait             time.Duration `long:"wait" optional:"true" optional-value:"30s" description:"Wait until the change is in force on every VM, by default for at most 30s"`
	DryRun           bool          `long:"dry-run" description:"Check the change against the published catalog without publishing it"`
	Prune            bool          `long:"prune" description:"Delete published objects that are missing from the files"`
	Delete           []string      `long:"delete" description:"Object to delete, as KIND/NAME; may be repeated"`
	Base             uint64        `long:"base" description:"Catalog revision that the change is based on; an object that has changed since then is a conflict"`
	Message          string        `long:"message" short:"m" description:"Summary of the change for the history"`
	ID               string        `long:"change-id" description:"ID of the change; reuse it to retry a change whose outcome is unknown"`
	Arguments        struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute publishes the files and deletions as one change.
func (c *applyCommand) Execute([]string) error {
	if len(c.Arguments.Files) == 0 && len(c.Delete) == 0 {
		return withExitCode(ExitUsage, errors.New("nothing to apply: name a file or --delete"))
	}
	request, _, client, err := c.buildRequest(c.Arguments.Files, c.Delete, c.Prune)
	if err != nil {
		return err
	}
	request.DryRun = c.DryRun
	request.Base = c.Base
	request.Summary = c.Message
	if c.ID != "" {
		request.ID = c.ID
	}
	ctx, cancel := operatorContext(callTimeout + c.Wait)
	defer cancel()
	result, err := client.Publish(ctx, request)
	if err != nil {
		return unavailableError(errors.Wrapf(err, "change %s", request.ID))
	}
	if err := c.showResult(request, result); err != nil {
		return err
	}
	if c.Wait == 0 || c.DryRun {
		return nil
	}
	return c.waitInForce(ctx, client, result.Revision)
}

func (c *applyCommand) showResult(request publication.Request, result publication.Result) error {
	switch result.Status {
	case publication.StatusInvalid:
		return withExitCode(ExitFindings, errors.Errorf("the change was not published:\n%s%s", result.Findings.Error(), result.Message))
	case publication.StatusConflict:
		return withExitCode(ExitConflict, errors.Errorf("the change was not published:\n%s", result.Findings.Error()))
	case publication.StatusUnavailable:
		return unavailableError(errors.Errorf("the change was not published: %s", result.Message))
	case publication.StatusUnknown:
		return unavailableError(errors.Errorf("the outcome of the change is unknown; retry with --change-id %s: %s", request.ID, result.Message))
	case publication.StatusPublished, publication.StatusUnchanged, publication.StatusChecked:
	}
	return c.show(result, func(t *table) {
		printDifference(t, result.Difference)
		t.writeLine(fmt.Sprintf("%s: revision %d", result.Status, result.Revision))
	})
}

// waitInForce waits until the revision is in force on every live VM and its entry, and prints which VMs are behind.
func (c *applyCommand) waitInForce(ctx context.Context, client *operatorapi.Client, revision uint64) error {
	startedAt := time.Now()
	pending := ""
	for time.Since(startedAt) < c.Wait {
		status, err := client.Status(ctx)
		if err == nil {
			behind := membersBehind(status, revision)
			if len(behind) == 0 {
				_, err := fmt.Fprintf(c.errOut, "in force on every VM after %s\n", time.Since(startedAt).Round(time.Millisecond))
				return err
			}
			if text := strings.Join(behind, ", "); text != pending {
				pending = text
				_, _ = fmt.Fprintf(c.errOut, "waiting for VMs: %s\n", text)
			}
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return withExitCode(ExitTimeout, ctx.Err())
		}
	}
	return withExitCode(ExitTimeout, errors.Errorf("revision %d is published but not yet in force on %s", revision, pending))
}

// membersBehind returns the names of the VMs that are not dead and on which an older revision is in force.
func membersBehind(status operator.Status, revision uint64) []string {
	var behind []string
	for _, member := range status.Members {
		if member.State == membership.Dead {
			continue
		}
		lacksEntry := member.EntryRevision != 0 && member.EntryRevision < revision
		if member.Revision < revision || lacksEntry {
			behind = append(behind, member.Name)
		}
	}
	return behind
}
