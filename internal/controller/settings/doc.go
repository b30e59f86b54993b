// Package settings keeps an entry host's view of the settings tree in step with the
// control group, and passes it on to hosts that reach no replica.
//
// It exists because every filter reads settings on every request, while the tree is
// owned by the control group. The view only moves forward: a change is applied in
// revision order or not at all. The host is not ready before a replica that had the
// quorum's word confirmed a revision, so that a host which was restarted beside an
// isolated replica can't serve under rules that were replaced long ago.
package settings
