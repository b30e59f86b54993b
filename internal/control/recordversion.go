package control

import (
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// recordVersion is the version of the log records that this program can apply. It is incremented
// when a kind of record is added, or a precondition of one. A program that does not know a kind of record applies it as a
// refusal, and one that does not know a precondition applies the record whether it holds or not: its state, and its snapshots,
// would differ from those of the others.
const recordVersion = 2

const (
	// versionEvacuations knows SetEvacuation.
	versionEvacuations = 1
	// versionPreconditions also knows its revision, and operations that remove a host's incarnation.
	versionPreconditions = 2
)

// requiredVersion returns the record version that a replica must have to apply a command.
func requiredVersion(cmd *pb.Command) uint32 {
	switch body := cmd.Body.(type) {
	case *pb.Command_SetEvacuation:
		if body.SetEvacuation.IfRevision != nil {
			return versionPreconditions
		}
		return versionEvacuations
	case *pb.Command_RemoveHost:
		if cmd.OpId != "" && body.RemoveHost.Incarnation != 0 {
			return versionPreconditions
		}
	}
	return 0
}

// checkVersions returns an error if a member is known to run a program that can't apply cmd. A member
// from which this replica has heard nothing since its start is assumed to be able to: if it were not,
// the loss of one host could prevent the change until that host is replaced.
func (r *Replica) checkVersions(cmd *pb.Command) error {
	required := requiredVersion(cmd)
	if required == 0 {
		return nil
	}
	for _, m := range r.core.Members().Members {
		if version, heard := r.recordVersions[m.Id]; heard && version < required {
			return errkind.New(errkind.HostNotReady, "the replica on host %s runs an earlier version, which can't apply this change", m.Host)
		}
	}
	return nil
}
