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
		name: "health", summary: "Shows the health of a gateway and what it sees of the others; fails if it is not ready",
		examples: []string{"health", "health -addr 10.0.1.11:8081 -o json"},
		setup:    health,
	}
}

func health(*flag.FlagSet) func(*call) error {
	return func(c *call) error {
		client, err := c.clientFor()
		if err != nil {
			return err
		}
		h, err := client.Health(c.ctx)
		if err != nil {
			return err
		}
		if err := c.print(h, func() { c.healthTable(h) }); err != nil {
			return err
		}
		if !h.Ready {
			return errkind.New(errkind.Unavailable, "wait, or see its log", "the gateway is not ready")
		}
		return nil
	}
}

func (c *call) healthTable(h operatorclient.Health) {
	c.pairs([2]string{"ready", fmt.Sprint(h.Ready)})
	c.follower(h.Configuration)
	domains := make([]string, 0, len(h.ActiveSchedulers))
	for domain := range h.ActiveSchedulers {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	for _, domain := range domains {
		c.pairs([2]string{"active scheduler of " + domain, h.ActiveSchedulers[domain]})
	}
	var rows [][]string
	for _, p := range h.Peers {
		rows = append(rows, []string{p.VM, p.FailureDomain, p.Role, peerState(p)})
	}
	c.columns([]string{"PEER", "FAILURE DOMAIN", "ROLE", "STATE"}, rows)
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
