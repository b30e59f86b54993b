package balance

import "slices"

const (
	// maxOutputKeys bounds the client accounts and services whose answers are remembered.
	maxOutputKeys = 512
	// keptRatios is the number of newest answers that are remembered of each.
	keptRatios = 32
	// minRatios is the number of answers from which they count.
	minRatios = 4
	// outputQuantile is the share of answers that are to be no longer than expected.
	outputQuantile = 0.75
	// minRatio and maxRatio bound how much shorter or longer than the caller expects answers are taken to be.
	minRatio, maxRatio = 1.0 / 64, 8
)

// outputKey is whose answers are compared with what was expected of them. Callers' estimates and caps,
// which stand for absent estimates, are not told apart by any figure, so each has its own.
type outputKey struct {
	account, service string
	estimated        bool
}

// outputs learns how long answers are, as a ratio to their expected sizes.
type outputs struct {
	ratios map[outputKey]*ratios
	uses   uint64
}

func newOutputs() outputs { return outputs{ratios: make(map[outputKey]*ratios)} }

// ratios are those of the newest answers.
type ratios struct {
	newest []float64
	next   int
	// quantile is the outputQuantile of newest; 1 as long as there are too few.
	quantile float64
	lastUse  uint64
}

func (r *ratios) add(ratio float64) {
	if len(r.newest) < keptRatios {
		r.newest = append(r.newest, ratio)
	} else {
		r.newest[r.next] = ratio
		r.next = (r.next + 1) % keptRatios
	}
	if len(r.newest) < minRatios {
		return
	}
	sorted := slices.Sorted(slices.Values(r.newest))
	r.quantile = sorted[int(outputQuantile*float64(len(sorted)-1)+0.5)]
}

// expect returns the expected size of an answer, which is outputCap at most.
func (o *outputs) expect(key outputKey, expected, outputCap uint64) uint64 {
	if r := o.ratios[key]; r != nil {
		expected = uint64(float64(expected)*r.quantile + 0.5)
	}
	return min(max(expected, 1), outputCap)
}

// record records the size of an answer. A part of an answer counts only if it is longer than the whole
// was expected to be.
func (o *outputs) record(key outputKey, expected, generated uint64, whole bool) {
	if expected == 0 || generated == 0 {
		return
	}
	ratio := min(max(float64(generated)/float64(expected), minRatio), maxRatio)
	r := o.ratios[key]
	if !whole && (r == nil && ratio <= 1 || r != nil && ratio <= r.quantile) {
		return
	}
	if r == nil {
		r = &ratios{quantile: 1}
		o.makeRoom()
		o.ratios[key] = r
	}
	o.uses++
	r.lastUse = o.uses
	r.add(ratio)
}

// makeRoom removes the key that was used least recently if the table is full.
func (o *outputs) makeRoom() {
	if len(o.ratios) < maxOutputKeys {
		return
	}
	var oldest outputKey
	least := o.uses + 1
	for key, r := range o.ratios {
		if r.lastUse < least {
			oldest, least = key, r.lastUse
		}
	}
	delete(o.ratios, oldest)
}
