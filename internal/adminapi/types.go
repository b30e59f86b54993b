package adminapi

import (
	"encoding/json"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Health is the answer to GET /healthz.
type Health struct {
	Status string `json:"status"`
}

// ConfigAnswer is the settings tree at one path.
type ConfigAnswer struct {
	Path string `json:"path"`
	// Version is the version of the subtree that contains Path. A change sends it as If-Match.
	Version uint64 `json:"version"`
	// Revision is the revision of the whole tree.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (a ConfigAnswer) versionTag() uint64 { return a.Version }

// ChangeAnswer is the outcome of a change of the settings tree.
type ChangeAnswer struct {
	OpID     string `json:"op_id"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	// Resend is true if an earlier request with this operation id made the change.
	Resend bool `json:"resend,omitempty"`
}

func (a ChangeAnswer) versionTag() uint64 { return a.Version }

// HistoryAnswer lists changes of the settings tree at and below one path.
type HistoryAnswer struct {
	Path    string         `json:"path"`
	Changes []ConfigChange `json:"changes"`
}

// ConfigChange is one committed change.
type ConfigChange struct {
	Revision uint64          `json:"revision"`
	Version  uint64          `json:"version"`
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value,omitempty"`
	Delete   bool            `json:"delete,omitempty"`
	OpID     string          `json:"op_id"`
	Actor    string          `json:"actor"`
	Time     time.Time       `json:"time"`
}

// ConfigStatus lists the settings revision in force on each host.
type ConfigStatus struct {
	CommittedRevision uint64 `json:"committed_revision"`
	// CommittedKnown is false if the committed revision could not be read from a quorum.
	// CommittedError is the reason.
	CommittedKnown bool           `json:"committed_known"`
	CommittedError string         `json:"committed_error,omitempty"`
	Hosts          []HostRevision `json:"hosts"`
}

// HostRevision is one host's entry in ConfigStatus.
type HostRevision struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// InForce is true if the host is in contact and has the committed revision.
	InForce bool `json:"in_force"`
	// InContact is true if the answering host receives this host's heartbeats.
	InContact bool `json:"in_contact"`
	// HeardMS is the time since the host's last heartbeat, in milliseconds.
	HeardMS int64 `json:"heard_ms"`
}

// Budget is one prepaid budget, in whole tokens.
type Budget struct {
	Name    string `json:"name"`
	Account string `json:"account,omitempty"`
	Funded  uint64 `json:"funded"`
	Billed  uint64 `json:"billed"`
	// Granted is the sum that hosts hold. Free can still be granted.
	Granted uint64         `json:"granted"`
	Free    uint64         `json:"free"`
	Bills   uint64         `json:"bills"`
	Holders []HolderTokens `json:"holders,omitempty"`
}

// HolderTokens is the number of a budget's tokens that one holder, an incarnation of a host, has.
type HolderTokens struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Tokens      uint64 `json:"tokens"`
}

// BudgetList lists all budgets.
type BudgetList struct {
	Budgets []Budget `json:"budgets"`
}

// CreateBudget is the body of POST /v1/budgets.
type CreateBudget struct {
	Name    string `json:"name"`
	Account string `json:"account,omitempty"`
	Tokens  uint64 `json:"tokens"`
	Note    string `json:"note,omitempty"`
}

// TopUp is the body of POST /v1/budgets/{name}/top-ups.
type TopUp struct {
	Tokens uint64 `json:"tokens"`
	Note   string `json:"note,omitempty"`
}

// BudgetAnswer is a budget after a change.
type BudgetAnswer struct {
	OpID string `json:"op_id"`
	// Resend is true if an earlier request with this operation id made the change.
	Resend bool   `json:"resend,omitempty"`
	Budget Budget `json:"budget"`
}

// Statement lists the ledger's entries for one budget.
type Statement struct {
	Budget string          `json:"budget"`
	Lines  []StatementLine `json:"lines"`
}

// StatementLine is one entry of a statement. Kind is "create", "top-up", "lowered", "bill", "spend",
// "duplicate", "expired", "recover" or "uncovered".
type StatementLine struct {
	Index     uint64    `json:"index"`
	Time      time.Time `json:"time"`
	Kind      string    `json:"kind"`
	Identity  string    `json:"identity,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Tokens    uint64    `json:"tokens"`
	Actor     string    `json:"actor,omitempty"`
	Note      string    `json:"note,omitempty"`
}

// CreateAccount is the body of POST /v1/accounts.
type CreateAccount struct {
	Name   string `json:"name"`
	Team   string `json:"team"`
	Budget string `json:"budget"`
	Weight int    `json:"weight,omitempty"`
	// KeyHash is the hash of a key that the operator generated. If it is empty, a key is
	// generated and returned in the answer.
	KeyHash string `json:"key_hash,omitempty"`
}

// AddKey is the body of POST /v1/accounts/{name}/keys.
type AddKey struct {
	// KeyHash is the hash of a key that the operator generated. If it is empty, a key is
	// generated and returned in the answer.
	KeyHash string `json:"key_hash,omitempty"`
}

// KeyAnswer is the outcome of a change of an account's keys.
type KeyAnswer struct {
	ChangeAnswer
	Account string `json:"account"`
	// Key is returned once and never stored. It is empty if the operator generated the key,
	// and for a resend, since the first answer contained it.
	Key string `json:"key,omitempty"`
	// KeyHash identifies the key. It is empty if it is not known which key is in force.
	KeyHash string `json:"key_hash,omitempty"`
}

// AccountList lists all client accounts.
type AccountList struct {
	Accounts []Account `json:"accounts"`
}

// Account is a client account with its name.
type Account struct {
	Name string `json:"name"`
	settings.Account
}

// TeamList lists all teams.
type TeamList struct {
	Teams []Team `json:"teams"`
}

// Team is a team's rules with its name.
type Team struct {
	Name string `json:"name"`
	settings.Team
}

// HostList lists all hosts.
type HostList struct {
	// RegisteredKnown is false if the registered hosts could not be read from a quorum.
	RegisteredKnown bool   `json:"registered_known"`
	Hosts           []Host `json:"hosts"`
}

// Host is one host as the control group and the answering host know it.
type Host struct {
	Host           string `json:"host"`
	Zone           string `json:"zone"`
	CallerAddress  string `json:"caller_address,omitempty"`
	PeerAddress    string `json:"peer_address,omitempty"`
	Control        bool   `json:"control,omitempty"`
	Incarnation    uint64 `json:"incarnation"`
	Health         string `json:"health"`
	Leaving        bool   `json:"leaving,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
	ConfigRevision uint64 `json:"config_revision"`
	HeardMS        int64  `json:"heard_ms"`
	// Unrecovered lists dead incarnations whose grants are still locked.
	Unrecovered []uint64 `json:"unrecovered,omitempty"`
}

// HostRemoved is the answer to POST /v1/hosts/{name}/remove.
type HostRemoved struct {
	OpID   string `json:"op_id"`
	Resend bool   `json:"resend,omitempty"`
	Host   string `json:"host"`
}

// ServerList lists the backend servers that the answering host knows.
type ServerList struct {
	Servers []Server `json:"servers"`
}

// Server is one backend server.
type Server struct {
	Address         string   `json:"address"`
	Incarnation     uint64   `json:"incarnation"`
	Zone            string   `json:"zone"`
	Pool            string   `json:"pool"`
	Role            string   `json:"role,omitempty"`
	Models          []string `json:"models,omitempty"`
	Services        []string `json:"services,omitempty"`
	Adapters        []string `json:"adapters,omitempty"`
	Leaving         bool     `json:"leaving,omitempty"`
	ChecksFence     bool     `json:"checks_fence"`
	AgeMS           int64    `json:"age_ms"`
	Running         uint32   `json:"running"`
	Waiting         uint32   `json:"waiting"`
	Slots           uint32   `json:"slots"`
	TokensPerSecond float64  `json:"tokens_per_second,omitempty"`
}

// Order is the body of POST /v1/servers/{address}/orders.
type Order struct {
	// Verb is the action, such as "load_model" or "unload_model".
	Verb string `json:"verb"`
	// Object is the model, adapter or version concerned.
	Object string `json:"object,omitempty"`
	// Role is the new role, for the verb "change_role".
	Role string `json:"role,omitempty"`
}

// OrderAnswer contains the fencing number with which an order was sent.
type OrderAnswer struct {
	OpID   string `json:"op_id"`
	Server string `json:"server"`
	Fence  uint64 `json:"fence"`
}

// Status is the answering host's summary of the fleet.
type Status struct {
	Host           string       `json:"host"`
	Zone           string       `json:"zone"`
	Ready          bool         `json:"ready"`
	NotReady       string       `json:"not_ready,omitempty"`
	ConfigRevision uint64       `json:"config_revision"`
	HostsAlive     int          `json:"hosts_alive"`
	HostsOut       []string     `json:"hosts_out,omitempty"`
	Servers        int          `json:"servers"`
	ServersLeaving int          `json:"servers_leaving"`
	Control        *GroupStatus `json:"control,omitempty"`
	ControlError   string       `json:"control_error,omitempty"`
	// Replica is the answering host's own replica; absent if it has none.
	Replica *LocalReplica `json:"replica,omitempty"`
}

// LocalReplica is the local state of a host's own replica of the control group. A replica
// that lost its disk is shown with its new id, with which it has to be added to the group.
type LocalReplica struct {
	ID uint64 `json:"id"`
	// Standing is "forming", "outside", "learner" or "voter".
	Standing string `json:"standing"`
}

// GroupStatus is the control group's state on its leader.
type GroupStatus struct {
	Leader        uint64         `json:"leader"`
	Term          uint64         `json:"term"`
	Commit        uint64         `json:"commit"`
	Applied       uint64         `json:"applied"`
	LogBytes      uint64         `json:"log_bytes"`
	SnapshotIndex uint64         `json:"snapshot_index"`
	Members       []MemberStatus `json:"members"`
}

// MemberStatus is one replica's entry in GroupStatus.
type MemberStatus struct {
	ID      uint64 `json:"id"`
	Host    string `json:"host"`
	Address string `json:"address"`
	// Learner is true if the replica has no vote yet.
	Learner bool `json:"learner,omitempty"`
	// Match is the highest log index that the replica is known to store.
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
	// Repaired is true if the replica has a vote and has caught up.
	Repaired bool `json:"repaired"`
}

// ChangeMember is the body of POST /v1/control/members.
type ChangeMember struct {
	// Verb is "add-learner", "promote" or "remove".
	Verb    string `json:"verb"`
	ID      uint64 `json:"id"`
	Host    string `json:"host,omitempty"`
	Address string `json:"address,omitempty"`
}

// Explanation contains the decisions made for a request, and its bill in the ledger.
type Explanation struct {
	Request json.RawMessage `json:"request"`
	// Ledger is the bill in the ledger. It is absent if the request was not billed or the bill
	// is not known; LedgerNote is the reason.
	Ledger     *LedgerBill `json:"ledger,omitempty"`
	LedgerNote string      `json:"ledger_note,omitempty"`
}

// LedgerBill is one committed bill.
type LedgerBill struct {
	Budget       string    `json:"budget"`
	Tokens       uint64    `json:"tokens"`
	PromptTokens uint64    `json:"prompt_tokens"`
	OutputTokens uint64    `json:"output_tokens"`
	RequestID    string    `json:"request_id"`
	Time         time.Time `json:"time"`
}

// QuarantineList is the answer to GET /v1/quarantine.
type QuarantineList struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request, or a part of prompts, that crashed backend servers.
type QuarantinedRequest struct {
	// Account is the client account of the request, or of the first one known with the part.
	Account     string `json:"account"`
	Fingerprint string `json:"fingerprint"`
	// Part is the ID of a part of prompts in hexadecimal; empty for a request.
	Part string `json:"part,omitempty"`
	// Level is "suspected" or "quarantined".
	Level   string        `json:"level"`
	Crashes []ServerCrash `json:"crashes"`
	Trials  int           `json:"trials"`
	// NextTrialMS is the time until the next trial may start, in milliseconds; 0 means now.
	NextTrialMS int64 `json:"next_trial_ms"`
}

// ServerCrash is a crash of a backend server while it executed a request.
type ServerCrash struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	// Host observed the crash, and had Others further requests at the server then.
	Host   string `json:"host"`
	Others int    `json:"others"`
	AgoMS  int64  `json:"ago_ms"`
}

// RequestReleased is the answer to POST /v1/quarantine/{fingerprint}/release.
type RequestReleased struct {
	OpID        string `json:"op_id"`
	Fingerprint string `json:"fingerprint"`
}

// EvacuationList is the answer to GET /v1/evacuations.
type EvacuationList struct {
	// Revision is the index of the log record that last changed the list.
	Revision uint64       `json:"revision"`
	Zones    []Evacuation `json:"zones"`
}

// Evacuation is an evacuated availability zone: hosts send nothing more to its backend servers.
type Evacuation struct {
	Zone  string    `json:"zone"`
	Since time.Time `json:"since"`
	Actor string    `json:"actor"`
}

// EvacuationSet is the answer to POST and DELETE /v1/evacuations/{zone}.
type EvacuationSet struct {
	OpID   string `json:"op_id"`
	Resend bool   `json:"resend,omitempty"`
	Zone   string `json:"zone"`
	// Evacuated is the state that was ordered, Changed whether it differs from the one before.
	Evacuated bool   `json:"evacuated"`
	Changed   bool   `json:"changed"`
	Revision  uint64 `json:"revision"`
}
