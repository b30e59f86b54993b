package callerapi

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/bearer"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Bounds of what backend servers send.
const (
	defaultAnnounceInterval = time.Second
	maxAnnouncement         = 64 << 10
	maxCacheEvents          = 1 << 20
	maxNames                = 1024
	maxNameBytes            = 256
	hashBase                = 16
	hashBits                = 64
)

// announceResponse tells a backend server where and how often to announce itself.
type announceResponse struct {
	// Hosts are addresses that take announcements.
	Hosts      []string `json:"hosts"`
	IntervalMs int64    `json:"interval_ms"`
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	body, err := a.readFromServer(r, maxAnnouncement)
	if err == nil {
		var st *pb.ServerState
		if st, err = decodeAnnouncement(body); err == nil {
			a.deps.Registry.Announce(st) // an old one changes nothing and is answered all the same
			a.answerAnnouncement(w, st.Zone)
			return
		}
	}
	httpserver.WriteError(w, "", err)
}

// readFromServer reads the body of a request that only backend servers may make.
//
// What goes wrong without the key: whoever reaches the callers' address announces a
// server of his own and is sent other accounts' prompts.
func (a *API) readFromServer(r *http.Request, limit int64) ([]byte, error) {
	if hashes := a.deps.Settings.Fleet().AnnounceKeyHashes; len(hashes) > 0 {
		key, _ := bearer.Key(r)
		if !settings.ContainsHash(hashes, settings.HashKey(key)) {
			return nil, errkind.New(errkind.Unauthenticated, "backend servers announce themselves with a key here")
		}
	}
	return readBounded(r, limit)
}

func (a *API) answerAnnouncement(w http.ResponseWriter, zone string) {
	interval := a.deps.AnnounceInterval
	if interval <= 0 {
		interval = defaultAnnounceInterval
	}
	answer := announceResponse{Hosts: []string{}, IntervalMs: interval.Milliseconds()}
	for _, h := range a.deps.Addresses.Addresses(zone) {
		answer.Hosts = append(answer.Hosts, h.Address)
	}
	writeJSON(w, answer)
}

// decodeAnnouncement reads an announcement: the fields of pb.ServerState in snake
// case, times in milliseconds. Unknown fields are passed over.
func decodeAnnouncement(body []byte) (*pb.ServerState, error) {
	st := &pb.ServerState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, st); err != nil {
		return nil, errkind.New(errkind.BadRequest, "the announcement can't be read: %v", err)
	}
	if err := checkServer(st.Address, st.Incarnation); err != nil {
		return nil, err
	}
	if st.AgeMs < 0 || st.LoadAgeMs < 0 {
		return nil, errkind.New(errkind.BadRequest, "an age is negative")
	}
	for _, speed := range []float64{st.TokensPerSecond, st.PrefillPerSecond} {
		if speed < 0 || math.IsNaN(speed) || math.IsInf(speed, 0) {
			return nil, errkind.New(errkind.BadRequest, "a speed is no number of tokens a second")
		}
	}
	for _, names := range [][]string{st.Models, st.Services, st.Adapters, {st.Pool, st.Zone, st.Role}} {
		if err := checkNames(names); err != nil {
			return nil, err
		}
	}
	return st, nil
}

func checkServer(address string, incarnation uint64) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return errkind.New(errkind.BadRequest, "address %q is not an IP number and port", truncate(address))
	}
	if incarnation == 0 {
		return errkind.New(errkind.BadRequest, "the incarnation is missing")
	}
	return nil
}

func checkNames(names []string) error {
	if len(names) > maxNames {
		return errkind.New(errkind.BadRequest, "a list has over %d names", maxNames)
	}
	for _, n := range names {
		if len(n) > maxNameBytes {
			return errkind.New(errkind.BadRequest, "name %q is over %d bytes", truncate(n), maxNameBytes)
		}
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), maxNameBytes)] }

// cacheReport is what a backend server says of its prefix cache. Events are numbered
// per incarnation; hashes are written in hex.
type cacheReport struct {
	Address     string        `json:"address"`
	Incarnation uint64        `json:"incarnation"`
	Events      []cacheChange `json:"events"`
}

// cacheChange is one numbered event.
type cacheChange struct {
	Seq     uint64   `json:"seq"`
	Stored  []string `json:"stored,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Cleared bool     `json:"cleared,omitempty"`
}

// cacheAnswer confirms events up to a number.
type cacheAnswer struct {
	Seq uint64 `json:"seq"`
}

func (a *API) cacheEvents(w http.ResponseWriter, r *http.Request) {
	body, err := a.readFromServer(r, maxCacheEvents)
	if err == nil {
		var events []backend.CacheEvent
		if events, err = decodeCacheEvents(body); err == nil {
			var answer cacheAnswer
			for _, ev := range events {
				a.deps.Registry.CacheEvent(ev)
				answer.Seq = ev.Seq
			}
			writeJSON(w, answer)
			return
		}
	}
	httpserver.WriteError(w, "", err)
}

// decodeCacheEvents reads a cacheReport.
func decodeCacheEvents(body []byte) ([]backend.CacheEvent, error) {
	var report cacheReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, errkind.New(errkind.BadRequest, "the events can't be read: %v", err)
	}
	if err := checkServer(report.Address, report.Incarnation); err != nil {
		return nil, err
	}
	events := make([]backend.CacheEvent, 0, len(report.Events))
	for _, change := range report.Events {
		ev := backend.CacheEvent{Server: report.Address, Incarnation: report.Incarnation, Seq: change.Seq, Cleared: change.Cleared}
		var err error
		if ev.Stored, err = hashes(change.Stored); err != nil {
			return nil, err
		}
		if ev.Removed, err = hashes(change.Removed); err != nil {
			return nil, err
		}
		events = append(events, ev)
	}
	return events, nil
}

func hashes(list []string) ([]uint64, error) {
	var out []uint64
	for _, s := range list {
		h, err := strconv.ParseUint(s, hashBase, hashBits)
		if err != nil {
			return nil, errkind.New(errkind.BadRequest, "hash %q is not written in hex", truncate(s))
		}
		out = append(out, h)
	}
	return out, nil
}

func readBounded(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "the body can't be read: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", limit)
	}
	return body, nil
}
