package processtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/standin"
)

// inForceBound bounds the time from the acceptance of a patch until it is in force on every reachable VM.
const inForceBound = 8 * time.Second

// submitHarmlessPatch submits a patch that drains a VM which is not part of the system, and returns the decision.
func (s *system) submitHarmlessPatch(v *vm, id string) (operatorclient.Decision, error) {
	return s.submitPatch(v, id, "vm-retired")
}

// drainVM submits a patch that drains the VM called drained, and returns the decision.
func (s *system) drainVM(v *vm, drained string) (operatorclient.Decision, error) {
	return s.submitPatch(v, "drain-"+drained, drained)
}

// submitPatch submits a patch with the id to the gateway of v. The patch drains the VM called drained.
func (s *system) submitPatch(v *vm, id, drained string) (operatorclient.Decision, error) {
	doc, err := s.operator(v).Document(s.t.Context(), nil)
	if err != nil {
		return operatorclient.Decision{}, err
	}
	value, err := json.Marshal(config.Drain{VM: drained, Reason: id})
	if err != nil {
		s.t.Fatal(err)
	}
	return s.operator(v).Submit(s.t.Context(), config.Patch{ID: id, Base: doc.Version, Author: "ana", Reason: "test",
		Ops: []config.Op{{Op: "set", Path: "drains/" + drained, Value: value}}})
}

// checkInForceEverywhere returns an error if a VM has an older version than version, according to the status that each
// gateway reports for its own VM.
func (s *system) checkInForceEverywhere(version uint64) error {
	for _, v := range s.vms {
		status, err := s.operator(v).Status(s.t.Context())
		if err != nil {
			return err
		}
		for _, entry := range status.VMs {
			// A version is a JSON number, or a string where it is unknown.
			if known, ok := entry.Version.(float64); entry.VM == v.name && (!ok || uint64(known) < version) {
				return fmt.Errorf("%s has version %v of %d", v.name, entry.Version, version)
			}
		}
	}
	return nil
}

// TestConfigurationReachesCutOffDomain guards against a failure domain that keeps an old configuration version while it
// is cut off from the log but not from its peers, and against a submission in that domain that is not reported as
// unknown.
func TestConfigurationReachesCutOffDomain(t *testing.T) {
	s := startSystem(t)
	var outage standin.GateFaults
	if err := json.Unmarshal([]byte(`{"down":true}`), &outage); err != nil {
		t.Fatal(err)
	}
	s.standins.Gates["cut"].SetFaults(outage)
	for i := range 3 {
		decision, err := s.submitHarmlessPatch(s.vms[0], fmt.Sprintf("while-cut-%d", i))
		if err != nil || decision.Outcome != configlog.Accepted {
			t.Fatalf("patch at a VM that reaches the log: got %+v, error %v; want accepted", decision, err)
		}
		took := s.waitFor("version on the cut-off VMs", inForceBound, func() error {
			return s.checkInForceEverywhere(decision.Version)
		})
		t.Logf("version %d in force everywhere after %v", decision.Version, took)
	}
	if _, err := s.submitHarmlessPatch(s.vms[4], "from-the-cut-domain"); !errkind.Is(err, errkind.Unknown) {
		t.Errorf("submission without the log gave %v, want kind %q", err, errkind.Unknown)
	}
}

// TestConfigurationDelayOfRacingOperators measures the delay of configuration changes while operators at two gateways
// submit competing patches. It guards against a version that is in force too late and against two patches that are both
// accepted for the same base version.
func TestConfigurationDelayOfRacingOperators(t *testing.T) {
	s := startSystem(t)
	var delays []time.Duration
	accepted := make(map[uint64]string)
	for i := range 20 {
		for j, v := range []*vm{s.vms[0], s.vms[5]} {
			id := fmt.Sprintf("race-%d-%d", i, j)
			began := time.Now()
			decision, err := s.submitHarmlessPatch(v, id)
			if errkind.Is(err, errkind.Conflict) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if acceptedID, exists := accepted[decision.Version]; exists {
				t.Fatalf("version %d was created by both %s and %s", decision.Version, acceptedID, id)
			}
			accepted[decision.Version] = id
			s.waitFor("version on all VMs", inForceBound, func() error {
				return s.checkInForceEverywhere(decision.Version)
			})
			delays = append(delays, time.Since(began))
		}
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	t.Logf("%d changes in force on 6 VMs: p50 %v, p99 %v", len(delays), delays[len(delays)/2], delays[len(delays)*99/100])
}
