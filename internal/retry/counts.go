package retry

// countedSlots is how many time slots back attempts are counted.
const countedSlots = 2*slotsPerWindow + transitSlots + 2

// counts counts attempts per time slot. Slots are numbered from 0.
type counts struct {
	perSlot [countedSlots]int
	newest  int64
}

// add counts one attempt in a slot. Slots come in ascending order.
func (c *counts) add(slot int64) {
	for ; c.newest < slot; c.newest++ {
		if slot-c.newest > countedSlots {
			c.newest = slot - countedSlots
		}
		c.perSlot[(c.newest+1)%countedSlots] = 0
	}
	c.perSlot[slot%countedSlots]++
}

// at returns how many attempts were counted in a slot; 0 for one that is too long ago.
func (c *counts) at(slot int64) int {
	if slot < 0 || slot > c.newest || slot <= c.newest-countedSlots {
		return 0
	}
	return c.perSlot[slot%countedSlots]
}

// sum returns how many attempts were counted in the slots from first to last.
func (c *counts) sum(first, last int64) int {
	n := 0
	for slot := first; slot <= last; slot++ {
		n += c.at(slot)
	}
	return n
}
