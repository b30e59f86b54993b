package adminapi

import (
	"context"
	"strconv"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Quarantine blocks requests that crash backend servers.
type Quarantine interface {
	// Entries returns the requests with recorded crashes.
	Entries() []quarantine.Entry
	// Release makes all hosts forget the crashes of a request. It returns false if there
	// were none.
	Release(quarantine.Fingerprint) bool
}

// listQuarantine returns the entries that this host knows. All hosts that are in contact have
// the same ones.
func (h *Handler) listQuarantine(context.Context, *request) (any, error) {
	list := QuarantineList{Requests: []QuarantinedRequest{}}
	if h.cfg.Quarantine == nil {
		return list, nil
	}
	for _, e := range h.cfg.Quarantine.Entries() {
		list.Requests = append(list.Requests, quarantineView(e))
	}
	return list, nil
}

func quarantineView(e quarantine.Entry) QuarantinedRequest {
	v := QuarantinedRequest{
		Account: e.Account, Fingerprint: e.ID.Fingerprint.String(), Level: string(e.Status.Level), Trials: e.Status.Trials,
	}
	if part, ok := e.ID.Fingerprint.Part(); ok {
		v.Part = strconv.FormatUint(part, 16)
	}
	if e.Status.Level == quarantine.Quarantined {
		v.NextTrialMS = max(e.Status.NextTrial, 0).Milliseconds()
	}
	for _, c := range e.Crashes {
		v.Crashes = append(v.Crashes, ServerCrash{
			Server: c.GetServer().GetId(), Incarnation: c.GetServer().GetIncarnation(), Host: c.GetHost(), Others: int(c.GetOthers()),
			AgoMS: c.GetAgeMs(),
		})
	}
	return v
}

// releaseRequest makes all hosts forget the crashes of a request. A resend releases the request
// again, which has no effect unless the request crashed servers in the meantime.
func (h *Handler) releaseRequest(_ context.Context, q *request) (any, error) {
	f, err := quarantine.ParseFingerprint(q.http.PathValue("fingerprint"))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "%v", err).At("/fingerprint")
	}
	if h.cfg.Quarantine == nil || !h.cfg.Quarantine.Release(f) {
		return nil, errkind.New(errkind.NotFound, "no crashes are recorded for request %s", f)
	}
	h.cfg.Log.Info().Str("event", "suspect-released").Stringer("fingerprint", f).Str("actor", q.actor).Str("op_id", q.opID).Send()
	return RequestReleased{OpID: q.opID, Fingerprint: f.String()}, nil
}
