package admit

import "time"

// maxKinds bounds the kinds that are told apart; further ones are taken for the
// mean of all.
const maxKinds = 256

// kinds holds the smoothed service time of each kind of ticket. The mean of all
// would let in too few of what is short, and too many of what takes long.
type kinds struct {
	services map[string]time.Duration
}

func (k *kinds) sample(kind string, took time.Duration) {
	if kind == "" {
		return
	}
	before, known := k.services[kind]
	switch {
	case known:
		k.services[kind] = before + time.Duration(smoothing*float64(took-before))
	case len(k.services) < maxKinds:
		if k.services == nil {
			k.services = map[string]time.Duration{}
		}
		k.services[kind] = took
	}
}

// service is the time of a kind; mean is that of all tickets, for a kind that is
// not known.
func (k *kinds) service(kind string, mean time.Duration) time.Duration {
	if known, ok := k.services[kind]; ok {
		return known
	}
	return mean
}
