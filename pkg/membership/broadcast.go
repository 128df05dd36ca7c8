package membership

// spreadFactor times the rounds of spreading is how often one host passes on
// a piece of news.
const spreadFactor = 2

// piggybackBytes bounds the news carried on one message, in bytes.
const piggybackBytes = 400

// queued is one piece of news to pass on; it is void once its record has a
// newer token.
type queued struct {
	record *record
	token  uint32
}

// broadcasts holds the news to pass on: first by weight, then those passed on
// least often. Each message takes a bounded number of bytes from it.
type broadcasts struct {
	major, minor [][]queued // index: how often passed on
}

// add queues the news in r, under the newest token of r.
// Minor news, such as new metadata, give way to changes of state.
func (b *broadcasts) add(r *record, minor bool) {
	q := queued{r, r.token}
	if minor {
		b.minor = push(b.minor, 0, q)
		return
	}
	b.major = push(b.major, 0, q)
}

func push(levels [][]queued, level int, q queued) [][]queued {
	for len(levels) <= level {
		levels = append(levels, nil)
	}
	levels[level] = append(levels[level], q)
	return levels
}

// take returns news of at most budget bytes and counts them as passed on.
// News passed on limit times are dropped.
func (b *broadcasts) take(limit, budget int) []Entry {
	var out []Entry
	out, budget = takeFrom(&b.major, limit, budget, out)
	out, _ = takeFrom(&b.minor, limit, budget, out)
	return out
}

func takeFrom(levels *[][]queued, limit, budget int, out []Entry) ([]Entry, int) {
	var again []queued
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

// piggyback returns the news to put on a message.
func (c *Core) piggyback() []Entry {
	return c.queue.take(spreadFactor*c.spreadRounds(), piggybackBytes)
}
