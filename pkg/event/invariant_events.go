package event

// Codes 10200-10299: broken invariants of configuration.
const (
	ConfigFellBack Code = 10201
)

// invariantEvents describes the codes 10xxx: broken invariants; each stops the request concerned, not the process.
var invariantEvents = map[Code]Entry{
	ConfigFellBack: {"config-fell-back", Error, "An older document would have replaced the one in force; it was refused.", "revision"},
}
