package standin

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Deployment is the shape of one service of the first two users.
type Deployment struct {
	// Name is the service.
	Name string
	// Endpoints is the number of upstreams.
	Endpoints int
	// MaxConnections bounds connections to one upstream over all entry hosts.
	MaxConnections int
	// Domains are the failure domains it is spread over.
	Domains []string
	// Mean is the mean service time of the stand-in.
	Mean time.Duration
	// FirstPort is the port of the first stand-in upstream.
	FirstPort int
	// Actions is true when POST is a non-repeatable action.
	Actions bool
	// Priority is that of the lookups.
	Priority config.Priority
}

var (
	auctionDomains = []string{"caruaru", "petrolina", "feira-de-santana", "campina-grande"}
	scooterDomains = []string{"hanoi", "hai-phong", "bac-ninh"}
)

// Deployments are the services of the brief at today's sizes.
var Deployments = []Deployment{
	{"catalogue", 10, 250, auctionDomains, 4 * time.Millisecond, 9101, false, config.PriorityHigh},
	{"ledger", 8, 250, auctionDomains, 5 * time.Millisecond, 9201, true, config.PriorityHigh},
	{"invoicing", 20, 250, auctionDomains, 8 * time.Millisecond, 9301, false, config.PriorityLow},
	{"location", 7, 200, scooterDomains, 3 * time.Millisecond, 9401, false, config.PriorityHigh},
	{"unlock", 6, 200, scooterDomains, 5 * time.Millisecond, 9501, true, config.PriorityHigh},
	{"battery", 15, 200, scooterDomains, 6 * time.Millisecond, 9601, false, config.PriorityNormal},
}

const (
	standinSlots = 3
	// probePercent is the measuring budget, as a share of slot time.
	probePercent = 1
)

// Document returns the service document of d with upstreams on loopback.
func (d Deployment) Document() *config.Service {
	group := config.Group{Name: "main", Probe: config.ProbeBudget{SlotTimePercent: probePercent}}
	for i := range d.Endpoints {
		group.Upstreams = append(group.Upstreams, config.Upstream{
			ID:             fmt.Sprintf("%s-%d", d.Name, i+1),
			Address:        fmt.Sprintf("127.0.0.1:%d", d.FirstPort+i),
			FailureDomain:  d.Domains[i%len(d.Domains)],
			Slots:          standinSlots,
			MaxConnections: d.MaxConnections,
		})
	}
	s := &config.Service{
		Name:   d.Name,
		Match:  config.Match{PathPrefix: "/" + d.Name + "/"},
		Groups: []config.Group{group},
	}
	if d.Actions {
		s.Rules = append(s.Rules, config.Rule{
			Name: "actions", Methods: []string{"POST"}, Group: "main",
			Repeat: config.NonRepeatable, Deadline: config.Duration(2 * time.Second), Priority: config.PriorityHigh,
		})
	}
	s.Rules = append(s.Rules, config.Rule{
		Name: "lookups", Methods: []string{"GET", "HEAD"}, Group: "main",
		Repeat: config.Repeatable, Deadline: config.Duration(500 * time.Millisecond), Priority: d.Priority,
	})
	s.SetDefaults()
	return s
}
