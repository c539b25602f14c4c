package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
)

// TestMuxRejectsKindsWithoutHandler guards against a daemon that panics on a kind of request that only the other role
// handles.
func TestMuxRejectsKindsWithoutHandler(t *testing.T) {
	cases := map[string]*inner.Request{
		"empty":     {},
		"forward":   {Forward: &inner.Forward{}},
		"records":   {FetchRecords: &inner.FetchRecords{}},
		"state":     {FetchState: &inner.FetchState{}},
		"job query": {JobQuery: &inner.JobQuery{}},
	}
	for name, req := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := (&Mux{}).Handle(context.Background(), inner.Member{}, req)
			if !errkind.Is(err, errkind.BadInput) {
				t.Fatalf("got %v, want kind %q", err, errkind.BadInput)
			}
		})
	}
}

// TestMuxContainsPanics guards against a peer's message that takes down the daemon.
func TestMuxContainsPanics(t *testing.T) {
	mux := &Mux{JobQuery: func(context.Context, *inner.JobQuery) (*inner.JobQueryResponse, error) { panic("nil pointer") }}
	_, err := mux.Handle(t.Context(), inner.Member{VM: "vm-2"}, &inner.Request{JobQuery: &inner.JobQuery{}})
	if !errkind.Is(err, errkind.Internal) {
		t.Fatalf("got %v, want kind %q", err, errkind.Internal)
	}
}

// TestHeartbeatResponseCarriesOwnState guards against a receiver that sees the sender live while the sender does not see
// the receiver: one exchange must inform both ends. It also guards against a heartbeat without an address that is
// accepted.
func TestHeartbeatResponseCarriesOwnState(t *testing.T) {
	self := NewIncarnation(inner.Member{VM: "vm-1", Role: "gateway", FailureDomain: "fd-a", Address: "127.0.0.1:1"})
	mux := &Mux{}
	m := NewMembership(MembershipOptions{
		Self:          self,
		Logger:        zerolog.Nop(),
		FillHeartbeat: func(heartbeat *inner.Heartbeat) { heartbeat.ConfigVersion = 7 },
	}, mux)
	peer := NewIncarnation(inner.Member{VM: "vm-2", Role: "gateway", FailureDomain: "fd-a", Address: "127.0.0.1:2"})
	resp, err := mux.Handle(t.Context(), peer, &inner.Request{Heartbeat: &inner.Heartbeat{Member: peer, Ready: true}})
	if err != nil || resp.Heartbeat.ConfigVersion != 7 || resp.Heartbeat.Member != self {
		t.Fatalf("got response %+v, error %v, want the receiver's member and configuration version 7", resp, err)
	}
	live := m.Live("gateway")
	if len(live) != 1 || live[0].Member != peer || time.Since(live[0].LastSeen) > time.Minute {
		t.Fatalf("live gateways are %+v, want the sender, seen just now", live)
	}
	if _, err := mux.Handle(t.Context(), peer, &inner.Request{Heartbeat: &inner.Heartbeat{}}); err == nil {
		t.Fatal("heartbeat without an address was accepted")
	}
}
