package configsync

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

func TestMergeIsOrderIndependent(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	versions := []Version{
		NewVersion("services/a", 1, false, document("a", 1)),
		NewVersion("services/a", 2, false, []byte(`{}`)),
		NewVersion("services/a", 3, false, document("a", 3)),
		NewVersion("services/a", 3, false, document("a", 4)),
		NewVersion("services/a", 4, false, document("b", 4)),
		NewVersion("services/b", 5, false, document("b", 5)),
		NewVersion("services/b", 6, true, nil),
		NewVersion("hosts", 7, false, []byte(`1`)),
	}
	digests := make(map[uint64]bool)
	for range 200 {
		s := NewState()
		for range 2 {
			for _, i := range r.Perm(len(versions)) {
				s.Merge(versions[i])
			}
		}
		digests[s.Digest()] = true
		is.Equal(len(s.InForce()), 1)
		is.Equal(s.InForceID("services/a"), max3(versions[2].ID, versions[3].ID))
	}
	is.Equal(len(digests), 1) // the result does not depend on the order of merges
}

func max3(a, b ID) ID {
	if a.Compare(b) > 0 {
		return a
	}
	return b
}

func TestInvalidVersionDoesNotReplaceCurrent(t *testing.T) {
	is := is.New(t)
	s := NewState()
	good := NewVersion("services/a", 1, false, document("a", 1))
	is.True(s.Merge(good).InForce)
	got := s.Merge(NewVersion("services/a", 2, false, []byte(`{"name":"a"}`)))
	is.True(got.Invalid != nil)
	is.True(!got.InForce)
	is.Equal(s.InForceID("services/a"), good.ID)
	is.Equal(s.status("services/a", 2), Rejected)
	is.Equal(s.status("services/a", 1), Current)
	is.Equal(s.status("services/a", 3), Unseen)
}

func TestOlderVersionIsNotSetInForce(t *testing.T) {
	is := is.New(t)
	newer := NewVersion("services/a", 2, true, nil)
	older := NewVersion("services/a", 1, true, nil)
	e := &entry{inForce: &newer}
	is.True(!e.setInForce(&older, nil))
	is.Equal(e.inForce.ID, newer.ID)
}

func TestDelta(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]string{{"", ""}, {"abc", "abc"}, {"abc", "abXc"}, {"aaa", "aa"}, {"aa", "aaa"}, {"", "x"}, {"x", ""}} {
		old := &Version{Value: []byte(pair[0])}
		got, ok := newDelta(old, []byte(pair[1])).apply(old.Value)
		is.True(ok)
		is.Equal(string(got), pair[1])
	}
	_, ok := Delta{Prefix: 2, Suffix: 2}.apply([]byte("abc"))
	is.True(!ok)
}

func TestWatermark(t *testing.T) {
	is := is.New(t)
	w := Watermark{Frontier: 7, Digest: 9, Ready: true}
	is.Equal(len(w.Encode()), WatermarkBytes)
	got, err := DecodeWatermark(w.Encode())
	is.NoErr(err)
	is.Equal(got, w)
	_, err = DecodeWatermark([]byte("short"))
	is.True(err != nil)
}

func TestProgress(t *testing.T) {
	is := is.New(t)
	n := NewNode(epoch, Options{Rand: rand.New(rand.NewPCG(1, 1))})
	n.state.Merge(NewVersion("services/a", 5, false, document("a", 1)))
	members := []MemberWatermark{
		{Member{Address: "x"}, Watermark{Frontier: 5, Ready: true}},
		{Member{Address: "y"}, Watermark{Frontier: 4, Ready: true}},
	}
	got := n.Progress("services/a", 5, members)
	is.Equal(got, Progress{Current, []string{"y"}})
	is.True(!got.Complete())
	is.True(n.Progress("services/a", 5, members[:1]).Complete())
}

func TestDamagedItemIsDropped(t *testing.T) {
	is := is.New(t)
	n := NewNode(epoch, Options{Rand: rand.New(rand.NewPCG(1, 1))})
	v := NewVersion("services/a", 1, false, document("a", 1))
	v.Value = []byte(strings.Replace(string(v.Value), "9001", "9002", 1))
	n.Receive(epoch, "peer", Items{Range: Range{0, 1}, Versions: []Item{{Version: v}}})
	is.Equal(n.state.Frontier(), uint64(0))
	is.Equal(len(n.state.Keys()), 0)
}

func TestResumeCatchesUpFirst(t *testing.T) {
	is := is.New(t)
	n := NewNode(epoch, Options{Self: Member{"a", "d"}, Rand: rand.New(rand.NewPCG(1, 1))})
	n.SetMembers(epoch, nil)
	n.ReadDone(epoch, ReadResult{})
	is.True(n.Ready())
	n.SetMembers(epoch, []Member{{"b", "d"}})
	later := epoch.Add(time.Minute)
	n.Receive(later, "b", Announce{})
	is.True(n.CatchingUp())
	n.Receive(later, "b", Summary{Ready: true})
	is.True(!n.CatchingUp())
}

// TestInvalidDocumentIsKnown guards against a document of which a host knows only invalid versions
// and that looks like none: its requests were taken by another service, or refused as unknown.
func TestInvalidDocumentIsKnown(t *testing.T) {
	is := is.New(t)
	bad := func(revision uint64, text string) Version {
		return NewVersion("services/a", revision, false, []byte(text))
	}
	for text, want := range map[string]config.Match{
		`{"name":"a_b","match":{"host":"x.example","path_prefix":"/a/"}}`: {Host: "x.example", PathPrefix: "/a/"},
		`{"name":"a","match":{"path_prefix":"/a/"},"rules":[]}`:           {PathPrefix: "/a/"},
		`{"name":"a","match":{"host":"x.example","path_prefix":"a/"}}`:    {Host: "x.example", PathPrefix: "/a/"},
		`{"name":"a","match":{"host":["x.example"],"path_prefix":"/a/"}}`: {PathPrefix: "/a/"},
		`{"name":"a","match":{"host":"x.example","path_prefix":["/a/"]}}`: {Host: "x.example", PathPrefix: "/", PathUnknown: true},
		`{"name":"a","match":{"host":"x.example"}}`:                       {Host: "x.example", PathPrefix: "/", PathUnknown: true},
		`{"name":"a","match":"/a/"}`:                                      {PathPrefix: "/", PathUnknown: true},
		`{"name":"a"`:                                                     {PathPrefix: "/", PathUnknown: true},
		``:                                                                {PathPrefix: "/", PathUnknown: true},
	} {
		s := NewState()
		is.True(s.Merge(bad(1, text)).Unread)
		got := s.InForce()
		is.Equal(len(got), 1)
		is.Equal(got[0].Match, want)
		is.True(got[0].Unserved != "")
		is.NoErr(got[0].Validate())
		is.True(s.Merge(NewVersion("services/a", 2, false, document("a", 2))).InForce) // a valid one replaces it
		is.Equal(s.InForce()[0].Unserved, "")
		is.True(!s.Merge(bad(3, text)).Unread) // and stays
		is.Equal(s.InForce()[0].Revision, uint64(2))
		is.True(s.Merge(NewVersion("services/a", 4, true, nil)).InForce)
		is.Equal(len(s.InForce()), 0) // a deletion takes it away
		is.True(s.Merge(bad(5, text)).Unread)
		is.Equal(len(s.InForce()), 1)
		is.True(s.Merge(NewVersion("services/a", 6, true, nil)).InForce)
		is.Equal(len(s.InForce()), 0)
	}
}
