package membership

// retransmitFactor times disseminationRounds is how often one host transmits an
// update.
const retransmitFactor = 2

// piggybackBytes is the maximum size of the updates on one message, in bytes.
const piggybackBytes = 400

// broadcast is one update to transmit; it is superseded once its record has a newer
// token.
type broadcast struct {
	record *record
	token  uint32
}

// broadcasts is the queue of updates to transmit: major ones first, and among
// those the least often transmitted first. Each message takes a bounded number of
// bytes from it.
type broadcasts struct {
	major, minor [][]broadcast // index: number of transmissions
}

// add queues the entry of r under the newest token of r. Minor updates, such as
// new metadata, have lower priority than changes of state.
func (b *broadcasts) add(r *record, minor bool) {
	q := broadcast{r, r.token}
	if minor {
		b.minor = push(b.minor, 0, q)
		return
	}
	b.major = push(b.major, 0, q)
}

func push(levels [][]broadcast, level int, q broadcast) [][]broadcast {
	for len(levels) <= level {
		levels = append(levels, nil)
	}
	levels[level] = append(levels[level], q)
	return levels
}

// take returns updates of at most budget bytes and counts their transmission.
// Updates transmitted limit times are dropped.
func (b *broadcasts) take(limit, budget int) []Entry {
	var out []Entry
	out, budget = takeFrom(&b.major, limit, budget, out)
	out, _ = takeFrom(&b.minor, limit, budget, out)
	return out
}

func takeFrom(levels *[][]broadcast, limit, budget int, out []Entry) ([]Entry, int) {
	var again []broadcast
	var againLevel []int
	full := false
	for level := 0; level < len(*levels) && !full; level++ {
		l := (*levels)[level]
		for len(l) > 0 {
			q := l[0]
			if q.token == q.record.token {
				size := q.record.entry.maxBytes()
				if size > budget {
					full = true
					break
				}
				budget -= size
				out = append(out, q.record.entry)
				again = append(again, q)
				againLevel = append(againLevel, level+1)
			}
			l = l[1:]
		}
		if len(l) == 0 {
			l = nil
		}
		(*levels)[level] = l
	}
	for i, q := range again {
		if againLevel[i] < limit {
			*levels = push(*levels, againLevel[i], q)
		}
	}
	return out, budget
}

// piggyback returns the updates to include in a message.
func (c *Core) piggyback() []Entry {
	return c.queue.take(retransmitFactor*c.disseminationRounds(), piggybackBytes)
}
