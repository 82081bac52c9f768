package recorder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxKeyBytes bounds the memory that one key takes.
const maxKeyBytes = 255

type keyKind int

const (
	keyOpaque keyKind = iota
	keyTimed
	keySession
)

// parsedKey is a key with what its form tells.
type parsedKey struct {
	kind    keyKind
	dated   time.Time // keyTimed
	zone    string    // keySession, as the following
	epoch   uint64
	session string
	number  uint64
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
	return parsedKey{kind: keyTimed, dated: time.Unix(seconds, nanoseconds).UTC()}
}

// parseSessionKey accepts only the form that is issued, so that one number has one spelling.
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

// HomeZone returns the availability zone that a session key names; other keys belong to the home availability zone of
// the caller's organisation.
func SessionKeyZone(key string) (string, bool) {
	parsed, ok := parseSessionKey(key)
	return parsed.zone, ok
}

// validKey accepts printable ASCII, which passes JSON and logs unchanged.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	return strings.IndexFunc(key, func(c rune) bool { return c < '!' || c > '~' }) < 0
}
