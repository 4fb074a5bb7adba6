package usage

// PushRequest holds totals of a source for a peer that keeps a copy.
type PushRequest struct{ Lines []Line }

// PushReply is the reply to a PushRequest.
type PushReply struct{}

// GatherRequest requests the totals of an instance and its copies of orphaned sources.
type GatherRequest struct{}

// GatherReply is the reply to a GatherRequest.
type GatherReply struct{ Lines []Line }
