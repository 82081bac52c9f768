package streamer

// Config holds the settings of one answer.
type Config struct {
	// Resumable means that the upstream can continue a stream after a position.
	Resumable bool
}

// Streamer is the state machine of one answer.
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

// Position returns the number of delivered chunks.
func (s *Streamer) Position() uint64 {
	return s.position
}

// Closed reports whether the answer has completed, failed or been cancelled.
func (s *Streamer) Closed() bool {
	return s.closed
}

// Step processes one message and returns the effects to perform. Messages of attempts other than the current one have
// no effect.
func (s *Streamer) Step(message Message) []Effect {
	if s.closed {
		return s.afterClose(message)
	}
	switch m := message.(type) {
	case Started:
		return s.handleStarted(m)
	case Chunk:
		return s.handleChunk(m)
	case Ended:
		return s.handleEnded(m)
	case Broken:
		return s.handleBroken(m)
	case CallerCancelled:
		return s.handleCallerCancelled()
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

func (s *Streamer) handleStarted(m Started) []Effect {
	var effects []Effect
	if s.active {
		effects = append(effects, Cancel{Attempt: s.attempt})
	}
	s.attempt = m.Attempt
	s.active = true
	return effects
}

func (s *Streamer) isCurrent(attempt uint64) bool {
	return s.active && attempt == s.attempt
}

func (s *Streamer) handleChunk(m Chunk) []Effect {
	if !s.isCurrent(m.Attempt) {
		return nil
	}
	id, ok := s.chunkPosition(m.ID)
	switch {
	case !ok || id > s.position+1:
		return s.abandonAttempt(FailGap)
	case id <= s.position:
		return nil
	default:
		s.position = id
		return []Effect{Deliver{Position: id, Data: m.Data}}
	}
}

// chunkPosition returns the position of a chunk. Chunks without numbers are counted, which is possible only while none
// had a number before and the answer is not being resumed.
func (s *Streamer) chunkPosition(id uint64) (uint64, bool) {
	if id > 0 {
		if s.position > 0 && !s.numbered {
			return 0, false
		}
		s.numbered = true
		return id, true
	}
	return s.position + 1, !s.numbered
}

func (s *Streamer) handleEnded(m Ended) []Effect {
	if !s.isCurrent(m.Attempt) {
		return nil
	}
	s.active = false
	s.closed = true
	return []Effect{Finish{}}
}

func (s *Streamer) handleBroken(m Broken) []Effect {
	if !s.isCurrent(m.Attempt) {
		return nil
	}
	return s.abandonAttempt(FailTruncated)
}

// abandonAttempt cancels the current attempt and decides how the answer continues.
func (s *Streamer) abandonAttempt(kind FailKind) []Effect {
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

func (s *Streamer) handleCallerCancelled() []Effect {
	s.closed = true
	if !s.active {
		return nil
	}
	s.active = false
	return []Effect{Cancel{Attempt: s.attempt}}
}
