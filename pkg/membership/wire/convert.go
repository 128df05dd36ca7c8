package wire

import (
	membershipv1 "github.com/dapplespindle/dapplespindle/api/membership/v1"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

func toProto(m *membership.Message) *membershipv1.Datagram {
	d := &membershipv1.Datagram{From: entryToProto(&m.From)}
	if len(m.Updates) > 0 {
		d.Updates = make([]*membershipv1.Entry, len(m.Updates))
	}
	for i := range m.Updates {
		d.Updates[i] = entryToProto(&m.Updates[i])
	}
	switch b := m.Body.(type) {
	case membership.Ping:
		d.Body = &membershipv1.Datagram_Ping{Ping: &membershipv1.Ping{Sequence: b.Sequence}}
	case membership.PingRequest:
		d.Body = &membershipv1.Datagram_PingRequest{PingRequest: &membershipv1.PingRequest{
			Sequence: b.Sequence,
			Target:   addressBytes(b.Target),
		}}
	case membership.Ack:
		d.Body = &membershipv1.Datagram_Ack{Ack: &membershipv1.Ack{Sequence: b.Sequence}}
	case membership.SyncRequest:
		d.Body = &membershipv1.Datagram_SyncRequest{SyncRequest: &membershipv1.SyncRequest{
			Sequence:   b.Sequence,
			PrefixBits: uint32(b.Window.Bits),
			Prefix:     b.Window.Prefix,
			Digests:    b.Digests,
		}}
	case membership.SyncReply:
		d.Body = &membershipv1.Datagram_SyncReply{SyncReply: &membershipv1.SyncReply{
			Sequence: b.Sequence,
			Wanted:   b.Wanted,
			Members:  b.Members,
		}}
	case membership.SyncPush:
		d.Body = &membershipv1.Datagram_SyncPush{SyncPush: &membershipv1.SyncPush{}}
	}
	return d
}

func entryToProto(e *membership.Entry) *membershipv1.Entry {
	return &membershipv1.Entry{
		Address:       addressBytes(e.Address),
		Process:       e.Process,
		Incarnation:   e.Incarnation,
		State:         membershipv1.State(e.State),
		Leaving:       e.Leaving,
		FailureDomain: e.FailureDomain,
		Metadata:      e.Metadata,
	}
}

func fromProto(d *membershipv1.Datagram) (*membership.Message, error) {
	m := new(membership.Message)
	var err error
	if m.From, err = entryFromProto(d.From); err != nil {
		return nil, err
	}
	if len(d.Updates) > 0 {
		m.Updates = make([]membership.Entry, len(d.Updates))
	}
	for i, u := range d.Updates {
		if m.Updates[i], err = entryFromProto(u); err != nil {
			return nil, err
		}
	}
	m.Body, err = bodyFromProto(d)
	return m, err
}

func entryFromProto(e *membershipv1.Entry) (membership.Entry, error) {
	if e == nil {
		return membership.Entry{}, ErrMalformed
	}
	address, ok := parseAddress(e.Address)
	if !ok || e.State < membershipv1.State_STATE_ALIVE || e.State > membershipv1.State_STATE_DEAD {
		return membership.Entry{}, ErrMalformed
	}
	out := membership.Entry{
		Address:       address,
		Process:       e.Process,
		Incarnation:   e.Incarnation,
		State:         membership.State(e.State),
		Leaving:       e.Leaving,
		FailureDomain: e.FailureDomain,
		Metadata:      e.Metadata,
	}
	if !out.Valid() {
		return membership.Entry{}, ErrMalformed
	}
	return out, nil
}

func bodyFromProto(d *membershipv1.Datagram) (membership.Body, error) {
	switch b := d.Body.(type) {
	case *membershipv1.Datagram_Ping:
		return membership.Ping{Sequence: b.Ping.GetSequence()}, nil
	case *membershipv1.Datagram_PingRequest:
		target, ok := parseAddress(b.PingRequest.GetTarget())
		if !ok {
			return nil, ErrMalformed
		}
		return membership.PingRequest{Sequence: b.PingRequest.GetSequence(), Target: target}, nil
	case *membershipv1.Datagram_Ack:
		return membership.Ack{Sequence: b.Ack.GetSequence()}, nil
	case *membershipv1.Datagram_SyncRequest:
		return syncRequestFromProto(b.SyncRequest)
	case *membershipv1.Datagram_SyncReply:
		return membership.SyncReply{
			Sequence: b.SyncReply.GetSequence(),
			Wanted:   b.SyncReply.GetWanted(),
			Members:  b.SyncReply.GetMembers(),
		}, nil
	case *membershipv1.Datagram_SyncPush:
		return membership.SyncPush{}, nil
	}
	return nil, ErrMalformed
}

func syncRequestFromProto(b *membershipv1.SyncRequest) (membership.Body, error) {
	bits := b.GetPrefixBits()
	if bits > membership.MaxWindowBits || b.GetPrefix()>>bits != 0 {
		return nil, ErrMalformed
	}
	return membership.SyncRequest{
		Sequence: b.GetSequence(),
		Window:   membership.Window{Bits: uint8(bits), Prefix: b.GetPrefix()},
		Digests:  b.GetDigests(),
	}, nil
}
