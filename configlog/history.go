package configlog

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// Decision returns the decision about a patch id.
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

// At returns the document of a version. A version above the one in force or in front of the history is NotFound.
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
			return nil, errkind.Wrap(err, errkind.Internal, "report this", "version %d cannot be rebuilt", doc.Version-1)
		}
		doc = previous
	}
	if doc.Version != version {
		return nil, errkind.New(errkind.NotFound, "run redwingctl config log for the versions that are kept",
			"version %d is not kept; version %d is in force", version, s.Doc.Version)
	}
	return doc, nil
}

// Log returns the decisions whose version lies between from and to, both included, in log order.
func (s *State) Log(from, to uint64) []Decision {
	var decisions []Decision
	for _, d := range s.Decisions {
		if d.Version >= from && d.Version <= to {
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// Step is one accepted change as replay shows it.
type Step struct {
	Decision Decision
	Document *config.Document
}

// Replay returns the accepted changes that make the versions from+1 to to, each with the document it made.
func (s *State) Replay(from, to uint64) ([]Step, error) {
	doc, err := s.At(from)
	if err != nil {
		return nil, err
	}
	var steps []Step
	for _, d := range s.Decisions {
		if d.Outcome != Accepted || d.Version <= from || d.Version > to {
			continue
		}
		doc, err = config.ApplyOps(doc, d.Ops, d.Version)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this", "version %d cannot be replayed", d.Version)
		}
		steps = append(steps, Step{Decision: d, Document: doc})
	}
	return steps, nil
}

func notInitialised() error {
	return errkind.New(errkind.NotFound, "run redwingctl config init", "there is no configuration yet")
}
