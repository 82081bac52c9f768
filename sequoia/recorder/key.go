package recorder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxKeyBytes limits the memory of one key.
const maxKeyBytes = 255

type keyKind int

const (
	keyOpaque keyKind = iota
	keyTimed
	keySession
)

// parsedKey is the content of a key: a UUIDv7 carries a timestamp, a session key its zone, epoch, session and number.
type parsedKey struct {
	kind      keyKind
	timestamp time.Time // for keyTimed
	zone      string    // this and the following fields are for keySession
	epoch     uint64
	session   string
	number    uint64
}

func parseKey(key string) parsedKey {
	if parsed, ok := parseSessionKey(key); ok {
		return parsed
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return parsedKey{kind: keyOpaque}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return parsedKey{kind: keyTimed, timestamp: time.Unix(seconds, nanoseconds).UTC()}
}

// parseSessionKey accepts only the canonical form that is issued, so that two spellings cannot denote the same key.
func parseSessionKey(key string) (parsedKey, bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 4 {
		return parsedKey{}, false
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return parsedKey{}, false
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil || number == 0 {
		return parsedKey{}, false
	}
	parsed := parsedKey{kind: keySession, zone: parts[0], epoch: epoch, session: parts[2], number: number}
	return parsed, fmt.Sprintf("%s.%d", sessionPrefix(parsed.zone, epoch, parsed.session), number) == key
}

func sessionPrefix(zone string, epoch uint64, name string) string {
	return fmt.Sprintf("%s.%d.%s", zone, epoch, name)
}

// SessionKeyZone returns the availability zone that a session key names. Other keys belong to the home availability
// zone of the caller's organisation.
func SessionKeyZone(key string) (string, bool) {
	parsed, ok := parseSessionKey(key)
	return parsed.zone, ok
}

// validKey accepts printable ASCII, which JSON and logs leave unchanged.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	return strings.IndexFunc(key, func(c rune) bool { return c < '!' || c > '~' }) < 0
}
