package configfeed

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/dapplespindle/dapplespindle/api/configsync/v1"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// FuzzDeliver passes arbitrary bytes to a node as a message of a peer. The node must
// not panic, and its current versions must not regress.
func FuzzDeliver(f *testing.F) {
	known := configsync.Version{Key: "services/a", ID: configsync.ID{Revision: 5, Digest: 7}}
	seeds := []configsync.Message{
		configsync.Summary{Frontier: 1, Digest: 2, Reply: true, Informed: true, Age: time.Second},
		configsync.Buckets{Hashes: make([]uint64, 64)},
		configsync.Index{Mask: 3, Entries: []configsync.Known{{Key: "services/a"}}},
		configsync.Announce{Range: configsync.Range{To: 9}, Entries: []configsync.Known{{Key: "services/a", Newest: known.ID}}},
		configsync.Want{Entries: []configsync.Known{{Key: "services/a"}}},
		configsync.Items{Versions: []configsync.Item{{Version: known, Delta: &configsync.Delta{Prefix: 1, Suffix: 2}}}},
	}
	for _, m := range seeds {
		b, err := proto.Marshal(encode("peer", m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		env := new(pb.Envelope)
		if proto.Unmarshal(b, env) != nil {
			return
		}
		m := decode(env)
		if m == nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		n := configsync.NewNode(now, configsync.Options{Rand: rand.New(rand.NewPCG(1, 1))})
		n.SetMembers(now, []configsync.Member{{Address: "peer", FailureDomain: "d"}})
		n.ReadDone(now, configsync.ReadResult{Revision: 3, Versions: []configsync.Version{
			configsync.NewVersion("services/a", 3, false, document("a", 1)),
		}})
		before := n.State().InForceID("services/a")
		for range 2 {
			for _, e := range n.Receive(now, "peer", m).Events {
				if e.Code == event.ConfigFellBack {
					t.Fatal("node reported that a current version regressed")
				}
			}
		}
		if n.State().InForceID("services/a").Compare(before) < 0 {
			t.Fatal("the current version is older than before")
		}
	})
}

// TestEncodeDecode checks that each type of message survives encoding and decoding.
func TestEncodeDecode(t *testing.T) {
	id := configsync.ID{Revision: 5, Digest: 7}
	r := configsync.Range{Base: 1, To: 5}
	entries := []configsync.Known{{Key: "k", Newest: id, InForce: id}, {Key: "l", Newest: id}, {Key: "m"}}
	for _, m := range []configsync.Message{
		configsync.Summary{Frontier: 1, Digest: 2, Ready: true, Reply: true, Informed: true, Age: time.Second},
		configsync.Buckets{Hashes: []uint64{1, 2}},
		configsync.Index{Mask: 3, Entries: entries},
		configsync.Announce{Range: r, Entries: entries},
		configsync.Want{Range: r, Entries: entries},
		configsync.Items{Range: r, More: true, Verify: true, Versions: []configsync.Item{
			{Version: configsync.Version{Key: "k", ID: id, Value: []byte("v")}},
			{Version: configsync.Version{Key: "l", ID: id}, Delta: &configsync.Delta{Base: id, Prefix: 1, Suffix: 2, Middle: []byte("x")}},
			{Version: configsync.Version{Key: "m", ID: id, Deleted: true}},
		}},
	} {
		b, err := proto.Marshal(encode("peer", m))
		if err != nil {
			t.Fatal(err)
		}
		env := new(pb.Envelope)
		if err := proto.Unmarshal(b, env); err != nil {
			t.Fatal(err)
		}
		if got := decode(env); !reflect.DeepEqual(got, m) {
			t.Errorf("%#v became %#v", m, got)
		}
	}
}
