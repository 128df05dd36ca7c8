package quotas

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

// TestAllHostsRestart: restarted hosts do not know the use before their restart, which the
// downtime without served requests makes up for. Load within the quota is not rejected.
func TestAllHostsRestart(t *testing.T) {
	for name, rate := range map[string]float64{"within quota": 45, "over quota": 400} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(117)
			got := s.run(customer, load{steady(rate), anyHost}, 15, func(ms int) {
				for i := range s.hosts {
					switch ms {
					case 6000:
						s.dead[i] = true
					case 7000:
						s.dead[i] = false
						s.restart(i)
					}
				}
			})
			is.True(got.worst <= 1)
			if rate < customer.RatePerSecond {
				is.Equal(got.rejected, 0)
			}
			t.Logf("%+v", got)
		})
	}
}

// TestAllHostsRestartAndFindEachOther guards against several coordinators that each grant a part of
// a quota after a loss of all hosts: they know three addresses at first and find the others within
// seconds, each in another order. In a day of users, 919 requests ran in five seconds where 845
// were allowed.
func TestAllHostsRestartAndFindEachOther(t *testing.T) {
	const restart, converged = 7000, 10_000 // ms
	for name, rate := range map[string]float64{"within quota": 45, "over quota": 400} {
		for _, period := range []int{500, 1500, 3000} { // ms until all have found all
			t.Run(fmt.Sprintf("%s/%d ms", name, period), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(117)
				found := make([][]float64, len(s.hosts)) // when a host finds another, as a share of period
				random := rand.New(rand.NewPCG(3, 3))
				for i := range s.hosts {
					found[i] = make([]float64, len(s.hosts))
					for j := range s.hosts {
						if j >= seeds {
							found[i][j] = random.Float64()
						}
					}
				}
				got := s.run(customer, load{steady(rate), anyHost}, 15, func(ms int) {
					for i := range s.hosts {
						switch {
						case ms == 6000:
							s.dead[i] = true
						case ms == restart:
							s.dead[i] = false
							s.restart(i)
							s.find(i, func(j int) bool { return j < seeds })
						case ms == converged:
							s.setAlive(i, func(int) bool { return true })
						case ms > restart && ms < converged && ms%100 == i%100:
							passed := float64(ms-restart) / float64(period)
							s.find(i, func(j int) bool { return found[i][j] <= passed })
						}
					}
				})
				t.Logf("%+v", got)
				is.True(got.worst <= 1)
				if rate < customer.RatePerSecond {
					// The seeds grant unconvergedShare until the hosts know the fleet.
					missing := (rate - unconvergedShare*customer.RatePerSecond) * (converged - restart) / 1000
					is.True(float64(got.rejected) <= missing)
				}
			})
		}
	}
}

// TestSeedsRestart guards against a quota that is granted twice while the seeds and half of the hosts,
// which have just started, don't know the fleet and the others do.
func TestSeedsRestart(t *testing.T) {
	is := is.New(t)
	s := newSimulation(117)
	coordinator, _ := quota.SelectCoordinator(customer.Name, s.hosts)
	restarts := func(i int) bool { return (i%2 == 1 || i < seeds) && i != coordinator }
	got := s.run(customer, load{steady(400), anyHost}, 15, s.restartSome(restarts, func(i int) {
		s.find(i, func(j int) bool { return j < seeds })
	}))
	t.Logf("%+v", got)
	is.True(got.worst <= 1)
}

// restartSome returns an event of run: hosts end at 6 s and start at 7 s. They know what setFleet sets
// until 10 s, and the fleet after that.
func (s *simulation) restartSome(restarts func(i int) bool, setFleet func(i int)) func(ms int) {
	return func(ms int) {
		for i := range s.hosts {
			switch {
			case !restarts(i):
			case ms == 6000:
				s.dead[i] = true
			case ms == 7000:
				s.dead[i] = false
				s.restart(i)
				setFleet(i)
			case ms == 10_000:
				s.setAlive(i, func(int) bool { return true })
			}
		}
	}
}

// seeds is the number of hosts in the settings of each host.
const seeds = 3

// find sets which hosts a host that does not know most of the fleet has found.
func (s *simulation) find(i int, found func(int) bool) {
	f := Fleet{Self: s.hosts[i], Known: 1, Seeds: s.hosts[:seeds]}
	for j, h := range s.hosts {
		if j != i && found(j) {
			f.Others = append(f.Others, h)
			f.Known++
		}
	}
	s.enforcers[i].SetFleet(f)
}

// TestHalfOfTheHostsRestart: the restarted hosts, among them the coordinator, know only three
// addresses. They send their requests to these, which know the coordinator.
func TestHalfOfTheHostsRestart(t *testing.T) {
	for name, rate := range map[string]float64{"within quota": 45, "over quota": 400} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(117)
			coordinator, _ := quota.SelectCoordinator(customer.Name, s.hosts)
			restarts := func(i int) bool { return i%2 == 1 && i > 2 || i == coordinator }
			got := s.run(customer, load{steady(rate), anyHost}, 15, s.restartSome(restarts, func(i int) {
				s.enforcers[i].SetFleet(Fleet{Self: s.hosts[i], Others: s.hosts[:3], Known: 4})
			}))
			t.Logf("%+v", got)
			is.True(got.worst <= 1)
			if rate < customer.RatePerSecond {
				// The backup finds half of its witnesses unresponsive, and considers itself
				// isolated.
				is.True(got.rejected*50 <= got.served)
			}
		})
	}
}
