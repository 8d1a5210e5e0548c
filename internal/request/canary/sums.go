package canary

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Bad answers that are concentrated on a few servers are not attributed to their version:
// at most one in outlierServerDivisor servers, with at least outlierBadShare of all bad
// answers and at most outlierAnswerShare of all answers. Fewer bad answers than
// minBadAnswers are not evaluated.
const (
	outlierServerDivisor = 3
	outlierBadShare      = 0.8
	outlierAnswerShare   = 0.55
	minBadAnswers        = 4
)

// sums are the cumulative sums of a test. failing and slowing compare with the base version
// at the same time and can raise the alarm. The others compare with the base version at its
// best; while both versions are disturbed they keep the target version in doubt, because
// nothing then tells whether it is bad too.
type sums struct {
	failing, slowing             float64
	failingVsBest, slowingVsBest float64
	// failingStartCounts and slowingStartCounts are the server counts when the evidence
	// began to accumulate.
	failingStartCounts, slowingStartCounts map[string]Server
}

func (s *sums) add(e sums, alarm float64, servers map[string]Server) {
	s.failing = math.Max(0, s.failing+e.failing)
	s.slowing = math.Max(0, s.slowing+e.slowing)
	s.failingVsBest = math.Min(math.Max(0, s.failingVsBest+e.failingVsBest), maxVsBestShare*alarm)
	s.slowingVsBest = math.Min(math.Max(0, s.slowingVsBest+e.slowingVsBest), maxVsBestShare*alarm)
	if s.failing+s.failingVsBest == 0 {
		s.failingStartCounts = servers
	}
	if s.slowing+s.slowingVsBest == 0 {
		s.slowingStartCounts = servers
	}
}

func (s *sums) highest() float64 {
	return max(s.failing, s.slowing, s.failingVsBest, s.slowingVsBest)
}

// plus returns the sum of the evidence of two routes.
func (s sums) plus(o sums) sums {
	s.failing, s.slowing = s.failing+o.failing, s.slowing+o.slowing
	s.failingVsBest, s.slowingVsBest = s.failingVsBest+o.failingVsBest, s.slowingVsBest+o.slowingVsBest
	return s
}

// verdict returns why the target version is bad, or "". It discards evidence caused by
// outlier servers.
func (s *sums) verdict(alarm float64, servers map[string]Server) string {
	if s.failing > alarm || s.failingVsBest >= maxVsBestShare*alarm {
		if causedByOutliers(servers, s.failingStartCounts, func(v Server) uint64 { return v.Failed }) {
			s.failing, s.failingVsBest = 0, 0
		}
	}
	if s.slowing > alarm || s.slowingVsBest >= maxVsBestShare*alarm {
		if causedByOutliers(servers, s.slowingStartCounts, func(v Server) uint64 { return v.Slow }) {
			s.slowing, s.slowingVsBest = 0, 0
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

// String returns the sums for logs.
func (s *sums) String() string {
	return fmt.Sprintf("failing %.1f slow %.1f against its best %.1f %.1f", s.failing, s.slowing, s.failingVsBest, s.slowingVsBest)
}

// causedByOutliers reports whether a few servers account for most of the bad answers since
// the evidence began, with no more than their part of the answers.
func causedByOutliers(servers, start map[string]Server, bad func(Server) uint64) bool {
	list := make([]Server, 0, len(servers))
	for addr, s := range servers {
		old := start[addr]
		if s.Answers > old.Answers {
			list = append(list, Server{Answers: s.Answers - old.Answers, Failed: s.Failed - old.Failed, Slow: s.Slow - old.Slow})
		}
	}
	outliers := len(list) / outlierServerDivisor
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(bad(b), bad(a)) })
	var worst, all, answers, total float64
	for i, s := range list {
		all += float64(bad(s))
		total += float64(s.Answers)
		if i < outliers {
			worst += float64(bad(s))
			answers += float64(s.Answers)
		}
	}
	return outliers > 0 && all >= minBadAnswers && worst >= outlierBadShare*all && answers <= outlierAnswerShare*total
}
