package configlog

import (
	"context"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
)

// innerPeer implements Peer over the inner protocol.
type innerPeer struct {
	id        string
	address   string
	requester inner.Requester
}

// NewPeer returns the peer with the given id. address is the host:port of its inner protocol listener.
func NewPeer(id, address string, requester inner.Requester) Peer {
	return &innerPeer{id: id, address: address, requester: requester}
}

// ID implements Peer.
func (p *innerPeer) ID() string { return p.id }

// FetchRecords implements Peer.
func (p *innerPeer) FetchRecords(ctx context.Context, req inner.FetchRecords) (inner.FetchRecordsResponse, error) {
	resp, err := p.request(ctx, &inner.Request{FetchRecords: &req})
	if err != nil {
		return inner.FetchRecordsResponse{}, err
	}
	if resp.FetchRecords == nil {
		return inner.FetchRecordsResponse{}, p.unexpectedResponse()
	}
	return *resp.FetchRecords, nil
}

// FetchState implements Peer.
func (p *innerPeer) FetchState(ctx context.Context) (inner.FetchStateResponse, error) {
	resp, err := p.request(ctx, &inner.Request{FetchState: &inner.FetchState{}})
	if err != nil {
		return inner.FetchStateResponse{}, err
	}
	if resp.FetchState == nil {
		return inner.FetchStateResponse{}, p.unexpectedResponse()
	}
	return *resp.FetchState, nil
}

func (p *innerPeer) request(ctx context.Context, req *inner.Request) (*inner.Response, error) {
	resp, err := p.requester.Call(ctx, p.address, req)
	if err != nil {
		return nil, err
	}
	if resp.Error != nil {
		return nil, resp.Error
	}
	return resp, nil
}

func (p *innerPeer) unexpectedResponse() error {
	return errkind.New(errkind.Unavailable, "none needed: other peers are queried",
		"peer %s sent a response to a different request", p.id)
}

// Handle returns the response to a request of a peer for records or state. For every other kind of request both results
// are nil.
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

// Heartbeat sets the configuration fields of a heartbeat that this process is about to send.
func (f *Follower) Heartbeat(h *inner.Heartbeat) {
	status := f.Status()
	h.HasConfig, h.ConfigVersion, h.ConfigDigest, h.ConfigNext = status.HasConfig, status.Version, status.Digest, status.Next
}

// ObserveHeartbeat processes the configuration fields of a peer's heartbeat. It reports whether the peer holds a
// different document with the same version, in which case an operator must intervene.
func (f *Follower) ObserveHeartbeat(h *inner.Heartbeat) (diverged bool) {
	if !h.HasConfig {
		return false
	}
	f.ObservePeerOffset(h.ConfigNext)
	own := f.Status()
	if !own.HasConfig || own.Version != h.ConfigVersion || own.Digest == h.ConfigDigest {
		return false
	}
	f.options.Logger.Error().Str("vm", h.Member.VM).Uint64("version", own.Version).
		Msg("peer holds a different configuration with the same version")
	return true
}
