package configcheck

import "github.com/redwingthread/redwingthread/workload"

func accountField(index int, field Field) Ref {
	return Ref{Section: SectionAccounts, Index: index, Field: field}
}

// checkAccounts checks the accounts and keys without the workers.
func (c *checker) checkAccounts() {
	accounts := c.current.Config.Accounts
	byName := make(map[string]int, len(accounts))
	for i := range accounts {
		name := accounts[i].Name
		if name == "" {
			c.add(Error, "account-without-name", accountField(i, FieldName), "give the account a name",
				"the account has no name, so its keys belong to nobody and its guarantee to all public jobs")
			continue
		}
		if first, ok := byName[name]; ok {
			c.add(Error, "account-twice", accountField(i, FieldName), "merge the two entries",
				"%s has the same name; the guarantee of that entry counts and this one's does not", c.pathOf(accountField(first, "")))
			continue
		}
		byName[name] = i
	}
	c.checkKeys()
	c.checkUsableGuarantees()
}

// checkKeys reports keys that are empty, belong to no account, or are listed more than once.
func (c *checker) checkKeys() {
	accounts := c.current.Config.Accounts
	owner := make(map[string]Key, len(c.current.Keys))
	hasKeys := make([]bool, len(accounts))
	for _, k := range c.current.Keys {
		ref := Ref{Section: SectionAccounts, Index: k.Account, Field: FieldKeys, Key: k.Index}
		hasKeys[k.Account] = true
		if k.Value == "" {
			c.add(Error, "key-empty", ref, "remove the empty key",
				"the key is empty, so a request without a key counts as one of this account")
			continue
		}
		if accounts[k.Account].Name == "" {
			c.add(Error, "key-without-account", ref, "give the account a name, or remove the key",
				"key %s belongs to no account: it is accepted, but its jobs have no owner and no guarantee", Fingerprint(k.Value))
		}
		first, ok := owner[k.Value]
		switch {
		case !ok:
			owner[k.Value] = k
		case accounts[first.Account].Name == accounts[k.Account].Name:
			c.add(Warning, "key-twice", ref, "list the key once", "key %s is listed twice for this account", Fingerprint(k.Value))
		default:
			c.add(Error, "key-of-two-accounts", ref, "give each account a key of its own",
				"key %s is also that of account %q (%s); its requests count for the last account that lists it",
				Fingerprint(k.Value), accounts[first.Account].Name, c.pathOf(accountField(first.Account, "")))
		}
	}
	for i := range accounts {
		if !hasKeys[i] {
			c.add(Warning, "account-without-keys", accountField(i, FieldKeys), "give the account a key, or remove it",
				"the account has no key, so no caller can use it")
		}
	}
}

// checkUsableGuarantees reports guarantees that no route lets an account use: they cover jobs of priority 0 that have an account.
func (c *checker) checkUsableGuarantees() {
	if len(guaranteedServices(c.current.Config)) > 0 {
		return
	}
	for i := range c.current.Config.Accounts {
		if n := c.current.Config.Accounts[i].GuaranteedAccelerators; n > 0 {
			c.add(Warning, "guarantee-unusable", accountField(i, FieldGuarantee),
				"add a route of priority 0 that needs a key, or remove the guarantee",
				"%d accelerators are guaranteed, but guarantees cover priority 0 only and no route with keys has it", n)
		}
	}
}

// guaranteedServices returns the services of the routes whose jobs are covered by guarantees.
func guaranteedServices(config *workload.Config) map[string]bool {
	services := map[string]bool{}
	for i := range config.Queues {
		if q := &config.Queues[i]; q.Priority == 0 && !q.Public && q.Service != "" {
			services[q.Service] = true
		}
	}
	return services
}
