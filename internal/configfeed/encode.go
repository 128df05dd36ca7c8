// Package configfeed runs the configuration replication of package configsync on the
// control goroutine: it reads and watches the platform and exchanges messages with
// peers over gRPC.
package configfeed

import (
	"time"

	pb "github.com/dapplespindle/dapplespindle/api/configsync/v1"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
)

// encode returns the envelope for a message sent by the host at from.
func encode(from string, m configsync.Message) *pb.Envelope {
	env := &pb.Envelope{From: from}
	switch m := m.(type) {
	case configsync.Summary:
		env.Message = &pb.Envelope_Summary{Summary: encodeSummary(m)}
	case configsync.Buckets:
		env.Message = &pb.Envelope_Buckets{Buckets: &pb.Buckets{Hashes: m.Hashes}}
	case configsync.Index:
		env.Message = &pb.Envelope_Index{Index: &pb.Index{Mask: m.Mask, Entries: encodeKnown(m.Entries)}}
	case configsync.Announce:
		env.Message = &pb.Envelope_Announce{Announce: &pb.Announce{Range: encodeRange(m.Range), Entries: encodeKnown(m.Entries)}}
	case configsync.Want:
		env.Message = &pb.Envelope_Want{Want: &pb.Want{Range: encodeRange(m.Range), Entries: encodeKnown(m.Entries)}}
	case configsync.Items:
		env.Message = &pb.Envelope_Items{Items: encodeItems(m)}
	}
	return env
}

func encodeSummary(m configsync.Summary) *pb.Summary {
	return &pb.Summary{
		Frontier: m.Frontier,
		Digest:   m.Digest,
		Ready:    m.Ready,
		Reply:    m.Reply,
		Informed: m.Informed,
		AgeMs:    uint64(m.Age.Milliseconds()),
	}
}

func encodeRange(r configsync.Range) *pb.Range {
	if r == (configsync.Range{}) {
		return nil
	}
	return &pb.Range{Base: r.Base, To: r.To}
}

func encodeID(id configsync.ID) *pb.VersionId {
	if id == (configsync.ID{}) {
		return nil
	}
	return &pb.VersionId{Revision: id.Revision, Digest: id.Digest}
}

func encodeKnown(entries []configsync.Known) []*pb.Known {
	out := make([]*pb.Known, 0, len(entries))
	for _, k := range entries {
		known := &pb.Known{Key: k.Key, Newest: encodeID(k.Newest), Same: k.Newest == k.InForce}
		if !known.Same {
			known.InForce = encodeID(k.InForce)
		}
		out = append(out, known)
	}
	return out
}

func encodeItems(m configsync.Items) *pb.Items {
	out := &pb.Items{Range: encodeRange(m.Range), More: m.More, Verify: m.Verify}
	for _, it := range m.Versions {
		item := &pb.Item{Key: it.Key, Id: encodeID(it.ID), Deleted: it.Deleted, Value: it.Value}
		if d := it.Delta; d != nil {
			item.Delta = &pb.Delta{Base: encodeID(d.Base), Prefix: uint32(d.Prefix), Suffix: uint32(d.Suffix), Middle: d.Middle}
		}
		out.Versions = append(out.Versions, item)
	}
	return out
}

// decode returns the message in an envelope, or nil if this release does not know
// its type. The content is untrusted: configsync validates it.
func decode(env *pb.Envelope) configsync.Message {
	switch m := env.GetMessage().(type) {
	case *pb.Envelope_Summary:
		return decodeSummary(m.Summary)
	case *pb.Envelope_Buckets:
		return configsync.Buckets{Hashes: m.Buckets.GetHashes()}
	case *pb.Envelope_Index:
		return configsync.Index{Mask: m.Index.GetMask(), Entries: decodeKnown(m.Index.GetEntries())}
	case *pb.Envelope_Announce:
		return configsync.Announce{Range: decodeRange(m.Announce.GetRange()), Entries: decodeKnown(m.Announce.GetEntries())}
	case *pb.Envelope_Want:
		return configsync.Want{Range: decodeRange(m.Want.GetRange()), Entries: decodeKnown(m.Want.GetEntries())}
	case *pb.Envelope_Items:
		return decodeItems(m.Items)
	}
	return nil
}

// maxAge is the maximum accepted Summary.Age.
const maxAge = 24 * time.Hour

func decodeSummary(m *pb.Summary) configsync.Summary {
	age := min(m.GetAgeMs(), uint64(maxAge.Milliseconds()))
	return configsync.Summary{
		Frontier: m.GetFrontier(),
		Digest:   m.GetDigest(),
		Ready:    m.GetReady(),
		Reply:    m.GetReply(),
		Informed: m.GetInformed(),
		Age:      time.Duration(age) * time.Millisecond,
	}
}

func decodeRange(r *pb.Range) configsync.Range {
	return configsync.Range{Base: r.GetBase(), To: r.GetTo()}
}

func decodeID(id *pb.VersionId) configsync.ID {
	return configsync.ID{Revision: id.GetRevision(), Digest: id.GetDigest()}
}

func decodeKnown(entries []*pb.Known) []configsync.Known {
	out := make([]configsync.Known, 0, len(entries))
	for _, e := range entries {
		k := configsync.Known{Key: e.GetKey(), Newest: decodeID(e.GetNewest()), InForce: decodeID(e.GetInForce())}
		if e.GetSame() {
			k.InForce = k.Newest
		}
		out = append(out, k)
	}
	return out
}

func decodeItems(m *pb.Items) configsync.Items {
	out := configsync.Items{Range: decodeRange(m.GetRange()), More: m.GetMore(), Verify: m.GetVerify()}
	for _, it := range m.GetVersions() {
		item := configsync.Item{Version: configsync.Version{
			Key: it.GetKey(), ID: decodeID(it.GetId()), Deleted: it.GetDeleted(), Value: it.GetValue(),
		}}
		if d := it.GetDelta(); d != nil {
			item.Delta = &configsync.Delta{Base: decodeID(d.GetBase()), Prefix: int(d.GetPrefix()), Suffix: int(d.GetSuffix()), Middle: d.GetMiddle()}
		}
		out.Versions = append(out.Versions, item)
	}
	return out
}
