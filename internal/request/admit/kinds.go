package admit

import "time"

// maxKinds bounds the number of kinds tracked; the mean of all tickets is used for
// further ones.
const maxKinds = 256

// serviceTimes holds the smoothed service time of each kind of ticket. A common
// mean would admit too few short requests and too many long ones.
type serviceTimes struct {
	byKind map[string]time.Duration
}

func (k *serviceTimes) record(kind string, took time.Duration) {
	if kind == "" {
		return
	}
	previous, known := k.byKind[kind]
	switch {
	case known:
		k.byKind[kind] = previous + time.Duration(serviceTimeWeight*float64(took-previous))
	case len(k.byKind) < maxKinds:
		if k.byKind == nil {
			k.byKind = map[string]time.Duration{}
		}
		k.byKind[kind] = took
	}
}

// get returns the service time of a kind, or mean, that of all tickets, if the kind
// is unknown.
func (k *serviceTimes) get(kind string, mean time.Duration) time.Duration {
	if known, ok := k.byKind[kind]; ok {
		return known
	}
	return mean
}
