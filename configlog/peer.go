package configlog

import (
	"context"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
)

// innerPeer is a Peer over the inner protocol.
type innerPeer struct {
	id      string
	address string
	caller  inner.Caller
}

// NewPeer returns the peer with an id whose inner protocol listener is at address, host:port.
func NewPeer(id, address string, caller inner.Caller) Peer {
	return &innerPeer{id: id, address: address, caller: caller}
}

// ID implements Peer.
func (p *innerPeer) ID() string { return p.id }

// FetchRecords implements Peer.
func (p *innerPeer) FetchRecords(ctx context.Context, req inner.FetchRecords) (inner.FetchRecordsResponse, error) {
	resp, err := p.call(ctx, &inner.Request{FetchRecords: &req})
	if err != nil {
		return inner.FetchRecordsResponse{}, err
	}
	if resp.FetchRecords == nil {
		return inner.FetchRecordsResponse{}, p.wrongAnswer()
	}
	return *resp.FetchRecords, nil
}

// FetchState implements Peer.
func (p *innerPeer) FetchState(ctx context.Context) (inner.FetchStateResponse, error) {
	resp, err := p.call(ctx, &inner.Request{FetchState: &inner.FetchState{}})
	if err != nil {
		return inner.FetchStateResponse{}, err
	}
	if resp.FetchState == nil {
		return inner.FetchStateResponse{}, p.wrongAnswer()
	}
	return *resp.FetchState, nil
}

func (p *innerPeer) call(ctx context.Context, req *inner.Request) (*inner.Response, error) {
	resp, err := p.caller.Call(ctx, p.address, req)
	if err != nil {
		return nil, err
	}
	if resp.Error != nil {
		return nil, resp.Error
	}
	return resp, nil
}

func (p *innerPeer) wrongAnswer() error {
	return errkind.New(errkind.Unavailable, "another peer is asked", "peer %s answered another request", p.id)
}

// Handle answers the requests of peers for records and state. It returns nil for every other request, which its caller
// must answer.
func (f *Follower) Handle(req *inner.Request) (*inner.Response, error) {
	switch {
	case req.FetchRecords != nil:
		resp := f.FetchRecords(*req.FetchRecords)
		return &inner.Response{FetchRecords: &resp}, nil
	case req.FetchState != nil:
		resp, err := f.FetchState()
		if err != nil {
			return nil, err
		}
		return &inner.Response{FetchState: &resp}, nil
	}
	return nil, nil
}

// Heartbeat fills in what a heartbeat tells about the configuration.
func (f *Follower) Heartbeat(h *inner.Heartbeat) {
	status := f.Status()
	h.HasConfig, h.ConfigVersion, h.ConfigDigest, h.ConfigNext = status.HasConfig, status.Version, status.Digest, status.Next
}

// HeardHeartbeat takes the hint of a peer's heartbeat and reports whether the peer holds another document under the same
// version, which needs an operator.
func (f *Follower) HeardHeartbeat(h *inner.Heartbeat) (diverged bool) {
	if !h.HasConfig {
		return false
	}
	f.Hint(h.ConfigNext)
	own := f.Status()
	if !own.HasConfig || own.Version != h.ConfigVersion || own.Digest == h.ConfigDigest {
		return false
	}
	f.settings.Logger.Error().Str("vm", h.Member.VM).Uint64("version", own.Version).
		Msg("a peer holds another configuration under the same version")
	return true
}
