package retry

// fleetSize remembers by how many hosts the additional retries of a span have to be divided.
type fleetSize struct {
	// sizes holds the numbers of hosts of the last span that no later number exceeds, with the slots in which they were last
	// in force, oldest first.
	sizes []sizeInForce
}

type sizeInForce struct {
	hosts int
	last  int64
}

// observe records the number of hosts that share the additional retries; 0: not known.
func (f *fleetSize) observe(slot int64, hosts int) {
	if hosts <= 0 {
		return
	}
	if len(f.sizes) > 0 {
		f.sizes[len(f.sizes)-1].last = slot // it was in force until now
	}
	for len(f.sizes) > 0 && f.sizes[len(f.sizes)-1].hosts <= hosts {
		f.sizes = f.sizes[:len(f.sizes)-1]
	}
	f.sizes = append(f.sizes, sizeInForce{hosts, slot})
	for f.sizes[0].last < slot-slotsPerWindow-transitSlots {
		f.sizes = f.sizes[1:]
	}
}

// part returns this host's part of the additional retries.
func (f *fleetSize) part(slot int64, extra int) float64 {
	if len(f.sizes) == 0 {
		return 0
	}
	return float64(extra) / float64(f.sizes[0].hosts)
}
