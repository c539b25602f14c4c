package settings

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
)

// Fault is one fault in a settings file.
type Fault struct {
	// Line is the line of the faulty key, or of the table that lacks a key; 0 if no line can be named.
	Line int `json:"line"`
	// Key is the full key, such as listen.inner or peers[1].role.
	Key     string `json:"key"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	text := f.Message + "; " + f.Remedy
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Line > 0 {
		text = "line " + strconv.Itoa(f.Line) + ": " + text
	}
	return text
}

// FaultList holds all faults of a settings file in order of their lines.
type FaultList struct {
	Path   string
	Faults []Fault
}

// Error returns the faults, each on a line of its own after a line break.
func (l *FaultList) Error() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = "\n  " + f.String()
	}
	return strings.Join(lines, "")
}

// LoadGateway reads the settings of a gateway from a TOML file. For an unreadable or faulty file it returns an error of
// kind errkind.BadInput, which wraps a *FaultList if the file could be read.
func LoadGateway(path string) (Gateway, error) {
	s := DefaultGateway()
	if err := Load(path, &s, s.faults); err != nil {
		return Gateway{}, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// LoadScheduler reads the settings of a scheduler from a TOML file. Its errors are those of LoadGateway.
func LoadScheduler(path string) (Scheduler, error) {
	s := DefaultScheduler()
	if err := Load(path, &s, s.faults); err != nil {
		return Scheduler{}, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// Load decodes the TOML file at path into the struct that target points to; keys that the file does not set keep their
// value. The function check returns the faults of the decoded values, with Line unset; it may be nil. The errors are those
// of LoadGateway.
func Load(path string, target any, check func() []Fault) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "name a readable settings file", "settings file %s", path)
	}
	faults := decode(string(text), target, check)
	if len(faults) == 0 {
		return nil
	}
	return errkind.Wrap(&FaultList{Path: path, Faults: faults}, errkind.BadInput,
		"correct the lines and run redwingctl check-settings", "settings file %s has %d faults", path, len(faults))
}

// resolve joins relative file names with dir, the directory of the settings file.
func (c *Common) resolve(dir string) {
	for _, name := range []*string{&c.TLS.Certificate, &c.TLS.Key, &c.TLS.CA, &c.Trace.Path} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
