package streamer

// Config holds the parameters of one answer.
type Config struct {
	// Resumes says that the upstream can continue a stream after a position.
	Resumable bool
}

// Streamer holds the state of one answer.
type Streamer struct {
	config   Config
	attempt  uint64
	active   bool
	numbered bool
	position uint64
	closed   bool
}

// New returns a streamer for one answer.
func New(config Config) *Streamer {
	return &Streamer{config: config}
}

// Position returns the number of chunks delivered.
func (s *Streamer) Position() uint64 {
	return s.position
}

// Closed reports whether the answer has been completed, has failed or was cancelled.
func (s *Streamer) Closed() bool {
	return s.closed
}

// Step takes one message and returns the effects to perform; messages of attempts other than the current one have none.
func (s *Streamer) Step(message Message) []Effect {
	if s.closed {
		return s.afterClose(message)
	}
	switch m := message.(type) {
	case Started:
		return s.start(m)
	case Chunk:
		return s.chunk(m)
	case Ended:
		return s.end(m)
	case Broken:
		return s.broken(m)
	case CallerGone:
		return s.callerGone()
	default:
		return nil
	}
}

// afterClose cancels an attempt that was started while the answer was being closed.
func (s *Streamer) afterClose(message Message) []Effect {
	if m, ok := message.(Started); ok {
		return []Effect{Cancel(m)}
	}
	return nil
}

func (s *Streamer) start(m Started) []Effect {
	var effects []Effect
	if s.active {
		effects = append(effects, Cancel{Attempt: s.attempt})
	}
	s.attempt = m.Attempt
	s.active = true
	return effects
}

func (s *Streamer) current(attempt uint64) bool {
	return s.active && attempt == s.attempt
}

func (s *Streamer) chunk(m Chunk) []Effect {
	if !s.current(m.Attempt) {
		return nil
	}
	id, ok := s.identify(m.ID)
	switch {
	case !ok || id > s.position+1:
		return s.interrupt(FailGap)
	case id <= s.position:
		return nil
	default:
		s.position = id
		return []Effect{Deliver{Position: id, Data: m.Data}}
	}
}

// identify returns the position of a chunk. Chunks without positions are counted, which is possible only while no
// position was given before and the answer is not being resumed.
func (s *Streamer) identify(id uint64) (uint64, bool) {
	if id > 0 {
		if s.position > 0 && !s.numbered {
			return 0, false
		}
		s.numbered = true
		return id, true
	}
	return s.position + 1, !s.numbered
}

func (s *Streamer) end(m Ended) []Effect {
	if !s.current(m.Attempt) {
		return nil
	}
	s.active = false
	s.closed = true
	return []Effect{Finish{}}
}

func (s *Streamer) broken(m Broken) []Effect {
	if !s.current(m.Attempt) {
		return nil
	}
	return s.interrupt(FailTruncated)
}

// interrupt gives up the current attempt and decides how the answer can go on.
func (s *Streamer) interrupt(kind FailKind) []Effect {
	effects := []Effect{Cancel{Attempt: s.attempt}}
	s.active = false
	switch {
	case s.position == 0:
		return append(effects, Restart{})
	case s.config.Resumable && s.numbered:
		return append(effects, Resume{After: s.position})
	default:
		s.closed = true
		return append(effects, Fail{Kind: kind})
	}
}

func (s *Streamer) callerGone() []Effect {
	s.closed = true
	if !s.active {
		return nil
	}
	s.active = false
	return []Effect{Cancel{Attempt: s.attempt}}
}
