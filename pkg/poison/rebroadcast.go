package poison

import "time"

// RebroadcastPeriod is how long a crash is rebroadcast if it does not cause its request to be
// refused. Each crash is sent to all hosts at once, so that the third one is known everywhere
// within milliseconds. Rebroadcasts cover lost messages and hosts that start. A crash under a
// refused request is rebroadcast for as long as the request is refused.
const RebroadcastPeriod = 5 * time.Second
