package event

// Codes 104xx: broken invariants of the request path.
const (
	NonRepeatableResend Code = 10401
)

// invariantEvents describes the codes 10xxx: broken invariants; each stops the request concerned, not the process.
var invariantEvents = map[Code]Entry{
	NonRepeatableResend: {"non-repeatable-resend", Error, "A second send of a non-repeatable request that may have run was stopped.", ""},
}
