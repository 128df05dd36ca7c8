package standin

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Deployment describes one service of the two reference deployments.
type Deployment struct {
	// Name is the service name, which is also its path prefix.
	Name string
	// Endpoints is the number of upstreams.
	Endpoints int
	// MaxConnections bounds the connections of all entry hosts to one upstream.
	MaxConnections int
	// Domains are the failure domains over which the upstreams are spread.
	Domains []string
	// MeanServiceTime is the mean service time of the stand-in upstreams.
	MeanServiceTime time.Duration
	// FirstPort is the port of the first stand-in upstream.
	FirstPort int
	// HasActions adds a rule under which POST requests are non-repeatable actions.
	HasActions bool
	// LookupPriority is the priority of GET and HEAD requests.
	LookupPriority config.Priority
}

var (
	auctionDomains = []string{"caruaru", "petrolina", "feira-de-santana", "campina-grande"}
	scooterDomains = []string{"hanoi", "hai-phong", "bac-ninh"}
)

// Deployments are the services of the two reference deployments at their current
// sizes.
var Deployments = []Deployment{
	{"catalogue", 10, 250, auctionDomains, 4 * time.Millisecond, 9101, false, config.PriorityHigh},
	{"ledger", 8, 250, auctionDomains, 5 * time.Millisecond, 9201, true, config.PriorityHigh},
	{"invoicing", 20, 250, auctionDomains, 8 * time.Millisecond, 9301, false, config.PriorityLow},
	{"location", 7, 200, scooterDomains, 3 * time.Millisecond, 9401, false, config.PriorityHigh},
	{"unlock", 6, 200, scooterDomains, 5 * time.Millisecond, 9501, true, config.PriorityHigh},
	{"battery", 15, 200, scooterDomains, 6 * time.Millisecond, 9601, false, config.PriorityNormal},
}

const (
	slotsPerUpstream = 3
	// probeBudgetPercent is the probe budget in percent of slot time.
	probeBudgetPercent = 1
)

// Document returns the service document of d, with upstreams on loopback
// addresses.
func (d Deployment) Document() *config.Service {
	group := config.Group{Name: "main", Probe: config.ProbeBudget{SlotTimePercent: probeBudgetPercent}}
	for i := range d.Endpoints {
		group.Upstreams = append(group.Upstreams, config.Upstream{
			ID:             fmt.Sprintf("%s-%d", d.Name, i+1),
			Address:        fmt.Sprintf("127.0.0.1:%d", d.FirstPort+i),
			FailureDomain:  d.Domains[i%len(d.Domains)],
			Slots:          slotsPerUpstream,
			MaxConnections: d.MaxConnections,
		})
	}
	s := &config.Service{
		Name:   d.Name,
		Match:  config.Match{PathPrefix: "/" + d.Name + "/"},
		Groups: []config.Group{group},
	}
	if d.HasActions {
		s.Rules = append(s.Rules, config.Rule{
			Name: "actions", Methods: []string{"POST"}, Group: "main",
			Repeat: config.NonRepeatable, Deadline: config.Duration(2 * time.Second), Priority: config.PriorityHigh,
		})
	}
	s.Rules = append(s.Rules, config.Rule{
		Name: "lookups", Methods: []string{"GET", "HEAD"}, Group: "main",
		Repeat: config.Repeatable, Deadline: config.Duration(500 * time.Millisecond), Priority: d.LookupPriority,
	})
	s.SetDefaults()
	return s
}
