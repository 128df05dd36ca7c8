package lifecycle

// HeaderLeaving is the answer header by which an upstream says that it is
// leaving. The value "1" says so; any other value, or none, says nothing.
const HeaderLeaving = "Dapplespindle-Leaving"

const leavingValue = "1"

// ParseLeaving reports whether a value of HeaderLeaving says that the upstream
// is leaving.
func ParseLeaving(value string) bool { return value == leavingValue }
