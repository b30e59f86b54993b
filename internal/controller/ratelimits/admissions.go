package ratelimits

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

const (
	// defaultLifetime is how long a request without a deadline counts as in flight.
	defaultLifetime = 10 * time.Second
	// reportTimeout bounds one call that reports on an admitted request, and reportTries how often it
	// is made.
	reportTimeout = 100 * time.Millisecond
	reportTries   = 3
)

// CheckAdmission implements balance.Admissions.
func (l *Limiter) CheckAdmission(now time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration) {
	if !l.brittle.observed.Load() {
		return ratelimit.Free, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.brittle.table.Check(now, inc)
}

// RequestAdmission asks the owner of a brittle server to admit one request, which has ended after lifetime
// at the latest. The result is the zero value if the request is not admitted.
func (l *Limiter) RequestAdmission(ctx context.Context, inc instance.Incarnation, slots int, lifetime time.Duration) admission.Admission {
	if lifetime <= 0 {
		lifetime = defaultLifetime
	}
	now := time.Now()
	req := &pb.AdmitRequest{
		Host: l.cfg.Host, Id: l.brittle.lastID.Add(1), Server: l.encode(now, inc), Slots: uint32(slots), LifetimeMs: lifetime.Milliseconds(),
	}
	a := admission.Admission{Incarnation: inc, ID: req.GetId()}
	reply := &pb.AdmitReply{}
	if h, remote := l.ownerOf(inc); remote {
		a.Owner = h.Address
		var err error
		if reply, err = l.callAdmit(ctx, h, req); err != nil {
			l.brittle.asks.Add("unanswered", 1)
			l.cfg.Log.Debug().Str("event", "admission-unanswered").Str("server", inc.ID).Str("owner", h.Name).Err(err).Send()
			l.ReportAdmission(a, admission.Finished) // the owner may have admitted it
			l.deny(inc, now.Add(unansweredBackoff))
			return admission.Admission{}
		}
		l.Merge([]*pb.ServerLimit{reply.GetServer()})
	} else {
		reply = l.HandleAdmit(req)
	}
	if !reply.GetAdmitted() {
		l.brittle.asks.Add("denied", 1)
		l.deny(inc, time.Now().Add(time.Duration(reply.GetAfterUs())*time.Microsecond))
		return admission.Admission{}
	}
	l.brittle.asks.Add("admitted", 1)
	return a
}

// ownerOf returns the owner of a server; remote is false if it is this host.
func (l *Limiter) ownerOf(inc instance.Incarnation) (h owners.Host, remote bool) {
	hosts := l.cfg.Owners.FirstRanked(Key(inc), 1)
	if len(hosts) == 0 || hosts[0].Self() {
		return owners.Host{}, false
	}
	return hosts[0], true
}

func (l *Limiter) callAdmit(ctx context.Context, h owners.Host, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := l.cfg.Client(h.Address).Admit(ctx, req)
	if err != nil {
		l.cfg.Owners.MarkUnanswered(h.Name)
		return nil, err
	}
	l.cfg.Owners.MarkAnswered(h.Name)
	return reply, nil
}

func (l *Limiter) deny(inc instance.Incarnation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittle.table.Denied(until, inc)
}

// ReportAdmission implements balance.Admissions. It does not wait for the owner.
func (l *Limiter) ReportAdmission(a admission.Admission, result admission.Result) {
	if a.ID == 0 { // it was sent without an admission
		h, _ := l.ownerOf(a.Incarnation)
		a.Owner = h.Address
	}
	req := &pb.ReportAdmissionRequest{
		Host: l.cfg.Host, Id: a.ID, Run: &pb.ServerRun{Id: a.Incarnation.ID, Incarnation: a.Incarnation.Started}, Result: encodeResult(result),
	}
	if a.Owner == "" {
		l.HandleReportAdmission(req)
		return
	}
	go func() {
		defer panics.Log(l.cfg.Log, "reporting on an admitted request")
		l.sendReport(a, req)
	}()
}

func (l *Limiter) sendReport(a admission.Admission, req *pb.ReportAdmissionRequest) {
	var err error
	for range reportTries {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		_, err = l.cfg.Client(a.Owner).ReportAdmission(ctx, req)
		cancel()
		if err == nil {
			return
		}
	}
	l.cfg.Log.Debug().Str("event", "admission-report-unanswered").Str("server", a.Incarnation.ID).Str("result", req.GetResult().String()).Err(err).Send()
}

func encodeResult(r admission.Result) pb.AdmissionResult {
	switch r {
	case admission.Accepted:
		return pb.AdmissionResult_ADMISSION_RESULT_ACCEPTED
	case admission.Rejected:
		return pb.AdmissionResult_ADMISSION_RESULT_REJECTED
	case admission.Left:
		return pb.AdmissionResult_ADMISSION_RESULT_LEFT
	case admission.Finished:
	}
	return pb.AdmissionResult_ADMISSION_RESULT_FINISHED
}

// allowance returns how many rejections of a server in a second this host may cause as its owner; 0 if it
// is not the owner, or other hosts may have taken themselves for it within admission.SettledTime.
func (l *Limiter) allowance(inc instance.Incarnation, tolerated int) int {
	rank, owns := l.cfg.Owners.Rank(Key(inc))
	if !owns {
		return 0
	}
	least := admission.Allowance(tolerated, rank, l.cfg.Owners.AliveFraction())
	if l.cfg.Owners.AgreedFor() >= admission.AgreedTime {
		return least
	}
	complete := l.cfg.Owners.EachRecent(Key(inc), admission.SettledTime, func(rank int, alive float64) {
		least = min(least, admission.Allowance(tolerated, rank, alive))
	})
	if !complete {
		return 0
	}
	return least
}

// HandleAdmit admits a request to a server if this host is the server's owner and the server may get it.
func (l *Limiter) HandleAdmit(req *pb.AdmitRequest) *pb.AdmitReply {
	l.Merge([]*pb.ServerLimit{req.GetServer()})
	inc := incarnationOf(req.GetServer())
	tolerated, brittle := l.tolerated(inc)
	allowance := l.allowance(inc, tolerated)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &pb.AdmitReply{Server: l.encodeLocked(now, inc)}
	if !brittle {
		reply.AfterUs = admission.SettleTime.Microseconds()
		return reply
	}
	d := l.brittle.owner.Admit(now, admission.Request{
		Incarnation: inc, Key: admission.Key{Host: req.GetHost(), ID: req.GetId()}, Slots: int(req.GetSlots()), Allowance: allowance,
		Lifetime: time.Duration(max(req.GetLifetimeMs(), 0)) * time.Millisecond,
	})
	l.brittle.decisions.Add(d.Denial.String(), 1)
	reply.Admitted, reply.AfterUs = d.Denial == admission.Admitted, d.After.Microseconds()
	return reply
}

func (l *Limiter) tolerated(inc instance.Incarnation) (n int, brittle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.brittle.table.Tolerated(inc)
}

// HandleReportAdmission records how far an admitted request has come.
func (l *Limiter) HandleReportAdmission(req *pb.ReportAdmissionRequest) *pb.ReportAdmissionReply {
	inc := instance.Incarnation{ID: req.GetRun().GetId(), Started: req.GetRun().GetIncarnation()}
	k := admission.Key{Host: req.GetHost(), ID: req.GetId()}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch req.GetResult() {
	case pb.AdmissionResult_ADMISSION_RESULT_ACCEPTED:
		l.brittle.owner.Accepted(inc, k)
	case pb.AdmissionResult_ADMISSION_RESULT_FINISHED:
		l.brittle.owner.Finished(inc, k)
	case pb.AdmissionResult_ADMISSION_RESULT_LEFT:
		l.brittle.owner.Left(time.Now(), inc, k)
	case pb.AdmissionResult_ADMISSION_RESULT_REJECTED:
		r := l.brittle.owner.Rejected(time.Now(), inc, k)
		l.brittle.rejections.Add(1)
		l.cfg.Log.Info().Str("event", "server-window").Str("server", inc.ID).Uint64("incarnation", inc.Started).Int("window", r.Window).
			Int("in_flight", r.InFlight).Int("rejections", r.Rejections).Str("host", req.GetHost()).Send()
	case pb.AdmissionResult_ADMISSION_RESULT_NONE:
	}
	return &pb.ReportAdmissionReply{}
}
