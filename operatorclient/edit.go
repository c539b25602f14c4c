package operatorclient

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Edit returns the ops of a change to doc. It does not modify doc.
type Edit func(doc *Document) ([]Op, error)

// Change reads the version in force, builds a patch against it and submits the patch. It does not retry after a conflict,
// because the operator should first see the change that was accepted instead. The submitted patch is returned with an
// error of Submit, too, so that its decision can be looked up later.
func (c *Client) Change(ctx context.Context, author, reason string, edit Edit) (Patch, Decision, error) {
	doc, err := c.Document(ctx, nil)
	if err != nil {
		return Patch{}, Decision{}, err
	}
	ops, err := edit(doc)
	if err != nil {
		return Patch{}, Decision{}, err
	}
	patch := Patch{ID: uuid.NewString(), Base: doc.Version, Author: author, Reason: reason, Ops: ops}
	decision, err := c.Submit(ctx, patch)
	return patch, decision, err
}

// setOp returns the op that sets the item at path, as a list of one.
func setOp(path string, item any) ([]Op, error) {
	value, err := json.Marshal(item)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this as a bug", "cannot encode the value of %s", path)
	}
	return []Op{{Op: config.OpSet, Path: path, Value: value}}, nil
}

// CreateAccount returns the edit that adds an account. The edit fails if an account of that name exists.
func CreateAccount(account config.Account) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, ok := doc.Accounts[account.Name]; ok {
			return nil, errkind.New(errkind.Conflict, "choose another name or remove the account first",
				"account %q exists in version %d", account.Name, doc.Version)
		}
		return setOp("accounts/"+account.Name, account)
	}
}

// RemoveAccount returns the edit that removes an account and its guarantees. The edit fails if there is no such account.
func RemoveAccount(name string) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, err := findAccount(doc, name); err != nil {
			return nil, err
		}
		return []Op{{Op: config.OpRemove, Path: "accounts/" + name}}, nil
	}
}

// SetGuarantee returns the edit that gives an account the guarantee g. It replaces the account's guarantee of the same
// failure domain and shape, if there is one. The edit fails if there is no such account.
func SetGuarantee(name string, g config.Guarantee) Edit {
	return func(doc *Document) ([]Op, error) {
		a, err := findAccount(doc, name)
		if err != nil {
			return nil, err
		}
		remaining := slices.DeleteFunc(slices.Clone(a.Guarantees), func(existing config.Guarantee) bool {
			return existing.FailureDomain == g.FailureDomain && existing.Shape == g.Shape
		})
		a.Guarantees = append(remaining, g)
		return setOp("accounts/"+name, a)
	}
}

// RemoveGuarantee returns the edit that removes the guarantees of an account in a failure domain: those of the shape, or
// all if shape is nil. The edit fails if there is none.
func RemoveGuarantee(name, failureDomain string, shape *resource.Shape) Edit {
	return func(doc *Document) ([]Op, error) {
		a, err := findAccount(doc, name)
		if err != nil {
			return nil, err
		}
		remaining := slices.DeleteFunc(slices.Clone(a.Guarantees), func(existing config.Guarantee) bool {
			return existing.FailureDomain == failureDomain && (shape == nil || existing.Shape == *shape)
		})
		if len(remaining) == len(a.Guarantees) {
			return nil, errkind.New(errkind.NotFound, "run redwingctl account list",
				"account %q has no matching guarantee in failure domain %q", name, failureDomain)
		}
		a.Guarantees = remaining
		return setOp("accounts/"+name, a)
	}
}

// StartDrain returns the edit that drains a VM or worker.
func StartDrain(name, reason string) Edit {
	return func(*Document) ([]Op, error) { return setOp("drains/"+name, config.Drain{VM: name, Reason: reason}) }
}

// StopDrain returns the edit that ends the drain of a VM or worker, so that it accepts work again. The edit fails if it
// is not drained.
func StopDrain(name string) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, ok := doc.Drains[name]; !ok {
			return nil, errkind.New(errkind.NotFound, "run redwingctl config show", "%q is not drained in version %d",
				name, doc.Version)
		}
		return []Op{{Op: config.OpRemove, Path: "drains/" + name}}, nil
	}
}

func findAccount(doc *Document, name string) (config.Account, error) {
	a, ok := doc.Accounts[name]
	if !ok {
		return a, errkind.New(errkind.NotFound, "run redwingctl account list", "account %q does not exist in version %d", name,
			doc.Version)
	}
	return a, nil
}
