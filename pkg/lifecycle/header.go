package lifecycle

// HeaderLeaving is the response header by which an upstream announces that it
// is leaving. The value "1" announces it; any other value, or none, is ignored.
const HeaderLeaving = "Dapplespindle-Leaving"

const leavingValue = "1"

// ParseLeaving reports whether a value of HeaderLeaving announces that the
// upstream is leaving.
func ParseLeaving(value string) bool { return value == leavingValue }
