package routing

import (
	"fmt"
	"testing"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// benchServices are numbers of services: that of the target deployment, and smaller
// ones to show how the cost grows.
var benchServices = []int{10, 100, 410}

func prefixOf(i int) string { return fmt.Sprintf("/service-%03d/", i) }

func tableOf(services int) *Table {
	rule := config.Rule{Name: "all", Group: "main"}
	var list []*config.Service
	for i := range services {
		list = append(list, service(fmt.Sprintf("service-%03d", i), "", prefixOf(i), rule))
	}
	return Compile(1, list, noGroups{})
}

// BenchmarkRoute routes to each service in turn.
func BenchmarkRoute(b *testing.B) {
	for _, n := range benchServices {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			table := tableOf(n)
			paths := make([]string, n)
			for i := range paths {
				paths[i] = prefixOf(i) + "item/1"
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Route("GET", "10.0.0.1:8080", paths[i%n]) == nil {
					b.Fatal("no rule")
				}
			}
		})
	}
}
