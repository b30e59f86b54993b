package control

import (
	"encoding/json"
	"sync"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// registers is a small state machine: SetConfig writes a register, ConfigQuery
// reads one, "/" reads all. An op id is applied once.
type registers struct {
	mu    sync.Mutex
	State registerState
	stamp []int64
}

type registerState struct {
	Revision uint64
	Values   map[string]string
	Done     map[string]uint64 // op id -> revision
	Order    []string
}

func newRegisters() *registers {
	return &registers{State: registerState{Values: map[string]string{}, Done: map[string]uint64{}}}
}

func (s *registers) Apply(index uint64, cmd *pb.Command) *pb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := cmd.GetSetConfig()
	if set == nil {
		return &pb.CommandResult{Index: index}
	}
	s.stamp = append(s.stamp, cmd.TimeMs)
	rev, resend := s.State.Done[cmd.OpId]
	if !resend {
		s.State.Revision++
		rev = s.State.Revision
		s.State.Values[set.Path] = string(set.ValueJson)
		s.State.Done[cmd.OpId] = rev
		s.State.Order = append(s.State.Order, cmd.OpId)
	}
	return &pb.CommandResult{Index: index, Resend: resend, Body: &pb.CommandResult_SetConfig{
		SetConfig: &pb.SetConfigResult{Revision: rev, Version: rev},
	}}
}

func (s *registers) Query(q *pb.Query) *pb.QueryResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := q.GetConfig().GetPath()
	if path == rootPath {
		all, _ := json.Marshal(s.State.Values)
		return &pb.QueryResult{Revision: s.State.Revision, ValueJson: all}
	}
	return &pb.QueryResult{Revision: s.State.Revision, ValueJson: []byte(s.State.Values[path])}
}

func (s *registers) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.State)
}

func (s *registers) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.State = registerState{}
	return json.Unmarshal(data, &s.State)
}

// order returns the op ids applied so far.
func (s *registers) order() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.State.Order...)
}

// times returns the stamps of the commands applied so far.
func (s *registers) times() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64(nil), s.stamp...)
}

func set(opID, path, value string) *pb.Command {
	return &pb.Command{OpId: opID, Body: &pb.Command_SetConfig{
		SetConfig: &pb.SetConfig{Path: path, ValueJson: []byte(value), AnyVersion: true},
	}}
}

func get(path string) *pb.Query {
	return &pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: path}}}
}
