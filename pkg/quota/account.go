package quota

import (
	"math"
	"net/netip"
	"time"
)

// aheadShare is the part of an account's room that must be left for requests that are only
// expected: where room is short, those that wait come first.
const aheadShare = 0.5

// newShare is the part of a burst that an account begins with that may follow another one:
// what hosts have used they say when they ask, and some ask before others have said it.
const newShare = 0.25

// GrantPolicy are those under which a host grants room.
type GrantPolicy struct {
	// Share is the share of the quota that this account may grant, from 0 to 1: less where
	// others may grant too.
	Share float64
	// TakenOver states that another host may have granted room until now.
	TakenOver bool
}

// Account is what the host in charge of a customer has left to grant. It is a token bucket
// that was full Window ago, before it was opened, and from which each host takes what it
// says that it has used since then.
type Account struct {
	limit  Limit
	opened time.Time
	filled time.Time // when room was last added
	room   float64
	// before is the room of the time before the account was opened, less what hosts have
	// reported of it.
	before float64
	seen   map[netip.AddrPort]bool // the hosts that have reported
	// promised is when the last request that was refused may come back.
	promised time.Time
}

// NewAccount opens an account.
func NewAccount(now time.Time, limit Limit, terms GrantPolicy) *Account {
	room := limit.size()
	if terms.TakenOver {
		room = max(room*newShare, 1)
	}
	return &Account{
		limit:  limit,
		opened: now,
		filled: now,
		room:   room,
		before: limit.PerSecond * Window.Seconds(),
		seen:   make(map[netip.AddrPort]bool),
	}
}

// Grant answers a host's question.
func (a *Account) Grant(now time.Time, from netip.AddrPort, ask *Request, terms GrantPolicy) Answer {
	part := terms.Share
	a.fill(now, ask.Limit, part)
	a.report(now, from, ask.Used)
	granted := min(ask.Required, int(max(a.room, 0)))
	a.room -= float64(granted)
	if granted < ask.Required {
		return Answer{Granted: granted, Wait: a.promise(now, ask.Required-granted, part)}
	}
	if spare := a.room - aheadShare*a.limit.size(); spare >= 1 {
		ahead := min(ask.Prefetch, int(spare))
		a.room -= float64(ahead)
		granted += ahead
	}
	return Answer{Granted: granted}
}

// fill adds the room of the time since it was last done, and takes a changed quota into
// force.
func (a *Account) fill(now time.Time, limit Limit, part float64) {
	a.limit = limit
	size := max(limit.Burst*part, 1)
	passed := max(now.Sub(a.filled), 0)
	a.filled = now
	a.room = min(a.room+passed.Seconds()*limit.PerSecond*part, size)
}

// report takes in what a host has used before it first asked. One that asks later used what
// this account granted.
func (a *Account) report(now time.Time, from netip.AddrPort, used int) {
	if now.Sub(a.opened) >= Window {
		a.seen = nil
		return
	}
	if a.seen == nil || a.seen[from] {
		return
	}
	a.seen[from] = true
	a.before -= float64(used)
	if a.before < 0 {
		a.room += a.before
		a.before = 0
	}
}

// promise returns when the first of several requests that are refused may find room: after
// those that were refused before.
func (a *Account) promise(now time.Time, refused int, part float64) time.Duration {
	rate := max(a.limit.PerSecond*part, math.SmallestNonzeroFloat32)
	next := now.Add(clip((1 - a.room) / rate))
	if next.Before(a.promised) {
		next = a.promised
	}
	a.promised = next.Add(clip(float64(refused) / rate))
	if most := now.Add(maxPromise); a.promised.After(most) {
		a.promised = most
	}
	return next.Sub(now)
}

// maxPromise is the longest that a refused request is told to wait: new ones come meanwhile,
// and what is told for later does not hold.
const maxPromise = 30 * time.Second

func clip(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxPromise.Seconds()) * float64(time.Second))
}

// Idle reports whether the account has had no question for a time after which nothing of it
// matters any more.
func (a *Account) Idle(now time.Time) bool { return now.Sub(a.filled) > keepIdle }

// keepIdle is longer than any account takes to fill: it is then as good as a new one.
const keepIdle = time.Minute
