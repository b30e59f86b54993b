package procstat

import (
	"sync"
	"syscall"
	"time"
)

// ProcessorPeriod is the period at which a Processor is to be sampled.
const ProcessorPeriod = time.Second

// Processor measures the processor time that the process uses. The zero value is ready to use; it is safe
// for concurrent use.
type Processor struct {
	mu sync.Mutex
	// last is the last sample, permille the use between it and the one before.
	last     processorSample
	permille int64
	measured bool
}

type processorSample struct {
	at   time.Time
	used time.Duration
}

// Sample reads the processor time used so far.
func (p *Processor) Sample() {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return
	}
	p.add(time.Now(), time.Duration(u.Utime.Nano()+u.Stime.Nano()))
}

func (p *Processor) add(now time.Time, used time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if past := now.Sub(p.last.at); !p.last.at.IsZero() && past > 0 {
		p.permille, p.measured = int64(1000*(used-p.last.used)/past), true
	}
	p.last = processorSample{at: now, used: used}
}

// Permille returns the use between the last two samples, in thousandths of one processor; ok is false before
// the second sample.
func (p *Processor) Permille() (permille int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permille, p.measured
}

// ResidentBytes returns the resident memory as the system counts it; 0 if it does not provide it.
func ResidentBytes() uint64 {
	now, _ := resident()
	return now
}
