package main

import (
	"flag"
	"fmt"
	"sort"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/resource"
)

func accountCommands() []command {
	return []command{
		{
			name: "account create", arguments: "NAME", summary: "Adds a client account and prints its new token once",
			examples: []string{
				`account create orders -weight 2 -author ana -reason "new client"`,
				`account create scan -quota 16 -token-digest DIGEST -author ana -reason "token made elsewhere"`,
			},
			setup: accountCreate,
		},
		{
			name: "account remove", arguments: "NAME", summary: "Removes a client account with its guarantees",
			examples: []string{`account remove orders -author ana -reason "contract ended"`},
			setup:    accountRemove,
		},
		{
			name: "account list", summary: "Lists client accounts and their guarantees",
			examples: []string{"account list", "account list -o json"},
			setup:    accountList,
		},
	}
}

// createdAccount is the JSON output of account create.
type createdAccount struct {
	Account string `json:"account"`
	Version uint64 `json:"version"`
	Patch   string `json:"patch"`
	// Token is empty if the token digest was given with -token-digest.
	Token string `json:"token,omitempty"`
}

func accountCreate(f *flag.FlagSet) func(*invocation) error {
	var change changeFlags
	change.declare(f)
	var a config.Account
	f.IntVar(&a.Weight, "weight", 1, "share of the request queues, 1 or more")
	f.IntVar(&a.Quota, "quota", 0, "limit of `accelerators` in use in one failure domain, 0 for none")
	f.IntVar(&a.RetryBudgetPercent, "retry-budget", 0, "limit of retries in `percent` of first attempts, 0 for the default")
	f.StringVar(&a.TokenDigest, "token-digest", "", "`digest` of an existing token, from redwingctl token new")
	return func(inv *invocation) error {
		if err := inv.checkArgs("NAME"); err != nil {
			return err
		}
		created := createdAccount{Account: inv.args[0]}
		a.Name = inv.args[0]
		if a.TokenDigest == "" {
			created.Token, a.TokenDigest = operatorclient.NewToken()
		}
		patch, decision, err := inv.submitEdit(change, operatorclient.CreateAccount(a))
		if err != nil {
			return err
		}
		created.Version, created.Patch = decision.Version, patch.ID
		return inv.print(created, func() {
			inv.fields([2]string{"account", created.Account}, [2]string{"version", fmt.Sprint(created.Version)},
				[2]string{"patch", created.Patch}, [2]string{"token", created.Token})
		})
	}
}

// submitEdit applies an edit to the version in force and submits it as a patch. It returns the patch with an error of the
// submission, too.
func (inv *invocation) submitEdit(change changeFlags, edit operatorclient.Edit) (operatorclient.Patch, operatorclient.Decision, error) {
	var none operatorclient.Decision
	if err := change.check(); err != nil {
		return operatorclient.Patch{}, none, err
	}
	client, err := inv.client()
	if err != nil {
		return operatorclient.Patch{}, none, err
	}
	return client.Change(inv.ctx, change.author, change.reason, edit)
}

// submitAndPrint submits an edit and prints the decision about it. Unless the patch was accepted, it returns an error.
func (inv *invocation) submitAndPrint(change changeFlags, edit operatorclient.Edit) error {
	_, decision, err := inv.submitEdit(change, edit)
	if err != nil {
		return err
	}
	return inv.decision(decision)
}

func accountRemove(f *flag.FlagSet) func(*invocation) error {
	var change changeFlags
	change.declare(f)
	return func(inv *invocation) error {
		if err := inv.checkArgs("NAME"); err != nil {
			return err
		}
		return inv.submitAndPrint(change, operatorclient.RemoveAccount(inv.args[0]))
	}
}

func accountList(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs()
		if err != nil {
			return err
		}
		doc, err := client.Document(inv.ctx, nil)
		if err != nil {
			return err
		}
		return inv.print(doc.Accounts, func() { inv.accountTable(doc) })
	}
}

// accountTable writes the accounts, sorted by name, with one line for each guarantee.
func (inv *invocation) accountTable(doc *operatorclient.Document) {
	names := make([]string, 0, len(doc.Accounts))
	for name := range doc.Accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	var rows [][]string
	for _, name := range names {
		a := doc.Accounts[name]
		row := []string{name, fmt.Sprint(a.Weight), fmt.Sprint(a.Quota), "-"}
		for i, g := range a.Guarantees {
			if i > 0 {
				row = []string{"", "", "", ""}
			}
			row[3] = fmt.Sprintf("%d x %s in %s", g.Count, formatShape(g.Shape), g.FailureDomain)
			rows = append(rows, row)
		}
		if len(a.Guarantees) == 0 {
			rows = append(rows, row)
		}
	}
	inv.columns([]string{"ACCOUNT", "WEIGHT", "QUOTA", "GUARANTEES"}, rows)
}

// formatShape describes a shape in one line of text.
func formatShape(s resource.Shape) string {
	p := s.PerMember
	return fmt.Sprintf("%d of %d accelerators, %dm CPU, %d MB, adjacency %s", s.Members, p.Accelerators, p.MilliCPU,
		p.MemoryMB, s.Adjacency)
}
