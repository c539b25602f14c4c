package config

import (
	"fmt"
	"math"
	"net/netip"
	"sort"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Limits of configured values. They are part of the rule set: a change requires a new RuleSet.
const (
	// MaxWeight is the largest weight of an account.
	MaxWeight = 1000
	// MaxServiceTimeoutMS is the largest timeout of a service in milliseconds, one hour.
	MaxServiceTimeoutMS = 3_600_000
	// MaxServiceBodyBytes is the largest body limit of a service, 64 MB.
	MaxServiceBodyBytes = 64 << 20
	// MaxGuaranteeMembers is the largest total number of members of the guarantees in one failure domain. It limits the
	// cost of the packing check.
	MaxGuaranteeMembers = 20_000
	// MaxBoundMS is the largest time of a policy in milliseconds, one day.
	MaxBoundMS = 86_400_000
)

const nameRemedy = "use 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

// validName reports whether s is a valid item name. Valid names need no escaping in the path of an op or a URL.
func validName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for i, c := range []byte(s) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// Validate returns nil if doc is valid. Otherwise the error wraps a FaultsError with every fault; guarantees that do not fit
// are only reported if there is no other fault.
func Validate(doc *Document) error {
	var faults faultList
	checkDocument(&faults, doc)
	if len(faults) == 0 {
		checkGuarantees(&faults, nil, doc)
	}
	return faults.err(fmt.Sprintf("document of version %d", doc.Version))
}

// sortedKeys returns the keys of m in order. Every process must report faults in the same order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// checkDocument checks everything except whether the guarantees fit on the workers.
func checkDocument(faults *faultList, doc *Document) {
	checkFailureDomains(faults, doc)
	checkWorkers(faults, doc)
	checkTokens(faults, doc)
	checkAccounts(faults, doc)
	checkServices(faults, doc)
	for _, vm := range sortedKeys(doc.Drains) {
		checkName(faults, "drains/"+vm, vm, doc.Drains[vm].VM)
		if len(doc.Drains[vm].Reason) > MaxTextLength {
			faults.add("drains/"+vm, fmt.Sprintf("give the reason in at most %d bytes", MaxTextLength), "reason is too long")
		}
	}
	checkPolicy(faults, doc.Policy)
}

// checkName adds a fault if the key of an item is not a valid name, or if the item has another name.
func checkName(faults *faultList, path, key, itemName string) {
	if !validName(key) {
		faults.add(path, nameRemedy, "%q is not a name", key)
	}
	if itemName != key {
		faults.add(path, "make the name equal to the key", "item is named %q", itemName)
	}
}

func checkFailureDomains(faults *faultList, doc *Document) {
	if len(doc.FailureDomains) == 0 {
		faults.add("failure_domains", "configure at least one", "there is no failure domain")
	}
	for _, name := range sortedKeys(doc.FailureDomains) {
		path := "failure_domains/" + name
		checkName(faults, path, name, doc.FailureDomains[name].Name)
		if region := doc.FailureDomains[name].Region; !validName(region) {
			faults.add(path, nameRemedy, "region %q is not a name", region)
		}
	}
}

// checkDomainExists adds a fault if the document has no failure domain of this name.
func checkDomainExists(faults *faultList, doc *Document, path, name string) {
	if _, ok := doc.FailureDomains[name]; !ok {
		faults.add(path, "set failure_domains/"+name+" or use a configured one", "failure domain %q is not configured", name)
	}
}

func checkAddress(faults *faultList, path, address string) {
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		faults.add(path, "give IP number and port, for example 10.0.0.1:8080", "address %q cannot be used", address)
	}
}

func checkWorkers(faults *faultList, doc *Document) {
	byAddress := map[string]string{}
	for _, id := range sortedKeys(doc.Workers) {
		w := doc.Workers[id]
		path := "workers/" + id
		checkName(faults, path, id, w.ID)
		checkDomainExists(faults, doc, path, w.FailureDomain)
		if !validName(w.Rack) {
			faults.add(path, nameRemedy, "rack %q is not a name", w.Rack)
		}
		c := w.Capacity
		if c.Accelerators < 0 || c.MilliCPU <= 0 || c.MemoryMB <= 0 || !inRange(c) {
			faults.add(path, "give processors and memory above 0 and no negative accelerators", "capacity is out of range")
		}
		checkAddress(faults, path, w.Address)
		if other, ok := byAddress[w.Address]; ok {
			faults.add(path, "give each worker an address of its own", "address %s is that of worker %s", w.Address, other)
		}
		byAddress[w.Address] = id
	}
}

// inRange reports whether r is small enough that the sums in the packing check cannot overflow.
func inRange(r resource.Resources) bool {
	return r.Accelerators <= math.MaxInt16 && r.MilliCPU <= math.MaxInt32 && r.MemoryMB <= math.MaxInt32
}

// checkTokens checks that every operator and account has a valid token digest of its own.
func checkTokens(faults *faultList, doc *Document) {
	pathByDigest := map[string]string{}
	checkDigest := func(path, digest string) {
		if !ValidTokenDigest(digest) {
			faults.add(path, "give the SHA-256 digest of the token as 64 lower-case hex digits", "token digest cannot be used")
			return
		}
		if other, ok := pathByDigest[digest]; ok {
			faults.add(path, "make a new token", "token is also that of %s", other)
		}
		pathByDigest[digest] = path
	}
	if len(doc.Operators) == 0 {
		faults.add("operators", "keep at least one operator", "nobody could change the configuration any more")
	}
	for _, name := range sortedKeys(doc.Operators) {
		checkName(faults, "operators/"+name, name, doc.Operators[name].Name)
		checkDigest("operators/"+name, doc.Operators[name].TokenDigest)
	}
	for _, name := range sortedKeys(doc.Accounts) {
		checkDigest("accounts/"+name, doc.Accounts[name].TokenDigest)
	}
}

func checkAccounts(faults *faultList, doc *Document) {
	membersByDomain := map[string]int{}
	for _, name := range sortedKeys(doc.Accounts) {
		a := doc.Accounts[name]
		path := "accounts/" + name
		checkName(faults, path, name, a.Name)
		if a.Weight < 1 || a.Weight > MaxWeight {
			faults.add(path, fmt.Sprintf("use a weight of 1 to %d", MaxWeight), "weight is %d", a.Weight)
		}
		if a.Quota < 0 {
			faults.add(path, "use 0 for no bound", "quota is %d", a.Quota)
		}
		if a.RetryBudgetPercent < 0 || a.RetryBudgetPercent > 100 {
			faults.add(path, "use 0 to 100, 0 for the default", "retry budget is %d%%", a.RetryBudgetPercent)
		}
		checkAccountGuarantees(faults, doc, path, a, membersByDomain)
	}
}

// checkAccountGuarantees checks the guarantees of one account. It adds the number of their members to membersByDomain, whose
// key is a failure domain.
func checkAccountGuarantees(faults *faultList, doc *Document, path string, a Account, membersByDomain map[string]int) {
	accelerators := map[string]int{}
	for i, g := range a.Guarantees {
		guaranteePath := fmt.Sprintf("%s guarantees[%d]", path, i)
		checkDomainExists(faults, doc, guaranteePath, g.FailureDomain)
		if err := g.Shape.Validate(); err != nil {
			typed := errkind.As(err)
			faults.add(guaranteePath, typed.Remedy, "%s", typed.Message)
			continue
		}
		if g.Count < 1 || g.Count > MaxGuaranteeMembers || !inRange(g.Shape.PerMember) {
			faults.add(guaranteePath, "use a count of 1 or more and amounts that a worker can hold",
				"count %d or shape is out of range", g.Count)
			continue
		}
		membersByDomain[g.FailureDomain] += g.Count * g.Shape.Members
		if membersByDomain[g.FailureDomain] > MaxGuaranteeMembers {
			faults.addKind(errkind.Infeasible, guaranteePath, fmt.Sprintf("guarantee at most %d members in one failure domain", MaxGuaranteeMembers),
				"failure domain %s has too many guaranteed members", g.FailureDomain)
		}
		accelerators[g.FailureDomain] += g.Count * g.Shape.Total().Accelerators
	}
	for _, fd := range sortedKeys(accelerators) {
		if a.Quota > 0 && accelerators[fd] > a.Quota {
			faults.add(path, fmt.Sprintf("raise the quota to %d or guarantee less", accelerators[fd]),
				"quota %d is below the %d accelerators guaranteed in failure domain %s", a.Quota, accelerators[fd], fd)
		}
	}
}

func checkServices(faults *faultList, doc *Document) {
	for _, name := range sortedKeys(doc.Services) {
		s := doc.Services[name]
		path := "services/" + name
		checkName(faults, path, name, s.Name)
		if s.TimeoutMS < 1 || s.TimeoutMS > MaxServiceTimeoutMS {
			faults.add(path, fmt.Sprintf("use 1 to %d ms", MaxServiceTimeoutMS), "timeout is %d ms", s.TimeoutMS)
		}
		if s.MaxBodyBytes < 1 || s.MaxBodyBytes > MaxServiceBodyBytes {
			faults.add(path, fmt.Sprintf("use 1 to %d bytes", MaxServiceBodyBytes), "body limit is %d bytes", s.MaxBodyBytes)
		}
		for _, id := range sortedKeys(s.Endpoints) {
			e := s.Endpoints[id]
			endpointPath := path + "/endpoints/" + id
			checkName(faults, endpointPath, id, e.ID)
			checkDomainExists(faults, doc, endpointPath, e.FailureDomain)
			checkAddress(faults, endpointPath, e.Address)
			if e.Slots < 1 || e.MaxConnections < 1 {
				faults.add(endpointPath, "use 1 or more of each", "endpoint has %d slots and %d connections", e.Slots, e.MaxConnections)
			} else if e.MaxConnections < doc.Policy.GatewaySeats {
				// Each gateway may open max_connections / gateway_seats connections, rounded down, which must not be 0.
				faults.add(endpointPath, "allow a connection for each seat, or lower policy.gateway_seats",
					"endpoint has %d connections for %d gateway seats", e.MaxConnections, doc.Policy.GatewaySeats)
			}
		}
	}
}

func checkPolicy(faults *faultList, p Policy) {
	if !(p.FragmentationWeight >= 0 && p.FragmentationWeight <= 1) {
		faults.add("policy", "use 0 to 1", "fragmentation_weight is %v", p.FragmentationWeight)
	}
	checkRange := func(name string, value, low, high int64) {
		if value < low || value > high {
			faults.add("policy", fmt.Sprintf("use %d to %d", low, high), "%s is %d", name, value)
		}
	}
	checkRange("reclaim_bound_ms", p.ReclaimBoundMS, 1, MaxBoundMS)
	checkRange("max_wait_ms", p.MaxWaitMS, 1, MaxBoundMS)
	checkRange("gateway_seats", int64(p.GatewaySeats), 1, 1024)
	checkRange("quarantine_percent", int64(p.QuarantinePercent), 0, 100)
	checkRange("eject_percent", int64(p.EjectPercent), 0, 100)
	if err := p.StandardLargeShape.Validate(); err != nil {
		typed := errkind.As(err)
		faults.add("policy", typed.Remedy, "standard_large_shape: %s", typed.Message)
	}
}

// DefaultPolicy returns the policy of a new deployment.
func DefaultPolicy() Policy {
	return Policy{
		FragmentationWeight: 0.5,
		ReclaimBoundMS:      30_000,
		MaxWaitMS:           600_000,
		GatewaySeats:        6,
		QuarantinePercent:   20,
		EjectPercent:        50,
		StandardLargeShape: resource.Shape{
			Members:   4,
			PerMember: resource.Resources{Accelerators: 8, MilliCPU: 1000, MemoryMB: 1024},
			Adjacency: resource.AdjacencyRack,
		},
	}
}
