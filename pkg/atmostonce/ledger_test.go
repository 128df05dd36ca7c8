package atmostonce_test

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

var (
	start  = time.Unix(1000, 0)
	digest = atmostonce.DigestOf("POST", "/sales", []byte("lot 7"))
)

func submit(l *atmostonce.Ledger, after time.Duration, d atmostonce.Digest) atmostonce.Decision {
	now := start.Add(after)
	decision, err := l.Submit(now, atmostonce.Submission{Digest: d, Deadline: now.Add(testDeadline)})
	if err != nil {
		panic(err)
	}
	return decision
}

// issued returns a ledger that has issued one ticket, with sequence number 0.
func issued(conf atmostonce.Config) *atmostonce.Ledger {
	l := atmostonce.New(conf, start)
	if _, err := l.Issue(start); err != nil {
		panic(err)
	}
	return l
}

func TestTicketExpiry(t *testing.T) {
	const past = 4 * time.Second
	for name, c := range map[string]struct {
		first, second time.Duration
		want          errkind.Kind
	}{
		"in its lifetime":       {0, time.Second / 2, errkind.UpstreamRefused},
		"in its retention":      {0, 2 * time.Second, errkind.UpstreamRefused},
		"after its retention":   {0, past, errkind.TicketForgotten},
		"expired on first use":  {2 * time.Second, 2 * time.Second, errkind.TicketExpired},
		"forgotten before used": {past, past, errkind.TicketForgotten},
	} {
		t.Run(name, func(t *testing.T) {
			l := issued(testConfig)
			if submit(l, c.first, digest).Verdict == atmostonce.Execute {
				_, err := l.Finish(start, 0, atmostonce.Failed(errkind.New(errkind.UpstreamRefused, "")))
				is.New(t).NoErr(err)
			}
			d := submit(l, c.second, digest)
			is.New(t).Equal(d.Verdict, atmostonce.Final)
			is.New(t).Equal(d.Result.Kind, c.want)
		})
	}
}

func TestTimeNeverMovesBackwards(t *testing.T) {
	l := issued(testConfig)
	_, _ = l.Issue(start.Add(time.Second)) // another goroutine has read a time at which the lifetime is over
	is.New(t).Equal(submit(l, 0, digest).Result.Kind, errkind.TicketExpired)
}

func TestTicketIsBoundToOneRequest(t *testing.T) {
	l := issued(testConfig)
	is.New(t).Equal(submit(l, 0, digest).Verdict, atmostonce.Execute)
	other := submit(l, 0, atmostonce.DigestOf("POST", "/sales", []byte("lot 8")))
	is.New(t).Equal(other.Result.Kind, errkind.TicketMismatch)
	is.New(t).Equal(submit(l, 0, digest).Verdict, atmostonce.Join)
}

func TestSendAfterWithdrawIsDenied(t *testing.T) {
	l := issued(testConfig)
	submit(l, 0, digest)
	result, err := l.Withdraw(start, 0)
	is.New(t).NoErr(err)
	is.New(t).Equal(result.Outcome(), errkind.NotRun)
	denied, err := l.Send(start, 0)
	is.New(t).NoErr(err)
	is.New(t).True(denied != nil)
}

func TestBreaches(t *testing.T) {
	l := issued(testConfig)
	submit(l, 0, digest)
	denied, err := l.Send(start, 0)
	is.New(t).True(denied == nil && err == nil)
	_, err = l.Send(start, 0)
	is.New(t).Equal(err.(*atmostonce.Violation).Code, atmostonce.ViolationSecondSend)
	result, err := l.Finish(start, 0, atmostonce.Failed(errkind.New(errkind.NoRoute, "")))
	is.New(t).Equal(err.(*atmostonce.Violation).Code, atmostonce.ViolationFalseNotRun)
	is.New(t).Equal(result.Outcome(), errkind.Unknown)
	_, err = l.Submit(start, atmostonce.Submission{Sequence: 9})
	is.New(t).Equal(err.(*atmostonce.Violation).Code, atmostonce.ViolationNeverIssued)
}

func TestBounds(t *testing.T) {
	conf := testConfig
	conf.MaxTickets = 1
	l := issued(conf)
	_, err := l.Issue(start)
	is.New(t).Equal(err, atmostonce.ErrFull)
	submit(l, 0, digest)
	_, _ = l.Send(start, 0)
	_, err = l.Issue(start.Add(time.Hour)) // a running execution keeps its slot
	is.New(t).Equal(err, atmostonce.ErrFull)
	long := atmostonce.Ran(&atmostonce.Answer{Body: make([]byte, conf.MaxAnswerBytes+1)})
	result, err := l.Finish(start, 0, long)
	is.New(t).NoErr(err)
	is.New(t).Equal(result, long)
	is.New(t).Equal(submit(l, 0, digest).Result.Kind, errkind.TicketForgotten)
	is.New(t).Equal(l.Stats(), atmostonce.Stats{})
	_, err = l.Issue(start.Add(time.Hour))
	is.New(t).NoErr(err)
}

func TestOwner(t *testing.T) {
	s := atmostonce.NewSealer(address(1), 7, atmostonce.Secret{1})
	for name, c := range map[string]struct {
		by   *atmostonce.Sealer
		want atmostonce.Owner
	}{
		"own":     {s, atmostonce.Local},
		"forged":  {atmostonce.NewSealer(address(1), 7, atmostonce.Secret{2}), atmostonce.Forged},
		"past":    {atmostonce.NewSealer(address(1), 8, atmostonce.Secret{1}), atmostonce.OtherIncarnation},
		"foreign": {atmostonce.NewSealer(address(2), 7, atmostonce.Secret{1}), atmostonce.OtherHost},
	} {
		t.Run(name, func(t *testing.T) {
			ticket, err := atmostonce.ParseTicket(c.by.Seal(3).String())
			is.New(t).NoErr(err)
			is.New(t).Equal(s.Owner(ticket), c.want)
		})
	}
}

func FuzzParseTicket(f *testing.F) {
	s := atmostonce.NewSealer(address(1), 7, atmostonce.Secret{1})
	f.Add(s.Seal(3).String())
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := atmostonce.ParseTicket(text)
		if err != nil {
			return
		}
		is.New(t).Equal(ticket.String(), text)
		if s.Owner(ticket) == atmostonce.Local {
			is.New(t).Equal(ticket, s.Seal(ticket.Sequence))
		}
	})
}

// BenchmarkRequest measures the work of this package for one request on its
// issuer: issue a ticket, verify it, execute and finish.
func BenchmarkRequest(b *testing.B) {
	s := atmostonce.NewSealer(address(1), 7, atmostonce.Secret{1})
	l := atmostonce.New(atmostonce.DefaultConfig(), start)
	result := atmostonce.Ran(&atmostonce.Answer{Status: 200, Body: make([]byte, 64)})
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		sequence, _ := l.Issue(now)
		ticket, _ := atmostonce.ParseTicket(s.Seal(sequence).String())
		s.Owner(ticket)
		d := atmostonce.DigestOf("POST", "/sales", result.Answer.Body)
		_, _ = l.Submit(now, atmostonce.Submission{Sequence: sequence, Digest: d, Deadline: now.Add(time.Second)})
		_, _ = l.Send(now, sequence)
		_, _ = l.Finish(now, sequence, result)
	}
}

// BenchmarkLedger measures the part of BenchmarkRequest that callers run under a
// lock.
func BenchmarkLedger(b *testing.B) {
	l := atmostonce.New(atmostonce.DefaultConfig(), start)
	result := atmostonce.Ran(&atmostonce.Answer{Status: 200, Body: make([]byte, 64)})
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		sequence, _ := l.Issue(now)
		_, _ = l.Submit(now, atmostonce.Submission{Sequence: sequence, Deadline: now.Add(time.Second)})
		_, _ = l.Send(now, sequence)
		_, _ = l.Finish(now, sequence, result)
	}
}

// BenchmarkMemory reports the memory of unused tickets and of records with a small
// response.
func BenchmarkMemory(b *testing.B) {
	const tickets = 100_000
	for b.Loop() {
		conf := atmostonce.DefaultConfig()
		conf.MaxTickets = tickets
		conf.MaxStoredBytes = math.MaxInt
		before := heap()
		l := atmostonce.New(conf, start)
		empty := heap()
		for range tickets {
			sequence, _ := l.Issue(start)
			_, _ = l.Submit(start, atmostonce.Submission{Sequence: sequence, Digest: digest, Deadline: start.Add(time.Second)})
			_, _ = l.Send(start, sequence)
			body := make([]byte, 64)
			header := map[string][]string{"Content-Type": {"text/plain"}, "Dapplespindle-Outcome": {"ran"}}
			_, _ = l.Finish(start, sequence, atmostonce.Ran(&atmostonce.Answer{Status: 200, Header: header, Body: body}))
		}
		full := heap()
		b.ReportMetric(float64(empty-before)/tickets*1000, "B/1000tickets")
		b.ReportMetric(float64(full-empty)/tickets*1000, "B/1000records")
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
