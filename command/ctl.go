package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/settings"
)

type ctlArgs struct {
	Apply   *ctlApply  `arg:"subcommand:apply" help:"replace the configuration document with a file"`
	Get     *ctlGet    `arg:"subcommand:get" help:"print the configuration document"`
	Diff    *ctlDiff   `arg:"subcommand:diff" help:"compare a file with the configuration document"`
	Status  *ctlStatus `arg:"subcommand:status" help:"show the entries, the targets and the queue"`
	Drain   *ctlTarget `arg:"subcommand:drain" help:"stop giving new work to a target"`
	Undrain *ctlTarget `arg:"subcommand:undrain" help:"resume giving work to a target"`
	Label   *ctlLabel  `arg:"subcommand:label" help:"set or remove label overrides of a target"`

	Address           string `arg:"--address" placeholder:"IP:PORT" help:"operator address of an entry"`
	CA                string `arg:"--ca" placeholder:"FILE" help:"certificate authority"`
	Certificate       string `arg:"--cert" placeholder:"FILE" help:"certificate with the operator identity"`
	Key               string `arg:"--key" placeholder:"FILE" help:"key of the certificate"`
	DevelopmentSecret string `arg:"--development-secret" placeholder:"SECRET" help:"replaces the three files in development"`
	ChangeID          string `arg:"--change-id" placeholder:"ID" help:"id of the change; give the same id again to repeat a change whose outcome is unknown"`
	JSON              bool   `arg:"--json" help:"print JSON"`
}

type ctlApply struct {
	File     string  `arg:"positional,required" help:"JSON with comments"`
	Revision *uint64 `arg:"--revision" placeholder:"N" help:"revision that the file is based on; default: that of the latest change in the file, or 0"`
}

type ctlGet struct{}

type ctlDiff struct {
	File string `arg:"positional,required" help:"JSON with comments"`
}

type ctlStatus struct{}

type ctlTarget struct {
	Target string `arg:"positional,required" help:"name of the target"`
}

type ctlLabel struct {
	Target string   `arg:"positional,required" help:"name of the target"`
	Labels []string `arg:"positional,required" help:"KEY=VALUE sets an override, KEY- removes it"`
}

// Description implements arg.Described.
func (ctlArgs) Description() string {
	return "Shows and changes the configuration and state of a running system.\n" +
		"Exit status: 0 accepted, 1 refused (nothing was changed), 2 usage error, 3 unknown."
}

// Epilogue implements arg.Epilogued.
func (ctlArgs) Epilogue() string {
	return `Examples:
  catkinline ctl get --address 10.0.0.5:7400 --ca ca.pem --cert op.pem --key op.key >config.json
  catkinline ctl diff config.json --address 10.0.0.5:7400 --development-secret kite
  catkinline ctl apply config.json --address 10.0.0.5:7400 --development-secret kite
  catkinline ctl status --address 10.0.0.5:7400 --development-secret kite
  catkinline ctl drain runner-3 --address 10.0.0.5:7400 --development-secret kite
  catkinline ctl label runner-3 rack=r2 gpu- --address 10.0.0.5:7400 --development-secret kite`
}

// ctl is one invocation of "catkinline ctl".
type ctl struct {
	args   ctlArgs
	client *ctlClient
	out    io.Writer
	err    io.Writer
}

func runCtl(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := ctl{out: stdout, err: stderr}
	if exit, ok := parseArgs("ctl", &c.args, args, stdout, stderr); !ok {
		return exit
	}
	if err := c.args.check(); err != nil {
		return usageError(stderr, err)
	}
	client, err := newCtlClient(c.args)
	if err != nil {
		return c.failed(err)
	}
	c.client = client
	a := c.args
	switch {
	case a.Apply != nil:
		return c.apply(ctx)
	case a.Get != nil:
		return c.get(ctx)
	case a.Diff != nil:
		return c.diff(ctx)
	case a.Status != nil:
		return c.status(ctx)
	case a.Drain != nil:
		return c.change(ctx, http.MethodPost, targetPath(a.Drain.Target, "drain"), nil, nil)
	case a.Undrain != nil:
		return c.change(ctx, http.MethodPost, targetPath(a.Undrain.Target, "undrain"), nil, nil)
	case a.Label != nil:
		return c.label(ctx)
	}
	return usageError(stderr, errors.New("a subcommand is required: apply, get, diff, status, drain, undrain or label"))
}

// check validates what the argument parser cannot.
func (a ctlArgs) check() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("--address %q is not of the form ip:port", a.Address)
	}
	files := a.CA != "" && a.Certificate != "" && a.Key != ""
	if files == (a.DevelopmentSecret != "") {
		return errors.New("either --ca, --cert and --key or --development-secret is required")
	}
	names := settings.NewChecker(nil, nil)
	switch {
	case a.Drain != nil:
		names.Name("TARGET", a.Drain.Target)
	case a.Undrain != nil:
		names.Name("TARGET", a.Undrain.Target)
	case a.Label != nil:
		names.Name("TARGET", a.Label.Target)
		if _, err := a.Label.parse(); err != nil {
			return err
		}
	}
	return names.Errors().Err()
}

func targetPath(name, action string) string {
	return "/v1/targets/" + name + "/" + action
}

// failed reports an error of a command that has changed nothing.
func (c *ctl) failed(err error) int {
	fmt.Fprintf(c.err, "error: %v\n", err)
	return exitFailed
}

// change sends a change and reports its outcome.
func (c *ctl) change(ctx context.Context, method, path string, body []byte, header http.Header) int {
	id := c.args.ChangeID
	if id == "" {
		id = rand.Text()
	}
	response := c.client.change(ctx, method, path, body, header, id)
	if c.args.ChangeID != "" {
		response = afterEarlierAttempt(response)
	}
	return c.report(response)
}

func (c *ctl) apply(ctx context.Context) int {
	data, err := os.ReadFile(c.args.Apply.File)
	if err != nil {
		return c.failed(err)
	}
	revision := baseRevision(data)
	if c.args.Apply.Revision != nil {
		revision = *c.args.Apply.Revision
	}
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(revision, 10))}}
	return c.change(ctx, http.MethodPut, "/v1/config", data, header)
}

// baseRevision returns the revision that a file is based on, which is that of its
// latest change, or 0. It ignores errors in the file: the entry reports them, and it
// may run another release with other fields.
func baseRevision(data []byte) uint64 {
	d, _ := config.Parse(data)
	if len(d.Changes) == 0 {
		return 0
	}
	return d.Changes[len(d.Changes)-1].Revision
}

// parse returns the label changes that the arguments request.
func (l ctlLabel) parse() (operator.LabelsRequest, error) {
	out := operator.LabelsRequest{Set: label.Set{}}
	for _, text := range l.Labels {
		key, value, set := strings.Cut(text, "=")
		remove, isRemove := strings.CutSuffix(text, "-")
		switch {
		case set:
			out.Set[key] = value
		case isRemove:
			out.Remove = append(out.Remove, remove)
		default:
			return out, fmt.Errorf("label %q is neither KEY=VALUE nor KEY-", text)
		}
	}
	return out, nil
}

func (c *ctl) label(ctx context.Context) int {
	body, err := c.args.Label.parse()
	if err != nil {
		return usageError(c.err, err)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return c.failed(err)
	}
	return c.change(ctx, http.MethodPost, targetPath(c.args.Label.Target, "labels"), data, nil)
}

func (c *ctl) get(ctx context.Context) int {
	var response struct {
		Revision uint64                     `json:"revision"`
		Source   operator.Source            `json:"source"`
		Document map[string]json.RawMessage `json:"document"` // includes fields that this release does not know
	}
	raw, err := c.client.get(ctx, "/v1/config", &response)
	if err != nil {
		return c.failed(err)
	}
	if c.args.JSON {
		return c.writeRaw(raw)
	}
	if err := keepLatestChange(response.Document); err != nil {
		return c.failed(err)
	}
	fmt.Fprintf(c.err, "revision %d, from the %s\n", response.Revision, response.Source)
	return c.writeJSON(response.Document)
}

// keepLatestChange removes all changes but the latest, whose revision apply needs.
func keepLatestChange(document map[string]json.RawMessage) error {
	var changes []json.RawMessage
	if document["changes"] == nil {
		return nil
	}
	if err := json.Unmarshal(document["changes"], &changes); err != nil {
		return err
	}
	latest, err := json.Marshal(changes[max(len(changes)-1, 0):])
	document["changes"] = latest
	return err
}

func (c *ctl) diff(ctx context.Context) int {
	data, err := os.ReadFile(c.args.Diff.File)
	if err != nil {
		return c.failed(err)
	}
	file, errs := config.Parse(data)
	if len(errs) > 0 {
		writeErrors(c.err, c.args.Diff.File+":", errs)
		return exitFailed
	}
	var response operator.ConfigResponse
	if _, err := c.client.get(ctx, "/v1/config", &response); err != nil {
		return c.failed(err)
	}
	differences := config.Diff(file, response.Document)
	if c.args.JSON {
		return c.writeJSON(differences)
	}
	fmt.Fprintf(c.out, "%d differences from revision %d\n", len(differences), response.Revision)
	writeDifferences(c.out, "file", "system", differences)
	return exitOK
}

func (c *ctl) status(ctx context.Context) int {
	var s operator.Status
	raw, err := c.client.get(ctx, "/v1/status", &s)
	if err != nil {
		return c.failed(err)
	}
	if c.args.JSON {
		return c.writeRaw(raw)
	}
	writeStatus(c.out, s)
	return exitOK
}
