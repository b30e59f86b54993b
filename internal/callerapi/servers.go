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

// Bounds of requests from backend servers.
const (
	defaultAnnounceInterval = time.Second
	maxAnnouncement         = 64 << 10
	maxCacheEvents          = 1 << 20
	maxNames                = 1024
	maxNameBytes            = 256
	hashBase                = 16
	hashBits                = 64
)

// announceAnswer tells a backend server to which hosts and how often to announce itself.
type announceAnswer struct {
	// Hosts are the addresses of hosts that accept announcements.
	Hosts      []string `json:"hosts"`
	IntervalMs int64    `json:"interval_ms"`
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	body, err := a.readFromServer(r, maxAnnouncement)
	if err == nil {
		var st *pb.ServerState
		if st, err = decodeAnnouncement(body); err == nil {
			a.deps.Registry.Announce(st) // an outdated one has no effect but is answered the same way
			a.answerAnnouncement(w, st.Zone)
			return
		}
	}
	httpserver.WriteError(w, "", err)
}

// readFromServer reads the body of a request that only backend servers may make.
//
// If a key is set in the fleet's settings, the request must carry it. Without a key, anyone
// who can reach the callers' address could announce a server and be sent the prompts of other
// accounts.
func (a *API) readFromServer(r *http.Request, limit int64) ([]byte, error) {
	if hashes := a.deps.Settings.Fleet().AnnounceKeyHashes; len(hashes) > 0 {
		key, _ := bearer.Key(r)
		if !settings.ContainsHash(hashes, settings.HashKey(key)) {
			return nil, errkind.New(errkind.Unauthenticated, "requests of backend servers to this fleet need the announcement key")
		}
	}
	return readBounded(r, limit)
}

func (a *API) answerAnnouncement(w http.ResponseWriter, zone string) {
	interval := a.deps.AnnounceInterval
	if interval <= 0 {
		interval = defaultAnnounceInterval
	}
	answer := announceAnswer{Hosts: []string{}, IntervalMs: interval.Milliseconds()}
	for _, h := range a.deps.Addresses.Addresses(zone) {
		answer.Hosts = append(answer.Hosts, h.Address)
	}
	writeJSON(w, answer)
}

// decodeAnnouncement decodes an announcement: the fields of pb.ServerState in snake case,
// times in milliseconds. Unknown fields are ignored.
func decodeAnnouncement(body []byte) (*pb.ServerState, error) {
	st := &pb.ServerState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, st); err != nil {
		return nil, errkind.New(errkind.BadRequest, "invalid announcement: %v", err)
	}
	if err := checkServer(st.Address, st.Incarnation); err != nil {
		return nil, err
	}
	if st.AgeMs < 0 || st.LoadAgeMs < 0 {
		return nil, errkind.New(errkind.BadRequest, "age_ms and load_age_ms must not be negative")
	}
	for _, speed := range []float64{st.TokensPerSecond, st.PrefillPerSecond} {
		if speed < 0 || math.IsNaN(speed) || math.IsInf(speed, 0) {
			return nil, errkind.New(errkind.BadRequest, "tokens_per_second and prefill_per_second must be finite and not negative")
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
		return errkind.New(errkind.BadRequest, "address %q is not an IP address and port", truncate(address))
	}
	if incarnation == 0 {
		return errkind.New(errkind.BadRequest, "the incarnation is missing")
	}
	return nil
}

func checkNames(names []string) error {
	if len(names) > maxNames {
		return errkind.New(errkind.BadRequest, "a list has more than %d names", maxNames)
	}
	for _, n := range names {
		if len(n) > maxNameBytes {
			return errkind.New(errkind.BadRequest, "name %q is longer than %d bytes", truncate(n), maxNameBytes)
		}
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), maxNameBytes)] }

// cacheReport reports changes of a backend server's prefix cache. Events are numbered per
// incarnation; hashes are in hexadecimal.
type cacheReport struct {
	Address     string        `json:"address"`
	Incarnation uint64        `json:"incarnation"`
	Events      []cacheChange `json:"events"`
}

// cacheChange is one event of a cacheReport.
type cacheChange struct {
	Seq     uint64   `json:"seq"`
	Stored  []string `json:"stored,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Cleared bool     `json:"cleared,omitempty"`
}

// cacheAnswer acknowledges the events up to Seq.
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

// decodeCacheEvents decodes a cacheReport.
func decodeCacheEvents(body []byte) ([]backend.CacheEvent, error) {
	var report cacheReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, errkind.New(errkind.BadRequest, "invalid cache events: %v", err)
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
			return nil, errkind.New(errkind.BadRequest, "hash %q is not a hexadecimal number of 64 bits", truncate(s))
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
