package balancer

// FirstEligible returns the first member that info does not exclude, searching from
// index start modulo the number of members; nil if there is none.
func FirstEligible(members []*Upstream, start uint64, info PickInfo) *Upstream {
	n := uint64(len(members))
	for i := range n {
		if u := members[(start+i)%n]; !info.Excludes(u) {
			return u
		}
	}
	return nil
}

// TwoEligible returns two different members that info does not exclude, selected by
// info.Random. The second is nil if only one is available, both if none is.
func TwoEligible(members []*Upstream, info PickInfo) (first, second *Upstream) {
	n := uint64(len(members))
	if n == 0 {
		return nil, nil
	}
	first = FirstEligible(members, info.Random%n, info)
	if n == 1 || first == nil {
		return first, nil
	}
	start := info.Random/n + 1
	for i := range n {
		u := members[(info.Random+start%(n-1)+1+i)%n]
		if u != first && !info.Excludes(u) {
			return first, u
		}
	}
	return first, nil
}

// Mix returns the pseudo-random number that follows x (one splitmix64 step), for
// policies that need several random numbers for one choice.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
