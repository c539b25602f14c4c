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

// Edit returns the ops that make a change of doc. It does not change doc.
type Edit func(doc *Document) ([]Op, error)

// Change reads the version in force, makes a patch on it and submits it. The patch is not made again after a conflict,
// since the operator has to see what it lost to. The patch is returned with any outcome, so that it can be settled.
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

// set returns the op that sets the item at path.
func set(path string, item any) ([]Op, error) {
	value, err := json.Marshal(item)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "value of %s", path)
	}
	return []Op{{Op: config.OpSet, Path: path, Value: value}}, nil
}

// CreateAccount adds an account.
func CreateAccount(account config.Account) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, ok := doc.Accounts[account.Name]; ok {
			return nil, errkind.New(errkind.Conflict, "choose another name or remove the account first",
				"account %q exists in version %d", account.Name, doc.Version)
		}
		return set("accounts/"+account.Name, account)
	}
}

// RemoveAccount removes an account with its guarantees.
func RemoveAccount(name string) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, err := account(doc, name); err != nil {
			return nil, err
		}
		return []Op{{Op: config.OpRemove, Path: "accounts/" + name}}, nil
	}
}

// SetGuarantee promises g to an account. It replaces the guarantee of the same failure domain and shape.
func SetGuarantee(name string, g config.Guarantee) Edit {
	return func(doc *Document) ([]Op, error) {
		a, err := account(doc, name)
		if err != nil {
			return nil, err
		}
		kept := slices.DeleteFunc(slices.Clone(a.Guarantees), func(old config.Guarantee) bool {
			return old.FailureDomain == g.FailureDomain && old.Shape == g.Shape
		})
		a.Guarantees = append(kept, g)
		return set("accounts/"+name, a)
	}
}

// RemoveGuarantee takes the guarantees of an account in a failure domain back: those of the shape, or all if shape is
// nil.
func RemoveGuarantee(name, failureDomain string, shape *resource.Shape) Edit {
	return func(doc *Document) ([]Op, error) {
		a, err := account(doc, name)
		if err != nil {
			return nil, err
		}
		kept := slices.DeleteFunc(slices.Clone(a.Guarantees), func(old config.Guarantee) bool {
			return old.FailureDomain == failureDomain && (shape == nil || old.Shape == *shape)
		})
		if len(kept) == len(a.Guarantees) {
			return nil, errkind.New(errkind.NotFound, "run redwingctl account list",
				"account %q has no such guarantee in failure domain %q", name, failureDomain)
		}
		a.Guarantees = kept
		return set("accounts/"+name, a)
	}
}

// StartDrain asks for a VM or worker to be emptied.
func StartDrain(vm, reason string) Edit {
	return func(*Document) ([]Op, error) { return set("drains/"+vm, config.Drain{VM: vm, Reason: reason}) }
}

// StopDrain lets a drained VM or worker take work again.
func StopDrain(vm string) Edit {
	return func(doc *Document) ([]Op, error) {
		if _, ok := doc.Drains[vm]; !ok {
			return nil, errkind.New(errkind.NotFound, "run redwingctl config show", "VM %q is not drained in version %d",
				vm, doc.Version)
		}
		return []Op{{Op: config.OpRemove, Path: "drains/" + vm}}, nil
	}
}

func account(doc *Document, name string) (config.Account, error) {
	a, ok := doc.Accounts[name]
	if !ok {
		return a, errkind.New(errkind.NotFound, "run redwingctl account list", "account %q is not in version %d", name,
			doc.Version)
	}
	return a, nil
}
