package announce

// maxEnded bounds the boots that are remembered after their end. A late
// announcement is seconds old, and a server takes longer than that to start.
const maxEnded = 256

// boots remembers which starts of servers are over, so that an announcement
// which was under way for long does not bring one back. A server may start again
// under the name that it had: the times of the starts tell them apart.
type boots struct {
	// ended is the newest start that is over, by name, in Unix milliseconds; 0 did
	// not tell.
	ended map[string]int64
	order []string
}

// end notes that a boot is over; "" names none.
func (b *boots) end(boot string, started int64) {
	if boot == "" {
		return
	}
	if before, known := b.ended[boot]; known {
		b.ended[boot] = max(before, started)
		return
	}
	if b.ended == nil {
		b.ended = map[string]int64{}
	}
	if len(b.order) == maxEnded {
		delete(b.ended, b.order[0])
		b.order = b.order[1:]
	}
	b.ended[boot] = started
	b.order = append(b.order, boot)
}

func (b *boots) over(boot string, started int64) bool {
	ended, known := b.ended[boot]
	return known && started <= ended
}
