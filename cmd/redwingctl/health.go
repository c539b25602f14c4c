package main

import (
	"flag"
	"fmt"
	"sort"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorapi"
	"github.com/redwingthread/redwingthread/operatorclient"
)

func healthCommand() command {
	return command{
		name: "health", summary: "Shows the health of a gateway and of its peers; fails if the gateway is not ready",
		examples: []string{"health", "health -addr 10.0.1.11:8081 -o json"},
		setup:    health,
	}
}

func health(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs()
		if err != nil {
			return err
		}
		h, err := client.Health(inv.ctx)
		if err != nil {
			return err
		}
		if err := inv.print(h, func() { inv.healthTable(h) }); err != nil {
			return err
		}
		if !h.Ready {
			return errkind.New(errkind.Unavailable, "wait, or check the log of the gateway", "the gateway is not ready")
		}
		return nil
	}
}

// healthTable writes the health of the gateway and a table of its peers as text.
func (inv *invocation) healthTable(h operatorclient.Health) {
	inv.fields([2]string{"ready", fmt.Sprint(h.Ready)})
	inv.followerFields(h.Configuration)
	domains := make([]string, 0, len(h.ActiveSchedulers))
	for domain := range h.ActiveSchedulers {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	for _, domain := range domains {
		inv.fields([2]string{"active scheduler of " + domain, h.ActiveSchedulers[domain]})
	}
	var rows [][]string
	for _, p := range h.Peers {
		rows = append(rows, []string{p.VM, p.FailureDomain, p.Role, peerState(p)})
	}
	inv.columns([]string{"PEER", "FAILURE DOMAIN", "ROLE", "STATE"}, rows)
}

func peerState(p operatorapi.PeerHealth) string {
	switch {
	case !p.Reachable:
		return "unreachable"
	case p.Leaving:
		return "leaving"
	case !p.Ready:
		return "not ready"
	}
	return "ready"
}
