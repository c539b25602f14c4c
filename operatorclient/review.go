package operatorclient

import (
	"context"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
)

// ReviewedChange is an accepted change with one line for each field that it changed.
type ReviewedChange struct {
	Decision
	Summary []string `json:"summary"`
}

// Review returns the accepted changes among decisions, which must be in order of versions, as a reviewer reads them. It
// reads the document before the first one; the later ones follow from the ops.
func (c *Client) Review(ctx context.Context, decisions []Decision) ([]ReviewedChange, error) {
	changes := []ReviewedChange{}
	var doc *Document
	for _, d := range decisions {
		if d.Outcome != configlog.Accepted {
			continue
		}
		if doc == nil && d.Version > 0 {
			before := d.Version - 1
			var err error
			if doc, err = c.Document(ctx, &before); err != nil {
				return nil, err
			}
		}
		change := ReviewedChange{Decision: d}
		if doc != nil && len(d.Ops) > 0 {
			change.Summary = config.Describe(doc, d.Ops)
			next, err := config.ApplyOps(doc, d.Ops, d.Version)
			if err != nil {
				return nil, err
			}
			doc = next
		}
		changes = append(changes, change)
	}
	return changes, nil
}
