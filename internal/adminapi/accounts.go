package adminapi

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

const (
	// keyPrefix marks an account's key, so that a key pasted into a wrong place can be found.
	keyPrefix = "bbs_"
	keyBytes  = 32
	// maxKeyAttempts bounds the attempts to change an account's keys while other operators change
	// the account concurrently.
	maxKeyAttempts = 5
	// maxKeyHistory is the number of an account's changes in which a resend is searched for.
	maxKeyHistory = 100
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// NewKey generates a key of 256 random bits.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never fails, as its documentation says
	return keyPrefix + hex.EncodeToString(b)
}

func accountPath(name string) string { return "/accounts/" + name }

func (h *Handler) listAccounts(ctx context.Context, _ *request) (any, error) {
	accounts, err := readMap[settings.Account](ctx, h, "/accounts")
	if err != nil {
		return nil, err
	}
	list := AccountList{Accounts: []Account{}}
	for name, a := range accounts {
		list.Accounts = append(list.Accounts, Account{Name: name, Account: a})
	}
	slices.SortFunc(list.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

func (h *Handler) listTeams(ctx context.Context, _ *request) (any, error) {
	teams, err := readMap[settings.Team](ctx, h, "/teams")
	if err != nil {
		return nil, err
	}
	list := TeamList{Teams: []Team{}}
	for name, t := range teams {
		list.Teams = append(list.Teams, Team{Name: name, Team: t})
	}
	slices.SortFunc(list.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

// readMap returns the subtrees below path by name; nil if path has no value.
func readMap[T any](ctx context.Context, h *Handler, path string) (map[string]T, error) {
	present, err := h.readConfig(ctx, path)
	if err != nil || !present.found() {
		return nil, err
	}
	var m map[string]T
	if err := json.Unmarshal(present.json, &m); err != nil {
		return nil, errors.Wrapf(err, "decode the settings at %s", path)
	}
	return m, nil
}

// createAccount commits the account with the hash of its first key. It expects the version
// of a subtree without a value, so that an account is never replaced.
func (h *Handler) createAccount(ctx context.Context, q *request) (any, error) {
	var body CreateAccount
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	if body.Name == "" {
		return nil, errkind.New(errkind.BadRequest, "the account has no name").At("/name")
	}
	key, hash, err := chooseKey(body.KeyHash)
	if err != nil {
		return nil, err
	}
	path := accountPath(body.Name)
	present, err := h.readConfig(ctx, path)
	if err != nil {
		return nil, err
	}
	change := &pb.SetConfig{Path: path}
	if !present.found() {
		change.ExpectedVersion = present.version
	}
	change.ValueJson, err = json.Marshal(settings.Account{
		Team: body.Team, Budget: body.Budget, Weight: body.Weight, KeyHashes: []string{hash}})
	if err != nil {
		return nil, errors.Wrap(err, "encode the account")
	}
	// If the account exists, version 0 conflicts, unless this is a resend, which gets the
	// first answer.
	res, err := h.proposeKeys(ctx, q, q.opID, body.Name, change)
	if errkind.Is(err, errkind.VersionConflict) {
		return nil, errkind.New(errkind.AlreadyExists, "account %s already exists", body.Name).At(path)
	}
	if err != nil {
		return nil, err
	}
	return h.keyAnswer(ctx, q, res, body.Name, key, hash)
}

// proposeKeys commits a change that may contain the hash of a newly generated key. Each
// request generates a different key, so the control group rejects a resend as a different
// change with the same operation id. The history then shows whether this operation was made.
func (h *Handler) proposeKeys(ctx context.Context, q *request, opID, account string, s *pb.SetConfig) (*pb.CommandResult, error) {
	res, err := h.proposeAs(ctx, opID, q.actor, &pb.Command{Body: &pb.Command_SetConfig{SetConfig: s}})
	if !errkind.Is(err, errkind.KeyConflict) {
		return res, err
	}
	first, lookupErr := h.findEarlierChange(ctx, q, account)
	if first != nil || lookupErr != nil {
		return first, lookupErr
	}
	return nil, err
}

// chooseKey returns the operator's hash, or generates a key if given is empty.
func chooseKey(given string) (key, hash string, err error) {
	if given == "" {
		key = NewKey()
		return key, settings.HashKey(key), nil
	}
	if !hashPattern.MatchString(given) {
		return "", "", errkind.New(errkind.BadRequest, "key_hash is not a SHA-256 hash in lower-case hex").At("/key_hash")
	}
	return "", given, nil
}

// keyAnswer builds the answer to a change that adds hash to an account. The key generated for
// a resend differs from the one in the first answer. It is returned only if the settings tree
// contains its hash; otherwise the operator would hand out a key that is not valid.
func (h *Handler) keyAnswer(ctx context.Context, q *request, res *pb.CommandResult, account, key, hash string) (any, error) {
	answer := KeyAnswer{ChangeAnswer: changeAnswer(q, res), Account: account, Key: key, KeyHash: hash}
	if !res.GetResend() {
		return answer, nil
	}
	hashes, _, _, err := h.keyHashes(ctx, account)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(hashes, hash) {
		answer.Key, answer.KeyHash = "", ""
	}
	return answer, nil
}

// keyHashes returns the hashes of an account's keys and the account's version.
func (h *Handler) keyHashes(ctx context.Context, account string) (hashes []string, version uint64, found bool, err error) {
	present, err := h.readConfig(ctx, accountPath(account))
	if err != nil || !present.found() {
		return nil, 0, false, err
	}
	var a settings.Account
	if err := json.Unmarshal(present.json, &a); err != nil {
		return nil, 0, true, errors.Wrapf(err, "decode account %s", account)
	}
	return a.KeyHashes, present.version, true, nil
}

func (h *Handler) addKey(ctx context.Context, q *request) (any, error) {
	var body AddKey
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	key, hash, err := chooseKey(body.KeyHash)
	if err != nil {
		return nil, err
	}
	name := q.http.PathValue("name")
	res, err := h.editKeys(ctx, q, name, func(hashes []string) ([]string, error) {
		if slices.Contains(hashes, hash) {
			return hashes, nil
		}
		return append(hashes, hash), nil
	})
	if err != nil {
		return nil, err
	}
	return h.keyAnswer(ctx, q, res, name, key, hash)
}

func (h *Handler) dropKey(ctx context.Context, q *request) (any, error) {
	name, hash := q.http.PathValue("name"), q.http.PathValue("hash")
	res, err := h.editKeys(ctx, q, name, func(hashes []string) ([]string, error) {
		i := slices.Index(hashes, hash)
		if i < 0 {
			return nil, errkind.New(errkind.NotFound, "account %s has no key with this hash", name)
		}
		return slices.Delete(hashes, i, i+1), nil
	})
	if err != nil {
		return nil, err
	}
	return KeyAnswer{ChangeAnswer: changeAnswer(q, res), Account: name, KeyHash: hash}, nil
}

// editKeys reads an account's key hashes, applies edit and commits the list with the version
// that was read as the expected one. If the account was changed in between, it tries again.
// The control group stores a conflict as the answer to its operation id, so each version is
// tried under an id of its own.
func (h *Handler) editKeys(ctx context.Context, q *request, account string, edit func([]string) ([]string, error)) (*pb.CommandResult, error) {
	if res, err := h.findEarlierChange(ctx, q, account); res != nil || err != nil {
		return res, err
	}
	var conflict error
	for range maxKeyAttempts {
		hashes, version, found, err := h.keyHashes(ctx, account)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, errkind.New(errkind.NotFound, "there is no account %s", account)
		}
		hashes, err = edit(hashes)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(hashes)
		if err != nil {
			return nil, errors.Wrap(err, "encode key hashes")
		}
		res, err := h.proposeKeys(ctx, q, versionedID(q.opID, version), account, &pb.SetConfig{
			Path: accountPath(account) + "/key_hashes", ValueJson: value, ExpectedVersion: version})
		if !errkind.Is(err, errkind.VersionConflict) {
			return res, err
		}
		conflict = err
	}
	return nil, conflict
}

// versionSeparator separates an operation id from the version that was expected.
const versionSeparator = "@"

func versionedID(opID string, version uint64) string {
	return opID + versionSeparator + strconv.FormatUint(version, 10)
}

// findEarlierChange returns the result of an account's change that an earlier request with this
// operation id made, or nil if there is none. Without it, resending the removal of a key
// would fail because the key no longer exists.
func (h *Handler) findEarlierChange(ctx context.Context, q *request, account string) (*pb.CommandResult, error) {
	changes, err := h.history(ctx, accountPath(account), maxKeyHistory)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if c.OpID == q.opID || strings.HasPrefix(c.OpID, q.opID+versionSeparator) {
			return &pb.CommandResult{Resend: true, Body: &pb.CommandResult_SetConfig{
				SetConfig: &pb.SetConfigResult{Revision: c.Revision, Version: c.Version}}}, nil
		}
	}
	return nil, nil
}
