package configlog

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// Decision returns the decision about the patch, withdrawal or initialise record with this id, and false if the history
// contains none.
func (s *State) Decision(id string) (Decision, bool) {
	offset, ok := s.byID[id]
	if !ok {
		return Decision{}, false
	}
	for i := len(s.Decisions) - 1; i >= 0; i-- {
		if s.Decisions[i].Offset == offset && s.Decisions[i].ID == id {
			return s.Decisions[i], true
		}
	}
	return Decision{}, false
}

// At returns the document of a version. The error has the kind NotFound if there is no configuration, or if the version
// is above the one in force or older than the history.
func (s *State) At(version uint64) (*config.Document, error) {
	if s.Doc == nil {
		return nil, notInitialised()
	}
	doc := s.Doc
	for i := len(s.Decisions) - 1; i >= 0 && doc.Version > version; i-- {
		d := s.Decisions[i]
		if d.Outcome != Accepted || d.Version != doc.Version || doc.Version == 0 {
			continue
		}
		previous, err := config.ApplyOps(doc, d.Undo, doc.Version-1)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this as a bug", "cannot rebuild version %d", doc.Version-1)
		}
		doc = previous
	}
	if doc.Version != version {
		return nil, errkind.New(errkind.NotFound, "run redwingctl config log to list the available versions",
			"version %d is not available; version %d is in force", version, s.Doc.Version)
	}
	return doc, nil
}

// Log returns the decisions whose Version lies between from and to, both inclusive, in log order. It includes patches
// that were refused while such a version was in force.
func (s *State) Log(from, to uint64) []Decision {
	var decisions []Decision
	for _, d := range s.Decisions {
		if d.Version >= from && d.Version <= to {
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// ReplayStep is one accepted change and its result.
type ReplayStep struct {
	Decision Decision
	// Document is the document after the change.
	Document *config.Document
}

// Replay returns the accepted changes that created the versions from+1 to to, each with the resulting document. The
// error has the kind NotFound if the version from is not available.
func (s *State) Replay(from, to uint64) ([]ReplayStep, error) {
	doc, err := s.At(from)
	if err != nil {
		return nil, err
	}
	var steps []ReplayStep
	for _, d := range s.Decisions {
		if d.Outcome != Accepted || d.Version <= from || d.Version > to {
			continue
		}
		doc, err = config.ApplyOps(doc, d.Ops, d.Version)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this as a bug", "cannot replay version %d", d.Version)
		}
		steps = append(steps, ReplayStep{Decision: d, Document: doc})
	}
	return steps, nil
}

func notInitialised() error {
	return errkind.New(errkind.NotFound, "run redwingctl config init", "there is no configuration yet")
}
