package configsync_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/configsync"
)

const lots = `{"name": "lots", "match": {"path_prefix": "/"}, "groups": [{"name": "main"}],
	"rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "700ms"}]}`

// A host without peers requests a read of the platform and is ready once it has
// the response. The embedder carries out the effects of each call.
func ExampleNode() {
	now := time.Unix(1000, 0)
	self := configsync.Member{Address: "10.0.0.1:7400", FailureDomain: "hanoi"}
	node := configsync.NewNode(now, configsync.Options{
		Self: self,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	effects := node.SetMembers(now, []configsync.Member{self})
	fmt.Println("read after revision", effects.Read.After)

	now = now.Add(5 * time.Millisecond)
	effects = node.ReadDone(now, configsync.ReadResult{
		Revision: 7,
		Versions: []configsync.Version{
			configsync.NewVersion("services/lots", 7, false, []byte(lots)),
		},
	})
	fmt.Println("changed:", effects.InForce, "ready:", node.Ready())
	for _, doc := range node.InForce() {
		fmt.Println(doc.Name, doc.Revision)
	}
	// Output:
	// read after revision 0
	// changed: true ready: true
	// lots 7
}
