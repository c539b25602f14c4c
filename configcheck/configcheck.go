// Package configcheck checks a configuration before it is sent: it reports entries that cannot work or never match, limits
// that contradict each other, and what callers will notice compared with the version in force.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutines. Package platform decodes the platform's format
// for it, with the decoders that the processes use. Findings never contain a key; see Fingerprint.
package configcheck

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jsontree"
	"github.com/redwingthread/redwingthread/workload"
)

// Severity says how certainly an entry fails.
type Severity string

// The severities. An Error is an entry that does not do what it says as soon as the configuration is in force. A Warning is one
// that fails under conditions, or that the processes read differently than it is written.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Rule is the stable name of the rule that was broken.
	Rule string `json:"rule"`
	// Entry is the path of the entry in the operator's text, with its name.
	Entry string `json:"entry"`
	// File and Position say where the entry is; Position is nil if that is not known.
	File     string             `json:"file,omitempty"`
	Position *jsontree.Position `json:"position,omitempty"`
	Reason   string             `json:"reason"`
	Remedy   string             `json:"remedy"`
}

// Change is a difference from the version in force that callers notice.
type Change struct {
	Entry  string `json:"entry"`
	Effect string `json:"effect"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Compared is true if there was a version in force to compare with. Changes is empty otherwise.
	Compared bool     `json:"compared"`
	Changes  []Change `json:"changes"`
	// NotChecked lists what could not be checked because something was not given.
	NotChecked []string `json:"not_checked"`
}

// Count returns the number of findings of the severity.
func (r *Report) Count(severity Severity) int {
	n := 0
	for i := range r.Findings {
		if r.Findings[i].Severity == severity {
			n++
		}
	}
	return n
}

// Section is a part of a configuration.
type Section string

// The sections.
const (
	SectionVersion  Section = "version"
	SectionRoutes   Section = "routes"
	SectionAccounts Section = "accounts"
	SectionLimits   Section = "limits"
)

// Field is a field of an entry.
type Field string

// The fields of routes, accounts and limits.
const (
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldService       Field = "service"
	FieldPriority      Field = "priority"
	FieldSlack         Field = "slack"
	FieldTarget        Field = "target"
	FieldTimeout       Field = "timeout"
	FieldKeys          Field = "keys"
	FieldGuarantee     Field = "guarantee"
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Ref names an entry of a configuration, independent of its format.
type Ref struct {
	Section Section
	// Index is that of a route or an account; Key is that of a key if Field is FieldKeys.
	Index int
	Field Field
	Key   int
}

// Key is a key as it is listed, with repetitions.
type Key struct {
	// Account is the index of the account that lists the key, Index that of the key in its list.
	Account, Index int
	Value          string
}

// Configuration is a configuration with what its decoder drops.
type Configuration struct {
	Config *workload.Config
	Keys   []Key
	// ListedServices holds the names of the services that the configuration lists; nil if it has no such list.
	ListedServices []string
	// RouteTimeouts holds the timeouts of the routes, by index; 0 for none. The processes do not use them.
	RouteTimeouts []time.Duration
	// Bytes is the size of the text.
	Bytes int
	// Findings are those of the decoder.
	Findings []Finding
	File     string
	// Locate returns the path of an entry in the text and its position.
	Locate func(Ref) (string, jsontree.Position)
}

// Evacuation requests or cancels the evacuation of a failure domain.
type Evacuation struct {
	Domain   string
	Cancel   bool
	File     string
	Findings []Finding
}

// Sample is a job that callers submit to a queue.
type Sample struct {
	File  string
	Queue string
	Job   *workload.Job
}

// Bounds are the settings of a deployment that entries must agree with. A bound of 0 is not known.
type Bounds struct {
	// CallerWait is the time for which callers wait for a response.
	CallerWait time.Duration
	// MaxRecordBytes is the size of the largest record that the store takes.
	MaxRecordBytes int
}

// Input is what a check looks at.
type Input struct {
	// Proposed is the configuration that will be sent; nil if only evacuations are.
	Proposed    *Configuration
	Evacuations []Evacuation
	// InForce is the configuration in force, nil if there is none; it has no meaning unless InForceKnown is true. Evacuated holds
	// the domains whose evacuation is in force, if EvacuatedKnown is true.
	InForceKnown   bool
	InForce        *Configuration
	EvacuatedKnown bool
	Evacuated      []string
	// Workers holds the workers, if WorkersKnown is true.
	WorkersKnown bool
	Workers      []workload.WorkerInfo
	Samples      []Sample
	Bounds       Bounds
	// Findings are those of the readers of the input.
	Findings []Finding
	// StartsJobID reports whether a job id can start with a string. It must be false for a string of which a part is not
	// possible in an id.
	StartsJobID func(string) bool
}

// checker collects the report of one check.
type checker struct {
	Input
	report Report
	// current is the configuration that will be in force: the proposed one, or that in force.
	current *Configuration
	// evacuatedBefore holds the domains whose evacuation is in force, evacuated those whose evacuation will be.
	evacuatedBefore, evacuated map[string]bool
	capacity                   capacity
}

// Check checks the input. Its work grows with the size of the input, apart from the sorting of the findings.
func Check(in Input) *Report {
	c := &checker{Input: in, current: in.Proposed, evacuatedBefore: map[string]bool{}, evacuated: map[string]bool{}}
	if c.current == nil {
		c.current = in.InForce
	}
	c.report.Findings = append(c.report.Findings, in.Findings...)
	c.applyEvacuations()
	c.capacity = newCapacity(in.Workers, c.evacuated)
	if in.Proposed != nil {
		c.report.Findings = append(c.report.Findings, in.Proposed.Findings...)
		c.checkVersion()
		c.checkRoutes()
		c.checkAccounts()
		c.checkLimits()
	}
	if !c.WorkersKnown {
		c.notChecked("services, guarantees, evacuations and the steps of jobs against the workers: the workers were not given")
	}
	if c.current != nil {
		c.checkCapacity()
		c.checkSamples()
	} else if len(c.Samples) > 0 {
		c.notChecked("jobs: neither a configuration nor the version in force was given")
	}
	c.checkEvacuations()
	c.compare()
	c.report.sort()
	return &c.report
}

// sort puts errors before warnings, and findings of one severity in the order of their positions.
func (r *Report) sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		if a.Severity != b.Severity {
			if a.Severity == Error {
				return -1
			}
			return 1
		}
		return offsetOf(a) - offsetOf(b)
	})
}

// offsetOf returns the offset of a finding; findings without one come last.
func offsetOf(f Finding) int {
	if f.Position == nil {
		return 1 << 30
	}
	return f.Position.Offset
}

func (c *checker) notChecked(what string) { c.report.NotChecked = append(c.report.NotChecked, what) }

// add adds a finding about an entry of the current configuration.
func (c *checker) add(severity Severity, rule string, ref Ref, remedy, format string, args ...any) {
	f := Finding{Severity: severity, Rule: rule, Reason: fmt.Sprintf(format, args...), Remedy: remedy, File: c.current.File}
	path, position := c.current.Locate(ref)
	f.Entry = path
	if name := c.nameOf(ref); name != "" {
		f.Entry += fmt.Sprintf(" (%q)", name)
	}
	if position.Known() {
		f.Position = &position
	}
	c.report.Findings = append(c.report.Findings, f)
}

// addFor adds a finding about an entry that is not part of the configuration.
func (c *checker) addFor(severity Severity, rule, file, entry, remedy, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Severity: severity, Rule: rule, File: file, Entry: entry, Reason: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// pathOf returns the path of an entry of the current configuration.
func (c *checker) pathOf(ref Ref) string {
	path, _ := c.current.Locate(ref)
	return path
}

// nameOf returns the name of the route or account that ref names; empty for other entries.
func (c *checker) nameOf(ref Ref) string {
	switch ref.Section {
	case SectionRoutes:
		return c.current.Config.Queues[ref.Index].Name
	case SectionAccounts:
		return c.current.Config.Accounts[ref.Index].Name
	}
	return ""
}

// Fingerprint returns a short digest that identifies a key without showing it.
func Fingerprint(key string) string { return config.TokenDigest(key)[:8] }

func (c *checker) checkVersion() {
	if !c.InForceKnown || c.InForce == nil {
		return
	}
	if proposed, inForce := c.Proposed.Config.Version, c.InForce.Config.Version; proposed <= inForce {
		c.add(Error, "version-not-newer", Ref{Section: SectionVersion}, fmt.Sprintf("use version %d or higher", inForce+1),
			"version %d is not above version %d in force, so every VM ignores the configuration", proposed, inForce)
	}
}

// FileError returns err with the name of the file and the position in its message. Its kind and remedy are kept.
func FileError(file string, err error) error {
	typed := errkind.As(err)
	reason := typed.Message
	var input *jsontree.InputError
	if errors.As(err, &input) {
		reason = input.Error()
	}
	return errkind.Wrap(err, typed.Kind, typed.Remedy, "%s: %s", file, reason)
}

// Rejected returns the report about a configuration that cannot be decoded.
func Rejected(file string, err error) *Report {
	typed := errkind.As(err)
	f := Finding{Severity: Error, Rule: "not-decodable", Entry: "configuration", File: file, Reason: typed.Message, Remedy: typed.Remedy}
	var input *jsontree.InputError
	if errors.As(err, &input) {
		f.Reason = input.Reason
		if input.Position.Known() {
			f.Position = &input.Position
		}
	}
	return &Report{Findings: []Finding{f}, NotChecked: []string{"everything else: the configuration cannot be decoded"}}
}
