package quota

import "time"

const (
	// keepRoom is how long room that was granted may be used: what one host does not need
	// is another's.
	keepRoom = time.Second
	// aheadFor is the time for which a host asks for room in advance.
	aheadFor = 200 * time.Millisecond
	// unknownHosts is the number of hosts reckoned with while it is not known.
	unknownHosts = 100

	slots     = 10
	slotWidth = Window / slots
)

// Allowance is what one host has of a customer's quota.
type Allowance struct {
	room  int       // granted and not used
	until time.Time // of room

	used [slots]int // in each slot of Window
	slot int64      // the newest one

	share   float64   // of this host alone, for when nobody answers
	sharing time.Time // when share was last filled
}

// Take uses room that was granted before. It is false if there is none.
func (w *Allowance) Take(now time.Time) bool {
	if w.room == 0 || now.After(w.until) {
		w.room = 0
		return false
	}
	w.room--
	w.use(now, 1)
	return true
}

// AddGrant takes in room for requests that are sent now, and more for later ones.
func (w *Allowance) AddGrant(now time.Time, sent, more int) {
	w.use(now, sent)
	if more > 0 {
		w.room += more
		w.until = now.Add(keepRoom)
	}
}

// Return gives room back that was taken for a request which did not run.
func (w *Allowance) Return(now time.Time) {
	w.use(now, -1)
	w.AddGrant(now, 0, 1)
}

// TakeFallback uses this host's part of the quota, for when nobody answers. It is false if there
// is none. Hosts is the number of hosts, 0 if that is not known.
func (w *Allowance) TakeFallback(now time.Time, limit Limit, hosts int) bool {
	if hosts == 0 {
		hosts = unknownHosts
	}
	if w.sharing.IsZero() {
		w.sharing = now
	}
	part := 1 / float64(hosts)
	w.share = min(w.share+now.Sub(w.sharing).Seconds()*limit.PerSecond*part, max(limit.Burst*part, 1))
	w.sharing = now
	if w.share < 1 {
		return false
	}
	w.share--
	w.use(now, 1)
	return true
}

// Used returns how many requests were sent within Window.
func (w *Allowance) Used(now time.Time) int {
	w.turn(now)
	total := 0
	for _, n := range w.used {
		total += n
	}
	return max(total, 0)
}

// ExpectedDemand returns how many requests are expected until room is asked for again.
func (w *Allowance) ExpectedDemand(now time.Time) int {
	return int(float64(w.Used(now)) * aheadFor.Seconds() / Window.Seconds())
}

func (w *Allowance) use(now time.Time, n int) {
	w.turn(now)
	w.used[w.slot%slots] += n
}

// turn empties the slots that have begun since the last call.
func (w *Allowance) turn(now time.Time) {
	next := now.UnixNano() / int64(slotWidth)
	for s := max(w.slot+1, next-slots+1); s <= next; s++ {
		w.used[s%slots] = 0
	}
	w.slot = max(w.slot, next)
}
