package poison

import "time"

// RepeatFor is how long an end that gets no request refused is repeated: it is told to all
// hosts at once, so that the third one is known everywhere some milliseconds later, and what
// is lost on the way, or a host that starts has missed, is repeated while it counts.
const RepeatFor = 5 * time.Second
