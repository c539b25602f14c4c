package settings

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
)

// Fault is one fault of a settings file.
type Fault struct {
	// Line is the line of the faulty key, or of the table that lacks one; 0 for the file as a whole.
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

// Error returns one line for each fault.
func (l *FaultList) Error() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = "\n  " + f.String()
	}
	return strings.Join(lines, "")
}

// LoadGateway reads the settings of a gateway. An unreadable or faulty file gives an error of kind errkind.BadInput
// that wraps a *FaultList if the file could be read.
func LoadGateway(path string) (Gateway, error) {
	s := DefaultGateway()
	if err := Load(path, &s, s.faults); err != nil {
		return Gateway{}, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// LoadScheduler reads the settings of a scheduler. Its errors are those of LoadGateway.
func LoadScheduler(path string) (Scheduler, error) {
	s := DefaultScheduler()
	if err := Load(path, &s, s.faults); err != nil {
		return Scheduler{}, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// Load reads the TOML file at path over the defaults in the struct that target points to. The function check returns
// the faults of the decoded values, with Line unset; it may be nil.
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

// resolve makes file names relative to the directory of the settings file.
func (c *Common) resolve(dir string) {
	for _, name := range []*string{&c.TLS.Certificate, &c.TLS.Key, &c.TLS.CA, &c.Trace.Path} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
