package adminapi

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// anyVersion as If-Match changes the subtree regardless of its version.
	anyVersion = "*"
	// defaultLines and maxLines are the number of entries returned of a history or statement.
	defaultLines = 50
	maxLines     = 1000
)

// treePath returns the path in the settings tree that the request addresses.
func treePath(q *request) string {
	return "/" + strings.Trim(q.http.PathValue("path"), "/")
}

func (h *Handler) getConfig(ctx context.Context, q *request) (any, error) {
	path := treePath(q)
	present, err := h.readConfig(ctx, path)
	if err != nil {
		return nil, err
	}
	if !present.found() {
		e := errkind.New(errkind.NotFound, "the settings tree has no value at %s", path).At(path)
		e.PresentVersion = present.version
		return nil, e
	}
	return ConfigAnswer{Path: path, Version: present.version, Revision: present.revision, Value: present.json}, nil
}

func (h *Handler) putConfig(ctx context.Context, q *request) (any, error) {
	body, err := readBody(q)
	if err != nil {
		return nil, err
	}
	path := treePath(q)
	if !json.Valid(body) {
		return nil, errkind.New(errkind.InvalidSettings, "the value is not valid JSON").At(path)
	}
	return h.setConfig(ctx, q, &pb.SetConfig{Path: path, ValueJson: body})
}

func (h *Handler) deleteConfig(ctx context.Context, q *request) (any, error) {
	return h.setConfig(ctx, q, &pb.SetConfig{Path: treePath(q), Delete: true})
}

// setConfig commits s if the subtree has the version in If-Match.
func (h *Handler) setConfig(ctx context.Context, q *request, s *pb.SetConfig) (any, error) {
	if err := expectVersion(q, s); err != nil {
		return nil, err
	}
	res, err := h.propose(ctx, q, &pb.Command{Body: &pb.Command_SetConfig{SetConfig: s}})
	if err != nil {
		return nil, err
	}
	return changeAnswer(q, res), nil
}

// expectVersion reads the expected version from If-Match. The header is mandatory, because a
// change without it would silently overwrite a concurrent change by another operator.
func expectVersion(q *request, s *pb.SetConfig) error {
	match := q.http.Header.Get("If-Match")
	if match == anyVersion {
		s.AnyVersion = true
		return nil
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return errkind.New(errkind.BadRequest,
			`a change must have the header If-Match with the subtree's version, such as "7", "0" if nothing is set yet, or * for any`)
	}
	s.ExpectedVersion = v
	return nil
}

// expected returns the number in If-Match; nil if the operator expects none.
func expected(q *request) (*uint64, error) {
	match := q.http.Header.Get("If-Match")
	if match == "" || match == anyVersion {
		return nil, nil
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "the header If-Match must be a number, such as \"7\", or * for any")
	}
	return &v, nil
}

func changeAnswer(q *request, res *pb.CommandResult) ChangeAnswer {
	set := res.GetSetConfig()
	return ChangeAnswer{OpID: q.opID, Resend: res.GetResend(), Revision: set.GetRevision(), Version: set.GetVersion()}
}

func (h *Handler) configHistory(ctx context.Context, q *request) (any, error) {
	limit, err := parseLimit(q)
	if err != nil {
		return nil, err
	}
	path := treePath(q)
	changes, err := h.history(ctx, path, limit)
	if err != nil {
		return nil, err
	}
	return HistoryAnswer{Path: path, Changes: changes}, nil
}

func (h *Handler) history(ctx context.Context, path string, limit uint32) ([]ConfigChange, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_History{History: &pb.HistoryQuery{Path: path, Limit: limit}}})
	if err != nil {
		return nil, err
	}
	changes := make([]ConfigChange, 0, len(res.GetHistory()))
	for _, c := range res.GetHistory() {
		changes = append(changes, ConfigChange{
			Revision: c.GetRevision(),
			Version:  c.GetVersion(),
			Path:     c.GetPath(),
			Value:    c.GetValueJson(),
			Delete:   c.GetDelete(),
			OpID:     c.GetOpId(),
			Actor:    c.GetActor(),
			Time:     time.UnixMilli(c.GetTimeMs()).UTC(),
		})
	}
	return changes, nil
}

// parseLimit returns the query parameter limit, the number of entries to return.
func parseLimit(q *request) (uint32, error) {
	v := q.http.URL.Query().Get("limit")
	if v == "" {
		return defaultLines, nil
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n == 0 || n > maxLines {
		return 0, errkind.New(errkind.BadRequest, "limit must be 1 to %d", maxLines)
	}
	return uint32(n), nil
}

// configStatus compares the committed revision with the revision that each host reports as
// in force. Without a quorum, the answer states that the committed revision is not known.
func (h *Handler) configStatus(ctx context.Context, _ *request) (any, error) {
	answer := ConfigStatus{}
	ctx, cancel := withOptionalReadTimeout(ctx)
	defer cancel()
	revision, err := h.committedRevision(ctx)
	if err != nil {
		answer.CommittedError = errkind.From(convertTimeout(err, false)).Error()
	} else {
		answer.CommittedKnown = true
		answer.CommittedRevision = revision
	}
	for _, s := range h.cfg.Fleet.Hosts() {
		answer.Hosts = append(answer.Hosts, hostRevision(s, answer))
	}
	return answer, nil
}

func hostRevision(s *pb.HostState, c ConfigStatus) HostRevision {
	inContact := s.GetHealth() == pb.HostHealth_HOST_HEALTH_ALIVE
	return HostRevision{
		Host:      s.GetHolder().GetHost(),
		Zone:      s.GetZone(),
		Revision:  s.GetConfigRevision(),
		InForce:   c.CommittedKnown && inContact && s.GetConfigRevision() >= c.CommittedRevision,
		InContact: inContact,
		HeardMS:   s.GetHeardMs(),
	}
}
