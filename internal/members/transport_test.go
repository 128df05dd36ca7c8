package members

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	membershipv1 "github.com/dapplespindle/dapplespindle/api/membership/v1"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func selfEntry(a netip.AddrPort) membership.Entry {
	return membership.Entry{
		Address: a, Process: 1 << 60, Incarnation: 1_700_000_000_000, State: membership.Alive, FailureDomain: "caruaru",
	}
}

// BenchmarkExchangeUDP is a ping and its ack over datagrams with a key.
func BenchmarkExchangeUDP(b *testing.B) {
	c, err := wire.NewCodec([][]byte{[]byte(key)})
	if err != nil {
		b.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	answers := make(chan struct{}, 1)
	var near, far *transport
	far = newTransport(loopback, c, func(m *membership.Message, done func()) bool {
		done()
		far.send(membership.Envelope{To: m.From.Address, Message: &membership.Message{
			From: selfEntry(far.address), Body: membership.Ack(m.Body.(membership.Ping)),
		}})
		return true
	})
	near = newTransport(loopback, c, func(_ *membership.Message, done func()) bool {
		done()
		answers <- struct{}{}
		return true
	})
	for _, t := range []*transport{far, near} {
		if err := listenAnywhere(t); err != nil {
			b.Fatal(err)
		}
		defer t.stop()
	}
	start := cpuTime()
	b.ResetTimer()
	for i := range b.N {
		near.send(membership.Envelope{To: far.address, Message: &membership.Message{
			From: selfEntry(near.address), Body: membership.Ping{Sequence: uint64(i)},
		}})
		<-answers
	}
	b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(near.sentBytes.Load()+far.sentBytes.Load())/float64(b.N), "wire-B/op")
}

// listenAnywhere opens t on a free port and notes it as its address.
func listenAnywhere(t *transport) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	t.conn = conn
	t.address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	go t.read()
	return nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

const exchangeMethod = "/membership.Membership/Exchange"

func exchangeHandler(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	in := new(membershipv1.Datagram)
	if err := decode(in); err != nil {
		return nil, err
	}
	return in, nil
}

// BenchmarkExchangeGRPC is the same exchange as a unary call without TLS, on a
// connection that is already open.
func BenchmarkExchangeGRPC(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "membership.Membership",
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Exchange", Handler: exchangeHandler}},
	}, struct{}{})
	go func() { _ = server.Serve(ln) }()
	defer server.Stop()
	var bytes atomic.Int64
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", a)
		return countedConn{c, &bytes}, err
	}
	conn, err := grpc.NewClient("passthrough:///"+ln.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := pingOf(b)
	start := cpuTime()
	b.ResetTimer()
	for range b.N {
		if err := conn.Invoke(context.Background(), exchangeMethod, in, new(membershipv1.Datagram)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// pingOf returns the protobuf message of a ping.
func pingOf(b *testing.B) *membershipv1.Datagram {
	return &membershipv1.Datagram{
		From: &membershipv1.Entry{
			Address: []byte{127, 0, 0, 1, 27, 88}, Process: 1 << 60, Incarnation: 1_700_000_000_000,
			State: membershipv1.State_STATE_ALIVE, FailureDomain: "caruaru",
		},
		Body: &membershipv1.Datagram_Ping{Ping: &membershipv1.Ping{Sequence: uint64(b.N)}},
	}
}
