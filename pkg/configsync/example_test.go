package configsync_test

import (
	"fmt"

	"github.com/dapplespindle/dapplespindle/pkg/configsync"
)

// Versions may be merged in any order. An older version never becomes current.
func ExampleState() {
	const document = `{"name": "lots", "match": {"path_prefix": "/"}, "groups": [{"name": "main"}],
		"rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "%dms"}]}`
	s := configsync.NewState()
	for _, revision := range []uint64{7, 5} {
		value := fmt.Appendf(nil, document, 100*revision)
		s.Merge(configsync.NewVersion("services/lots", revision, false, value))
	}
	for _, v := range s.InForce() {
		fmt.Println(v.Name, v.Revision, v.Rules[0].Deadline.Std())
	}
	// Output: lots 7 700ms
}
