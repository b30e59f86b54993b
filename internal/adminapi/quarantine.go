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
	// Release makes all hosts forget the crashes of a request, and returns once the change would outlive this host. It
	// returns false if there were none.
	Release(context.Context, quarantine.Fingerprint) (released bool, err error)
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
func (h *Handler) releaseRequest(ctx context.Context, q *request) (any, error) {
	f, err := quarantine.ParseFingerprint(q.http.PathValue("fingerprint"))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "%v", err).At("/fingerprint")
	}
	if err := h.release(ctx, f); err != nil {
		return nil, err
	}
	h.cfg.Log.Info().Str("event", "suspect-released").Stringer("fingerprint", f).Str("actor", q.actor).Str("op_id", q.opID).Send()
	return RequestReleased{OpID: q.opID, Fingerprint: f.String()}, nil
}

func (h *Handler) release(ctx context.Context, f quarantine.Fingerprint) error {
	if h.cfg.Quarantine != nil {
		if released, err := h.cfg.Quarantine.Release(ctx, f); released || err != nil {
			return err
		}
	}
	return errkind.New(errkind.NotFound, "no crashes are recorded for request %s", f)
}
