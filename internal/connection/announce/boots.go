package announce

// maxEnded bounds the boots that are remembered after their end. A late
// announcement is seconds old, and a server takes longer than that to start.
const maxEnded = 256

// boots remembers which starts of servers are over, so that an announcement
// which was under way for long does not bring one back.
type boots struct {
	ended map[string]bool
	order []string
}

// end notes that a boot is over; "" names none.
func (b *boots) end(boot string) {
	if boot == "" || b.ended[boot] {
		return
	}
	if b.ended == nil {
		b.ended = map[string]bool{}
	}
	if len(b.order) == maxEnded {
		delete(b.ended, b.order[0])
		b.order = b.order[1:]
	}
	b.ended[boot] = true
	b.order = append(b.order, boot)
}

func (b *boots) over(boot string) bool { return b.ended[boot] }
