package canary

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// What is bad at single servers is no fault of their version: one in spareServers of them,
// with singleBad of all that is bad and at most singleAnswers of the answers. Fewer bad
// answers than leastBad do not tell.
const (
	spareServers  = 3
	singleBad     = 0.8
	singleAnswers = 0.55
	leastBad      = 4
)

// sums are the cumulative sums of a test. failing and slowing compare with the other version
// at the same time and convince; the others compare with its best time, and leave the target
// version in doubt while both are disturbed, for then nothing tells whether it is bad too.
type sums struct {
	failing, slowing         float64
	failingCalm, slowingCalm float64
	// failingFrom and slowingFrom are the servers as they were when the evidence began.
	failingFrom, slowingFrom map[string]Server
}

func (s *sums) add(e sums, alarm float64, servers map[string]Server) {
	s.failing = math.Max(0, s.failing+e.failing)
	s.slowing = math.Max(0, s.slowing+e.slowing)
	s.failingCalm = math.Min(math.Max(0, s.failingCalm+e.failingCalm), mostCalm*alarm)
	s.slowingCalm = math.Min(math.Max(0, s.slowingCalm+e.slowingCalm), mostCalm*alarm)
	if s.failing+s.failingCalm == 0 {
		s.failingFrom = servers
	}
	if s.slowing+s.slowingCalm == 0 {
		s.slowingFrom = servers
	}
}

func (s *sums) most() float64 {
	return max(s.failing, s.slowing, s.failingCalm, s.slowingCalm)
}

// plus adds the evidence of another route.
func (s sums) plus(o sums) sums {
	s.failing, s.slowing = s.failing+o.failing, s.slowing+o.slowing
	s.failingCalm, s.slowingCalm = s.failingCalm+o.failingCalm, s.slowingCalm+o.slowingCalm
	return s
}

// verdict tells why the target version is bad, or "". What single servers do is forgotten.
func (s *sums) verdict(alarm float64, servers map[string]Server) string {
	if s.failing > alarm || s.failingCalm >= mostCalm*alarm {
		if single(servers, s.failingFrom, func(v Server) uint64 { return v.Failed }) {
			s.failing, s.failingCalm = 0, 0
		}
	}
	if s.slowing > alarm || s.slowingCalm >= mostCalm*alarm {
		if single(servers, s.slowingFrom, func(v Server) uint64 { return v.Slow }) {
			s.slowing, s.slowingCalm = 0, 0
		}
	}
	switch {
	case s.failing > alarm:
		return "too many answers fail"
	case s.slowing > alarm:
		return "too many answers are slow"
	}
	return ""
}

// String lists the sums.
func (s *sums) String() string {
	return fmt.Sprintf("failing %.1f slow %.1f against its best %.1f %.1f", s.failing, s.slowing, s.failingCalm, s.slowingCalm)
}

// single reports whether few servers account for most of what was bad since the evidence
// began, with no more than their part of the answers.
func single(servers, from map[string]Server, bad func(Server) uint64) bool {
	list := make([]Server, 0, len(servers))
	for addr, s := range servers {
		old := from[addr]
		if s.Answers > old.Answers {
			list = append(list, Server{Answers: s.Answers - old.Answers, Failed: s.Failed - old.Failed, Slow: s.Slow - old.Slow})
		}
	}
	spare := len(list) / spareServers
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(bad(b), bad(a)) })
	var worst, all, answers, total float64
	for i, s := range list {
		all += float64(bad(s))
		total += float64(s.Answers)
		if i < spare {
			worst += float64(bad(s))
			answers += float64(s.Answers)
		}
	}
	return spare > 0 && all >= leastBad && worst >= singleBad*all && answers <= singleAnswers*total
}
