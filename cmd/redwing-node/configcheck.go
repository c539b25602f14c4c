package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configcheck"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/platform"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/vmsettings"
)

// configCheckCommand is the subcommand that checks a configuration.
const configCheckCommand = "config-check"

// Exit codes of config-check.
const (
	exitFine = iota
	exitWarnings
	exitErrors
	exitUnreadable
)

const (
	// defaultCallerWait is the time for which callers of the platform wait for a response.
	defaultCallerWait = 3 * time.Second
	// defaultStoreTimeout bounds all reads of the store together. storeRetryInterval is the pause after a failed read.
	defaultStoreTimeout = 10 * time.Second
	storeRetryInterval  = 200 * time.Millisecond
)

// Forms of a configuration.
const (
	formAuto     = "auto"
	formPlatform = "platform"
	formProduct  = "product"
)

const configCheckUsage = `usage: redwing-node config-check [flags] PATH...

Checks a configuration before it is sent. PATH is a directory with the records of the configuration, or their files; or one
file of the product's own interface (TOML, or JSON with -form product). docs/config-check.md describes the findings.
Exit codes: 0 no errors, 1 warnings with -strict, 2 errors, 3 something could not be read.

`

// configCheck is one invocation of the subcommand.
type configCheck struct {
	stdout, stderr io.Writer
	// openStore returns a client of the store at an address.
	openStore func(address string) store.Log

	paths               []string
	form                string
	inForce, workers    string
	samples, settings   string
	useStore            bool
	strict, asJSON      bool
	callerWait, timeout time.Duration
}

// runConfigCheck runs the subcommand with its arguments and returns the exit code.
func runConfigCheck(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := configCheck{stdout: os.Stdout, stderr: os.Stderr, openStore: func(address string) store.Log { return platform.NewStore(address) }}
	return c.run(ctx, args)
}

// run parses the arguments, checks and writes the report.
func (c *configCheck) run(ctx context.Context, args []string) int {
	if err := c.parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitFine
		}
		c.writeError(errkind.As(err))
		return exitUnreadable
	}
	report, err := c.check(ctx)
	if err == nil {
		write := report.WriteText
		if c.asJSON {
			write = report.WriteJSON
		}
		err = write(c.stdout)
	}
	switch {
	case err != nil:
		c.writeError(errkind.As(err))
		return exitUnreadable
	case report.Count(configcheck.Error) > 0:
		return exitErrors
	case c.strict && report.Count(configcheck.Warning) > 0:
		return exitWarnings
	}
	return exitFine
}

// writeError writes an error with its innermost cause, such as that of the operating system.
func (c *configCheck) writeError(err *errkind.Error) {
	out := *err
	var cause error = err
	for next := errors.Unwrap(cause); next != nil; next = errors.Unwrap(next) {
		cause = next
	}
	if cause != error(err) && !strings.Contains(out.Message, cause.Error()) {
		out.Message += ": " + cause.Error()
	}
	if c.asJSON {
		_ = json.NewEncoder(c.stderr).Encode(&out)
		return
	}
	fmt.Fprintf(c.stderr, "%s; %s\n", out.Message, out.Remedy)
}

// usageError returns the error about a command line that cannot be used.
func usageError(format string, args ...any) error {
	return errkind.New(errkind.BadInput, "redwing-node config-check -h lists the flags", format, args...)
}

func (c *configCheck) parse(args []string) error {
	flags := flag.NewFlagSet(configCheckCommand, flag.ContinueOnError)
	flags.SetOutput(io.Discard) // run writes the error
	flags.StringVar(&c.form, "form", formAuto, "`form` of the configuration: platform, product, or auto (product for one .toml file)")
	flags.StringVar(&c.inForce, "in-force", "", "`path` of the version in force, in the same form")
	flags.StringVar(&c.workers, "workers", "", "`path` of worker entries: a directory of files named by worker, or a JSON object of entries")
	flags.StringVar(&c.samples, "jobs", "", "`directory` of submissions named ROUTE.json or ROUTE.NAME.json")
	flags.BoolVar(&c.useStore, "store", false,
		"read the version in force and the workers from the store, unless given by -in-force and -workers")
	flags.StringVar(&c.settings, "settings", "", "settings `file` that names the store; the default is that of the platform")
	flags.DurationVar(&c.callerWait, "caller-wait", defaultCallerWait, "`time` for which callers wait for a response")
	flags.DurationVar(&c.timeout, "timeout", defaultStoreTimeout, "`time` within which the store must answer")
	flags.BoolVar(&c.strict, "strict", false, "exit with 1 if there are warnings")
	flags.BoolVar(&c.asJSON, "json", false, "write the report, or the error, as JSON")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(c.stderr, configCheckUsage)
			flags.SetOutput(c.stderr)
			flags.PrintDefaults()
			return err
		}
		return usageError("%v", err)
	}
	c.paths = flags.Args()
	if len(c.paths) == 0 {
		return usageError("name the configuration to check")
	}
	if c.form == formAuto {
		c.form = formPlatform
		if len(c.paths) == 1 && strings.HasSuffix(c.paths[0], ".toml") {
			c.form = formProduct
		}
	}
	switch {
	case c.form != formPlatform && c.form != formProduct:
		return usageError("unknown form %q: use auto, platform or product", c.form)
	case c.form == formProduct && (len(c.paths) > 1 || c.useStore || c.workers != "" || c.samples != ""):
		return usageError("the product's form is one file with its workers; -store, -workers and -jobs are for the platform's form")
	}
	return nil
}

func (c *configCheck) check(ctx context.Context) (*configcheck.Report, error) {
	if c.form == formProduct {
		return c.checkProduct()
	}
	return c.checkPlatform(ctx)
}

// checkProduct checks a document of the product's own interface.
func (c *configCheck) checkProduct() (*configcheck.Report, error) {
	text, err := platform.ReadLimited(c.paths[0])
	if err != nil {
		return nil, err
	}
	proposed, err := decodeDocument(c.paths[0], text)
	if err != nil {
		return configcheck.Rejected(c.paths[0], err), nil
	}
	var inForce *config.Document
	if c.inForce != "" {
		text, err := platform.ReadLimited(c.inForce)
		if err != nil {
			return nil, err
		}
		decoded, err := decodeDocument(c.inForce, text)
		if err != nil {
			return nil, configcheck.FileError(c.inForce, err)
		}
		inForce = decoded.Document
	}
	return configcheck.CheckDocument(proposed, inForce, configcheck.Bounds{CallerWait: c.callerWait}), nil
}

func decodeDocument(path string, text []byte) (*configcheck.DocumentText, error) {
	if strings.HasSuffix(path, ".toml") {
		return configcheck.DecodeTOML(path, text)
	}
	return configcheck.DecodeDocument(path, text)
}

// checkPlatform checks records of the platform's configuration.
func (c *configCheck) checkPlatform(ctx context.Context) (*configcheck.Report, error) {
	files, err := readRecords(c.paths...)
	if err != nil {
		return nil, err
	}
	in := configcheck.Input{
		Evacuations: files.Evacuations, StartsJobID: platform.StartsJobID, Bounds: configcheck.Bounds{CallerWait: c.callerWait},
	}
	if files.File != "" {
		in.Proposed, err = platform.CheckedConfiguration(files.File, files.Configuration)
		if err != nil {
			return configcheck.Rejected(files.File, err), nil
		}
	}
	findings := files.Findings
	unused, err := c.readInForce(&in)
	if err != nil {
		return nil, err
	}
	findings = append(findings, unused...)
	if c.workers != "" {
		workers, unusable, err := platform.ReadWorkerFiles(c.workers)
		if err != nil {
			return nil, err
		}
		in.Workers, in.WorkersKnown = workers, true
		findings = append(findings, unusable...)
	}
	if c.samples != "" {
		if in.Samples, err = platform.ReadSampleFiles(c.samples); err != nil {
			return nil, err
		}
	}
	if c.useStore || c.settings != "" {
		unusable, err := c.readDeployment(ctx, &in)
		if err != nil {
			return nil, err
		}
		findings = append(findings, unusable...)
	}
	in.Findings = findings
	return configcheck.Check(in), nil
}

// readRecords reads the files of records. Without any record the path is taken for a mistake: a version in force that is empty
// by mistake would make every entry look new.
func readRecords(paths ...string) (*platform.ConfigurationFiles, error) {
	files, err := platform.ReadConfigurationFiles(paths...)
	if err != nil {
		return nil, err
	}
	if files.File == "" && len(files.Evacuations) == 0 {
		return nil, errkind.New(errkind.BadInput, "name a configuration or an evacuation", "%s holds no record of the configuration",
			strings.Join(paths, ", "))
	}
	return files, nil
}

// readInForce reads the version in force from files, if they are named. The findings are about files that are not used.
func (c *configCheck) readInForce(in *configcheck.Input) ([]configcheck.Finding, error) {
	if c.inForce == "" {
		return nil, nil
	}
	files, err := readRecords(c.inForce)
	if err != nil {
		return nil, err
	}
	in.EvacuatedKnown = files.Complete
	for _, e := range files.Evacuations {
		if !e.Cancel {
			in.Evacuated = append(in.Evacuated, e.Domain)
		}
	}
	in.InForceKnown = files.Complete || files.File != ""
	if files.File == "" {
		return files.Findings, nil
	}
	in.InForce, err = platform.CheckedConfiguration(files.File, files.Configuration)
	if err != nil {
		return nil, configcheck.FileError(files.File, err)
	}
	return files.Findings, nil
}

// readDeployment reads the settings and, if asked to, what is not known yet from the store that they name. The findings are about
// entries that cannot be used.
func (c *configCheck) readDeployment(ctx context.Context, in *configcheck.Input) ([]configcheck.Finding, error) {
	settings, err := c.loadSettings()
	if err != nil {
		return nil, err
	}
	in.Bounds.MaxRecordBytes = settings.Store.MaxRecordBytes
	if !c.useStore {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	log := c.openStore(settings.StoreAddress)
	if c.inForce == "" {
		records, err := readNewest(ctx, log, store.Config)
		if err != nil {
			return nil, err
		}
		if err := applyInForce(in, records); err != nil {
			return nil, err
		}
	}
	if c.workers != "" {
		return nil, nil
	}
	records, err := readNewest(ctx, log, store.Workers)
	if err != nil {
		return nil, err
	}
	workers, findings := platform.CheckedWorkers(records)
	in.Workers, in.WorkersKnown = workers, true
	return findings, nil
}

func (c *configCheck) loadSettings() (*vmsettings.Settings, error) {
	path := c.settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return nil, err
		}
	}
	return platform.LoadSettings(path)
}

// applyInForce sets the version in force from the newest records of the configuration stream.
func applyInForce(in *configcheck.Input, records []store.Record) error {
	in.InForceKnown, in.EvacuatedKnown = true, true
	for _, r := range records {
		if e, ok := platform.CheckedEvacuation("", r); ok && !e.Cancel {
			in.Evacuated = append(in.Evacuated, e.Domain)
		}
		if !platform.IsConfiguration(r) || len(r.Value) == 0 {
			continue
		}
		inForce, err := platform.CheckedConfiguration("", r.Value)
		if err != nil {
			return errkind.Wrap(configcheck.FileError("newest configuration of the store", err), errkind.BadInput,
				"name the file of an earlier version with -in-force", "the newest configuration of the store cannot be decoded")
		}
		in.InForce = inForce
	}
	return nil
}

// readNewest returns the newest record of each key of the stream. It repeats failed reads until ctx ends.
func readNewest(ctx context.Context, log store.Log, stream store.Stream) ([]store.Record, error) {
	for {
		cursor := store.Cursor{Stream: stream}
		update, err := cursor.Read(ctx, log, 0)
		if err == nil {
			return update.Records, nil
		}
		select {
		case <-ctx.Done():
			return nil, errkind.Wrap(err, errkind.Unavailable,
				"check platform.address in the settings and the path to the store, or use -in-force and -workers",
				"the store has not answered the read of %s: %v", stream, err)
		case <-time.After(storeRetryInterval):
		}
	}
}
