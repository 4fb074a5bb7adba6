package gateway

import "time"

// propagation holds the waits on the path of a change from the store through the source of
// a failure domain to its readers.
type propagation struct {
	bound       time.Duration // within which the change must be in force
	sourceWait  time.Duration // of a watch by which the source reads the store
	sourcePause time.Duration // between two such watches
	// maxAge is the age from which the source refuses to serve its state.
	maxAge      time.Duration
	readerWait  time.Duration // of a watch by which a reader queries the source
	readerPause time.Duration // between two such watches
	// queryTimeout bounds a query beyond its wait.
	queryTimeout time.Duration
	// storeRead is allowed for the read of the store by which a reader without a source
	// learns of the change, and for what follows from it.
	storeRead time.Duration
}

// worst returns the longest time from a change to its effect at an instance that reaches
// the store, whatever happens to the sources.
func (p propagation) worst() time.Duration {
	// The source stops responding just before it would read the change, and just after a
	// reader has queried it.
	unresponsive := p.sourcePause + p.readerWait + p.queryTimeout
	// The source loses the store just before the change and refuses its readers at maxAge.
	// The next source does not respond to the query without a wait.
	lost := p.maxAge + p.readerPause + p.queryTimeout
	// No source is queried; the readers watch the store as often as a source would.
	direct := p.sourcePause + p.readerPause
	return max(unresponsive, lost, direct) + p.storeRead
}

// percent returns a part of a duration.
func percent(d time.Duration, part time.Duration) time.Duration { return d * part / 100 }

// maxQueryTimeout bounds a query to a source, in addition to the wait of a watch, where the
// bound of its kind allows as much.
const maxQueryTimeout = 400 * time.Millisecond

// registrationPath returns the path of the registrations. They change all the time, so that
// the pause of the source determines how often it reads the store.
func (s *Settings) registrationPath() propagation {
	b := s.LeaveBound
	return propagation{
		bound: b, sourceWait: percent(b, 15), sourcePause: percent(b, 30), maxAge: percent(b, 60),
		readerWait: min(serversWatchWait, percent(b, 25)), readerPause: min(maxServersPause, percent(b, 10)),
		queryTimeout: min(maxQueryTimeout, percent(b, 15)), storeRead: percent(b, 10),
	}
}

// configPath returns the path of the configuration.
func (s *Settings) configPath() propagation {
	b := s.ConfigBound
	source := s.maxConfigWait(percent(b, 40))
	return propagation{
		bound: b, sourceWait: source, maxAge: source + percent(b, 15), readerWait: s.maxConfigWait(min(configWatchWait, percent(b, 50))),
		queryTimeout: min(maxQueryTimeout, percent(b, 20)), storeRead: percent(b, 10),
	}
}

// evacuationPath returns the path of the evacuations of failure domains.
func (s *Settings) evacuationPath() propagation {
	b := s.EvacuationBound
	return propagation{
		bound: b, sourceWait: percent(b, 25), maxAge: percent(b, 40), readerWait: percent(b, 25),
		queryTimeout: min(maxQueryTimeout, percent(b, 20)), storeRead: percent(b, 10),
	}
}

// quarantinePath returns the path of the suspicions that requests crash engines. They are
// rare, and every watch is billed.
func (s *Settings) quarantinePath() propagation {
	b := s.ContactBound
	return propagation{
		bound: b, sourceWait: percent(b, 60), maxAge: percent(b, 70), readerWait: percent(b, 60),
		queryTimeout: min(maxQueryTimeout, percent(b, 15)), storeRead: percent(b, 10),
	}
}
