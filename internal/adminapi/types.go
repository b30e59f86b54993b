package adminapi

import (
	"encoding/json"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Health answers /healthz.
type Health struct {
	Status string `json:"status"`
}

// ConfigAnswer is the settings tree at one path.
type ConfigAnswer struct {
	Path string `json:"path"`
	// Version of the subtree that holds Path; a change gives it as If-Match.
	Version uint64 `json:"version"`
	// Revision of the whole tree.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (a ConfigAnswer) versionTag() uint64 { return a.Version }

// ChangeAnswer is the outcome of a change of the settings tree.
type ChangeAnswer struct {
	OpID     string `json:"op_id"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	// Resend: the change was made by an earlier request with this operation id.
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

// ConfigStatus says which revision is in force where.
type ConfigStatus struct {
	CommittedRevision uint64 `json:"committed_revision"`
	// CommittedKnown is false when no quorum told the committed revision; CommittedError
	// says why.
	CommittedKnown bool           `json:"committed_known"`
	CommittedError string         `json:"committed_error,omitempty"`
	Hosts          []HostRevision `json:"hosts"`
}

// HostRevision is one host's line of ConfigStatus.
type HostRevision struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// InForce: the host is in contact and has the committed revision.
	InForce bool `json:"in_force"`
	// InContact: the host that answers hears this one.
	InContact bool `json:"in_contact"`
	// HeardMS is the time since the last word of the host, in milliseconds.
	HeardMS int64 `json:"heard_ms"`
}

// Budget is one prepaid budget, in whole tokens.
type Budget struct {
	Name    string `json:"name"`
	Account string `json:"account,omitempty"`
	Funded  uint64 `json:"funded"`
	Billed  uint64 `json:"billed"`
	// Granted is held by hosts, Free can still be granted.
	Granted uint64         `json:"granted"`
	Free    uint64         `json:"free"`
	Bills   uint64         `json:"bills"`
	Holders []HolderTokens `json:"holders,omitempty"`
}

// HolderTokens is what one run of a host holds of a budget.
type HolderTokens struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Tokens      uint64 `json:"tokens"`
}

// BudgetList is all budgets.
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
	// Resend: the change was made by an earlier request with this operation id.
	Resend bool   `json:"resend,omitempty"`
	Budget Budget `json:"budget"`
}

// Statement is the ledger's lines about one budget.
type Statement struct {
	Budget string          `json:"budget"`
	Lines  []StatementLine `json:"lines"`
}

// StatementLine is one entry. Kind is "create", "top-up", "bill", "duplicate" or "recover".
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
	// KeyHash is the hash of a key that the operator made; empty: the answer has a new key.
	KeyHash string `json:"key_hash,omitempty"`
}

// AddKey is the body of POST /v1/accounts/{name}/keys.
type AddKey struct {
	// KeyHash is the hash of a key that the operator made; empty: the answer has a new key.
	KeyHash string `json:"key_hash,omitempty"`
}

// KeyAnswer is the outcome of a change of an account's keys.
type KeyAnswer struct {
	ChangeAnswer
	Account string `json:"account"`
	// Key is shown once and kept nowhere; empty when the operator made it, and with a
	// resend, whose first answer had it.
	Key string `json:"key,omitempty"`
	// KeyHash names the key; empty when this answer can't say which key is in force.
	KeyHash string `json:"key_hash,omitempty"`
}

// AccountList is all client accounts.
type AccountList struct {
	Accounts []Account `json:"accounts"`
}

// Account is a client account with its name.
type Account struct {
	Name string `json:"name"`
	settings.Account
}

// TeamList is all teams.
type TeamList struct {
	Teams []Team `json:"teams"`
}

// Team is a team's rules with its name.
type Team struct {
	Name string `json:"name"`
	settings.Team
}

// HostList is all hosts.
type HostList struct {
	// RegisteredKnown is false when no quorum told which hosts are registered.
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
	// Unrecovered are dead incarnations whose grants are still locked.
	Unrecovered []uint64 `json:"unrecovered,omitempty"`
}

// HostRemoved answers POST /v1/hosts/{name}/remove.
type HostRemoved struct {
	OpID   string `json:"op_id"`
	Resend bool   `json:"resend,omitempty"`
	Host   string `json:"host"`
}

// ServerList is all backend servers that the answering host knows.
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
	// Verb is what to do, such as "load" or "unload".
	Verb string `json:"verb"`
	// Object is the model, adapter or version concerned.
	Object string `json:"object,omitempty"`
	// Role to change to, for the verb "role".
	Role string `json:"role,omitempty"`
}

// OrderAnswer says under which fencing number an order went out.
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
	// Replica on the answering host; absent if it has none.
	Replica *LocalReplica `json:"replica,omitempty"`
}

// LocalReplica is a host's own replica of the control group, as it knows it itself.
// One whose disk was lost shows here with its new id, under which it has to be added.
type LocalReplica struct {
	ID uint64 `json:"id"`
	// Standing is "forming", "outside", "learner" or "voter".
	Standing string `json:"standing"`
}

// GroupStatus is the control group's state as its leader has it.
type GroupStatus struct {
	Leader        uint64         `json:"leader"`
	Term          uint64         `json:"term"`
	Commit        uint64         `json:"commit"`
	Applied       uint64         `json:"applied"`
	LogBytes      uint64         `json:"log_bytes"`
	SnapshotIndex uint64         `json:"snapshot_index"`
	Members       []MemberStatus `json:"members"`
}

// MemberStatus is one replica's line of GroupStatus.
type MemberStatus struct {
	ID      uint64 `json:"id"`
	Host    string `json:"host"`
	Address string `json:"address"`
	// Learner has no vote yet.
	Learner bool `json:"learner,omitempty"`
	// Match is the last log index that the replica is known to hold.
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
	// Repaired: the replica holds everything committed.
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

// Explanation is what was decided for a request, and its bill in the ledger.
type Explanation struct {
	Request json.RawMessage `json:"request"`
	// Ledger is the bill as the ledger has it; absent: not billed, or not known, as
	// LedgerNote says.
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

// QuarantineList is what GET /v1/quarantine answers.
type QuarantineList struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request under which backend servers crashed.
type QuarantinedRequest struct {
	Account     string `json:"account"`
	Fingerprint string `json:"fingerprint"`
	// Level is suspected or quarantined.
	Level   string        `json:"level"`
	Crashes []ServerCrash `json:"crashes"`
	Trials  int           `json:"trials"`
	// NextTrialMS is the time until it may run again, in milliseconds; 0: now.
	NextTrialMS int64 `json:"next_trial_ms"`
}

// ServerCrash is the end of a run of a backend server under a request.
type ServerCrash struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	// Host saw it, with Others requests of its own at the server.
	Host   string `json:"host"`
	Others int    `json:"others"`
	AgoMS  int64  `json:"ago_ms"`
}

// RequestReleased is the answer to a release.
type RequestReleased struct {
	OpID        string `json:"op_id"`
	Fingerprint string `json:"fingerprint"`
}
