// Package settings keeps an entry host's view of the settings tree up to date with the
// control group, and relays it to hosts that reach no replica.
//
// It exists because every filter reads settings on every request, while the tree is
// owned by the control group. The revision of the view only increases: a change is
// applied in revision order or not at all. The host is not ready until a replica with
// a quorum has confirmed a revision, so that a host that restarts next to an isolated
// replica can't serve under rules that were replaced long ago.
package settings
