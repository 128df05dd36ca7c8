package members

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// waitTimeout is the timeout of every wait; the tests do not assert durations.
const waitTimeout = 20 * time.Second

const testPeriod = 80 * time.Millisecond

type list struct{ *HostList }

func (l list) Hosts(context.Context) (*HostList, error) { return l.HostList, nil }

// freeAddresses returns loopback addresses with free UDP ports.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	is := is.New(t)
	var out []netip.AddrPort
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		defer func() { is.NoErr(c.Close()) }()
		out = append(out, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return out
}

func start(t *testing.T, a netip.AddrPort, l list, key string) *Members {
	is := is.New(t)
	loop := control.NewLoop()
	m, err := New(Config{
		Address:        a,
		FailureDomain:  "a",
		Keys:           [][]byte{[]byte(key)},
		Period:         testPeriod,
		PauseThreshold: waitTimeout, // delays on a busy machine must not count as a pause
		Hosts:          l,
		Loop:           loop,
		Events:         event.Discard{},
	})
	is.NoErr(err)
	is.NoErr(m.Start())
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	t.Cleanup(func() {
		m.transport.stop()
		m.cancel()
		cancel()
	})
	return m
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", waitTimeout, what)
}

const (
	key      = "0123456789abcdef"
	otherKey = "fedcba9876543210"
)

func TestHostsFindEachOtherOverSockets(t *testing.T) {
	is := is.New(t)
	addresses := freeAddresses(t, 7)
	l := list{&HostList{Revision: 1}}
	for _, a := range addresses[:2] {
		l.HostList.Hosts = append(l.HostList.Hosts, membership.ListedHost{Address: a})
	}
	var all []*Members
	for _, a := range addresses[:6] {
		m := start(t, a, l, key)
		all = append(all, m)
	}
	outsider := start(t, addresses[6], l, otherKey)
	count := func(n int) func() bool {
		return func() bool {
			for _, m := range all {
				if m.Snapshot().Count() != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all six are known to all", count(6))
	is.True(!all[0].Resuming())
	is.NoErr(all[1].SetMetadata([]byte("revision 3")))
	eventually(t, "metadata arrive", func() bool {
		return string(all[0].Snapshot().Find(addresses[1]).Metadata) == "revision 3"
	})
	is.NoErr(all[5].Leave(context.Background()))
	eventually(t, "the leaving host is not usable", count(5))
	all[5].Stop(context.Background())
	gone := all[5]
	all = all[:5]
	eventually(t, "the stopped host is dead", func() bool {
		return all[0].Snapshot().Find(addresses[5]).State == membership.Dead
	})
	restarted := start(t, addresses[5], l, key)
	all = append(all, restarted)
	eventually(t, "the new process is alive", count(6))
	is.True(all[0].Snapshot().Find(addresses[5]).Process != gone.Snapshot().Self.Process)
	eventually(t, "datagrams with the other key were refused", func() bool { return all[0].Stats().Refused > 0 })
	is.Equal(all[0].Snapshot().Find(addresses[6]), nil)
	is.Equal(outsider.Snapshot().Count(), 1)
}

func TestKilledHostIsDetectedOverSockets(t *testing.T) {
	addresses := freeAddresses(t, 4)
	l := list{&HostList{Revision: 1}}
	var all []*Members
	for _, a := range addresses {
		l.HostList.Hosts = append(l.HostList.Hosts, membership.ListedHost{Address: a})
	}
	for _, a := range addresses {
		m := start(t, a, l, key)
		all = append(all, m)
	}
	eventually(t, "all are known", func() bool { return all[0].Snapshot().Count() == 4 })
	all[3].transport.stop()
	eventually(t, "the killed host is dead", func() bool {
		m := all[0].Snapshot().Find(addresses[3])
		return m != nil && m.State == membership.Dead
	})
}

func TestParseKeys(t *testing.T) {
	is := is.New(t)
	keys, err := ParseKeys("00112233445566778899aabbccddeeff, ffeeddccbbaa99887766554433221100")
	is.NoErr(err)
	is.Equal(len(keys), 2)
	for _, bad := range []string{"zz", "0011", "00112233445566778899aabbccddeeff,"} {
		_, err := ParseKeys(bad)
		is.True(err != nil)
	}
	keys, err = ParseKeys("")
	is.NoErr(err)
	is.Equal(len(keys), 0)
}
