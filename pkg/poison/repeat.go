package poison

import "time"

// RebroadcastPeriod is how long an end that gets no request refused is repeated: it is told to all
// hosts at once, so that the third one is known everywhere some milliseconds later, and what
// is lost on the way, or a host that starts has missed, is repeated while it counts.
const RebroadcastPeriod = 5 * time.Second
