package announce

// maxEndedBoots limits the number of boots that are remembered after their end. A delayed
// announcement is a few seconds old, and a server takes longer than that to start.
const maxEndedBoots = 256

// endedBoots remembers which boots of servers have ended, so that a delayed announcement does
// not register one of them again. A restarted server may reuse its boot ID; the start times
// distinguish the boots.
type endedBoots struct {
	// newestStart maps a boot ID to the newest start time that has ended, in Unix milliseconds;
	// 0 if the server did not send one.
	newestStart map[string]int64
	order       []string
}

// add records that a boot has ended; an empty boot ID is ignored.
func (b *endedBoots) add(boot string, started int64) {
	if boot == "" {
		return
	}
	if previous, known := b.newestStart[boot]; known {
		b.newestStart[boot] = max(previous, started)
		return
	}
	if b.newestStart == nil {
		b.newestStart = map[string]int64{}
	}
	if len(b.order) == maxEndedBoots {
		delete(b.newestStart, b.order[0])
		b.order = b.order[1:]
	}
	b.newestStart[boot] = started
	b.order = append(b.order, boot)
}

func (b *endedBoots) contains(boot string, started int64) bool {
	ended, known := b.newestStart[boot]
	return known && started <= ended
}
