package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/devcerts"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/settings"
)

func checkSettingsCommand() command {
	return command{
		name: "check-settings", arguments: "gateway|scheduler FILE",
		summary:  "Checks a settings file and reports all faults, each with its line and remedy",
		examples: []string{"check-settings gateway /etc/redwing/gateway.toml", "check-settings scheduler scheduler.toml -o json"},
		setup:    checkSettings,
	}
}

// settingsReport is the JSON output of check-settings.
type settingsReport struct {
	File   string           `json:"file"`
	OK     bool             `json:"ok"`
	Faults []settings.Fault `json:"faults"`
}

func checkSettings(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		if err := inv.checkArgs("gateway|scheduler", "FILE"); err != nil {
			return err
		}
		path := inv.args[1]
		var err error
		switch inv.args[0] {
		case settings.RoleGateway:
			_, err = settings.LoadGateway(path)
		case settings.RoleScheduler:
			_, err = settings.LoadScheduler(path)
		default:
			return errkind.New(errkind.BadInput, "use gateway or scheduler", "unknown daemon %q", inv.args[0])
		}
		return inv.settingsReport(path, err)
	}
}

// settingsReport writes the report about the settings file at path: the faults listed in err, or "ok" if err is nil. It
// returns an error if there are faults. An err that is not a list of faults is returned unchanged.
func (inv *invocation) settingsReport(path string, err error) error {
	report := settingsReport{File: path, OK: err == nil, Faults: []settings.Fault{}}
	var list *settings.FaultList
	if errors.As(err, &list) {
		report.Faults = list.Faults
	} else if err != nil {
		return err
	}
	if err := inv.print(report, func() {
		for _, fault := range report.Faults {
			fmt.Fprintln(inv.stdout, path+":", fault)
		}
		if report.OK {
			fmt.Fprintln(inv.stdout, path+": ok")
		}
	}); err != nil {
		return err
	}
	if report.OK {
		return nil
	}
	return errkind.New(errkind.BadInput, "correct the reported lines", "settings file %s has %d faults", path, len(report.Faults))
}

func tokenCommand() command {
	return command{
		name: "token new", summary: "Prints a random token and its digest",
		examples: []string{"token new", "token new -o json"},
		setup: func(*flag.FlagSet) func(*invocation) error {
			return func(inv *invocation) error {
				if err := inv.checkArgs(); err != nil {
					return err
				}
				token, digest := operatorclient.NewToken()
				result := struct {
					Token  string `json:"token"`
					Digest string `json:"digest"`
				}{token, digest}
				return inv.print(result, func() { inv.fields([2]string{"token", token}, [2]string{"digest", digest}) })
			}
		},
	}
}

func devCertsCommand() command {
	return command{
		name: "dev-certs", arguments: "DIR", summary: "Generates keys and certificates for tests on one machine",
		examples: []string{"dev-certs keys -vms vm-a1,vm-a2"},
		setup:    devCerts,
	}
}

func devCerts(f *flag.FlagSet) func(*invocation) error {
	vms := f.String("vms", "vm-1", "`names` of the VMs, separated by commas")
	ips := f.String("ips", "127.0.0.1", "IP `addresses` that the certificates are valid for, separated by commas")
	return func(inv *invocation) error {
		if err := inv.checkArgs("DIR"); err != nil {
			return err
		}
		var addresses []net.IP
		for _, text := range strings.Split(*ips, ",") {
			ip := net.ParseIP(text)
			if ip == nil {
				return errkind.New(errkind.BadInput, "write IP addresses separated by commas", "%q is not an IP address", text)
			}
			addresses = append(addresses, ip)
		}
		files, err := devcerts.Write(inv.args[0], strings.Split(*vms, ","), addresses, time.Now())
		if err != nil {
			return err
		}
		return inv.print(files, func() {
			for _, file := range files {
				fmt.Fprintln(inv.stdout, file)
			}
		})
	}
}

func versionCommand() command {
	return command{
		name: "version", summary: "Prints the version of this program",
		examples: []string{"version"},
		setup: func(*flag.FlagSet) func(*invocation) error {
			return func(inv *invocation) error {
				v := programVersion()
				return inv.print(v, func() { fmt.Fprintf(inv.stdout, "redwingctl %s %s %s\n", v.Version, v.Revision, v.Go) })
			}
		},
	}
}

// buildVersion is the version information that the Go tool embeds in the binary.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func programVersion() buildVersion {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	v := buildVersion{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
