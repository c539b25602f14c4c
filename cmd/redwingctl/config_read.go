package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
)

// configReadCommands returns the commands that show the configuration and its history.
func configReadCommands() []command {
	return []command{
		{
			name: "config log", summary: "Lists the changes with author and reason",
			examples: []string{"config log", "config log -from 10 -to 20"},
			setup:    configLog,
		},
		{
			name: "config show", summary: "Prints the configuration document as JSON",
			examples: []string{"config show", "config show -version 12"},
			setup:    configShow,
		},
		{
			name: "config diff", arguments: "FROM TO", summary: "Shows the items that differ between two versions",
			examples: []string{"config diff 11 12"},
			setup:    configDiff,
		},
		{
			name: "config replay", summary: "Shows the accepted changes one by one with author, reason and ops",
			examples: []string{"config replay -from 10", "config replay -from 10 -to 12 -step"},
			setup:    configReplay,
		},
		{
			name: "config status", summary: "Shows the version in force on each entry VM",
			examples: []string{"config status"},
			setup:    configStatus,
		},
	}
}

// versionRange holds the flags that select a range of versions, both ends included.
type versionRange struct {
	from uint64
	to   string
}

func (r *versionRange) declare(f *flag.FlagSet) {
	f.Uint64Var(&r.from, "from", 0, "first `version`")
	f.StringVar(&r.to, "to", "", "last `version` (default: the one in force)")
}

// parseVersion parses a version. It returns nil, which stands for the version in force, for an empty text.
func parseVersion(text string) (*uint64, error) {
	if text == "" {
		return nil, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "give a version number", "invalid version %q", text)
	}
	return &version, nil
}

// entries reads the configuration log of the range.
func (r *versionRange) entries(inv *invocation) ([]operatorclient.LogEntry, error) {
	if err := inv.checkArgs(); err != nil {
		return nil, err
	}
	to, err := parseVersion(r.to)
	if err != nil {
		return nil, err
	}
	client, err := inv.client()
	if err != nil {
		return nil, err
	}
	return client.Log(inv.ctx, r.from, to)
}

// formatTime formats a time in milliseconds since the Unix epoch.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func configLog(f *flag.FlagSet) func(*invocation) error {
	var r versionRange
	r.declare(f)
	return func(inv *invocation) error {
		entries, err := r.entries(inv)
		if err != nil {
			return err
		}
		return inv.print(entries, func() {
			var rows [][]string
			for _, d := range entries {
				rows = append(rows, []string{fmt.Sprint(d.Version), string(d.Outcome), formatTime(d.At), d.Author, d.ID, d.Reason})
			}
			inv.columns([]string{"VERSION", "OUTCOME", "TIME", "AUTHOR", "PATCH", "REASON"}, rows)
		})
	}
}

func configShow(f *flag.FlagSet) func(*invocation) error {
	text := f.String("version", "", "`version` to show (default: the one in force)")
	return func(inv *invocation) error {
		if err := inv.checkArgs(); err != nil {
			return err
		}
		version, err := parseVersion(*text)
		if err != nil {
			return err
		}
		client, err := inv.client()
		if err != nil {
			return err
		}
		doc, err := client.Document(inv.ctx, version)
		if err != nil {
			return err
		}
		return inv.print(doc, func() {
			encoder := json.NewEncoder(inv.stdout)
			encoder.SetIndent("", "  ")
			_ = encoder.Encode(doc)
		})
	}
}

// diffResult is the JSON output of config diff.
type diffResult struct {
	From    uint64              `json:"from"`
	To      uint64              `json:"to"`
	Changes []operatorclient.Op `json:"changes"`
	// Summary has one line for each changed field.
	Summary []string `json:"summary"`
}

func configDiff(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs("FROM", "TO")
		if err != nil {
			return err
		}
		var documents [2]*operatorclient.Document
		for i, text := range inv.args {
			version, err := parseVersion(text)
			if err != nil {
				return err
			}
			if documents[i], err = client.Document(inv.ctx, version); err != nil {
				return err
			}
		}
		changes := config.Diff(documents[0], documents[1])
		result := diffResult{
			documents[0].Version, documents[1].Version, changes, config.Describe(documents[0], changes),
		}
		return inv.print(result, func() { inv.lines(result.Summary) })
	}
}

func configReplay(f *flag.FlagSet) func(*invocation) error {
	var r versionRange
	r.declare(f)
	step := f.Bool("step", false, "wait for Enter after each change")
	return func(inv *invocation) error {
		entries, err := r.entries(inv)
		if err != nil {
			return err
		}
		changes := []operatorclient.LogEntry{}
		for _, entry := range entries {
			if entry.Outcome == configlog.Accepted {
				changes = append(changes, entry)
			}
		}
		return inv.print(changes, func() { inv.replay(changes, *step) })
	}
}

// replay prints the changes one by one. If step is set, it waits for a line of input after each change but the last, and
// ends if there is none.
func (inv *invocation) replay(changes []operatorclient.LogEntry, step bool) {
	input := bufio.NewScanner(inv.stdin)
	for i, change := range changes {
		fmt.Fprintf(inv.stdout, "version %d  %s  %s\n  reason: %s\n", change.Version, formatTime(change.At), change.Author, change.Reason)
		inv.lines(change.Summary)
		if len(change.Summary) == 0 && len(change.Ops) > 0 {
			inv.lines([]string{fmt.Sprintf("%d ops; the previous version is no longer available", len(change.Ops))})
		}
		if step && i+1 < len(changes) && !input.Scan() {
			return
		}
	}
}

func configStatus(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs()
		if err != nil {
			return err
		}
		status, err := client.Status(inv.ctx)
		if err != nil {
			return err
		}
		return inv.print(status, func() {
			inv.followerFields(status.Self)
			var rows [][]string
			for _, vm := range status.VMs {
				rows = append(rows, []string{vm.VM, vm.FailureDomain, fmt.Sprint(vm.Version), vm.Digest})
			}
			inv.columns([]string{"VM", "FAILURE DOMAIN", "VERSION", "DIGEST"}, rows)
		})
	}
}

// followerFields prints the status of the responding gateway's own copy of the configuration.
func (inv *invocation) followerFields(s operatorclient.FollowerStatus) {
	version := "none"
	if s.HasConfig {
		version = fmt.Sprint(s.Version)
	}
	log := "reachable"
	if !s.LogReachable {
		log = "unreachable " + s.LogError
	}
	stopped := ""
	if s.Stopped != nil {
		stopped = s.Stopped.Detail
	}
	inv.fields([2]string{"version here", version}, [2]string{"log", log}, [2]string{"stopped", stopped},
		[2]string{"alarm", s.Alarm})
}
