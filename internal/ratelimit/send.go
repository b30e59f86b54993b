package ratelimit

// Send is the reason for which a request is sent to a server.
type Send string

// Reasons for sending a request.
const (
	// SendFirst: the request's first attempt.
	SendFirst Send = "first"
	// SendRepeat: another attempt after one that failed.
	SendRepeat Send = "repeat"
	// SendResume: the rest of a stream that was cut at another server.
	SendResume Send = "resume"
)
