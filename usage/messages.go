package usage

// Push carries a source's totals to a peer that holds them for it.
type PushRequest struct{ Lines []Line }

// Taken answers a Push.
type PushReply struct{}

// GatherRequest asks an instance for its totals and its orphaned copies.
type GatherRequest struct{}

// GatherReply answers a GatherRequest.
type GatherReply struct{ Lines []Line }
