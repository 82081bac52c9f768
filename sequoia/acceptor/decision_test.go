package acceptor

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
)

// Guards against a header whose lines are not charged or whose end is missed, and against body bytes that count as lines.
func TestHeaderScanner(t *testing.T) {
	for name, test := range map[string]struct {
		text         string
		bytes, lines int64
		ended        bool
	}{
		"plain":                 {"GET / HTTP/1.1\r\nA: b\r\n\r\n", 24, 3, true},
		"bare LF":               {"GET / HTTP/1.1\nA: b\n\n", 21, 3, true},
		"mixed":                 {"GET / HTTP/1.1\nA: b\r\n\n", 22, 3, true},
		"body of newlines":      {"GET / HTTP/1.1\r\n\r\n\n\n\n\n\n\n", 18, 2, true},
		"pipelined":             {"GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nA: b\r\n\r\n", 18, 2, true},
		"leading blank lines":   {"\r\n\n\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n", 29, 6, true},
		"only blank lines":      {"\r\n\r\n\r\n", 6, 3, false},
		"incomplete":            {"GET / HTTP/1.1\r\nA: b\r\n\r", 23, 2, false},
		"one long line":         {"GET /aaaaaaaaaaaaaaaa", 21, 0, false},
		"carriage returns":      {"GET / HTTP/1.1\r\n\r\r\n", 19, 2, false},
		"rest after pipelining": {"\n\r\n", 3, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				var s headerScanner
				ended := false
				for rest := test.text; rest != "" && !ended; rest = rest[min(size, len(rest)):] {
					ended = s.scan([]byte(rest[:min(size, len(rest))]))
				}
				assert.Equal(t, ended, test.ended, "pieces of %d", size)
				assert.Equal(t, s.bytes, test.bytes, "pieces of %d", size)
				assert.Equal(t, s.lines, test.lines, "pieces of %d", size)
			}
		})
	}
}

// Guards against a connection that is closed while its request is processed or before its limit, and against one that
// stays open beyond it.
func TestConnectionsExpire(t *testing.T) {
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}.withDefaults()
	const hour = time.Hour
	for name, test := range map[string]struct {
		state  snapshot
		reason Reason
	}{
		"idle":                        {snapshot{phase: phaseIdle, reading: true, age: 15 * time.Second}, ""},
		"idle too long":               {snapshot{phase: phaseIdle, reading: true, age: 16 * time.Second}, ReasonIdle},
		"header":                      {snapshot{phase: phaseHeader, reading: true, age: 3 * time.Second}, ""},
		"header too slow":             {snapshot{phase: phaseHeader, reading: true, age: 4 * time.Second, readBytes: 1 << 20}, ReasonHeaderTimeout},
		"header not read":             {snapshot{phase: phaseHeader, age: hour}, ""},
		"processed":                   {snapshot{phase: phaseActive, age: hour, readWait: hour, writeWait: hour}, ""},
		"hijacked":                    {snapshot{phase: phaseHijacked, age: hour}, ""},
		"body within the grace":       {snapshot{phase: phaseActive, reading: true, readWait: 20 * time.Second, age: hour}, ""},
		"body stalled":                {snapshot{phase: phaseActive, reading: true, readWait: 21 * time.Second}, ReasonSlowBody},
		"body at the minimum rate":    {snapshot{phase: phaseActive, reading: true, readWait: hour, readBytes: 3600 << 10}, ""},
		"body below the rate":         {snapshot{phase: phaseActive, reading: true, readWait: hour, readBytes: 3500 << 10}, ReasonSlowBody},
		"unread":                      {snapshot{phase: phaseActive, writing: true, writeWait: 21 * time.Second}, ReasonSlowReader},
		"read at the minimum rate":    {snapshot{phase: phaseActive, writing: true, writeWait: hour, writeBytes: 3600 << 10}, ""},
		"idle peer":                   {snapshot{class: classPeers, phase: phaseIdle, reading: true, age: 19 * time.Second}, ""},
		"idle peer, too long":         {snapshot{class: classPeers, phase: phaseIdle, reading: true, age: 21 * time.Second}, ReasonIdle},
		"peer that is slow to send":   {snapshot{class: classPeers, phase: phaseHeader, reading: true, age: 19 * time.Second}, ""},
		"reader at an earlier header": {snapshot{phase: phaseIdle, age: hour}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.state.expired(limits), test.reason)
		})
	}
	assert.Equal(t, Limits{}.withDefaults(), Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second})
}

// Guards against a lag of callers that transfer fast enough or that the process does not wait for.
func TestLag(t *testing.T) {
	for name, test := range map[string]struct {
		state snapshot
		lag   time.Duration
	}{
		"idle":         {snapshot{phase: phaseIdle, reading: true, age: 5 * time.Second}, 5 * time.Second},
		"header":       {snapshot{phase: phaseHeader, reading: true, age: 5 * time.Second, readBytes: allotter.ReclaimRate}, 4 * time.Second},
		"fast body":    {snapshot{phase: phaseActive, reading: true, age: time.Hour, readWait: 5 * time.Second, readBytes: 5 * allotter.ReclaimRate}, 0},
		"slow body":    {snapshot{phase: phaseActive, reading: true, readWait: 5 * time.Second, readBytes: 2 * allotter.ReclaimRate}, 3 * time.Second},
		"unread":       {snapshot{phase: phaseActive, writing: true, writeWait: 2 * time.Second}, 2 * time.Second},
		"processed":    {snapshot{phase: phaseActive, age: time.Hour, readWait: time.Minute, writeWait: time.Minute}, 0},
		"peer":         {snapshot{class: classPeers, phase: phaseIdle, reading: true, age: 19 * time.Second}, 0},
		"stalled peer": {snapshot{class: classPeers, phase: phaseIdle, reading: true, age: 21 * time.Second}, 21 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.state.lag(), test.lag)
		})
	}
}

// Guards against connections of callers with few of them, or with a complete request, being closed for a caller with many.
func TestEvictionsTakeTheMostLaggingOfTheBusiestCaller(t *testing.T) {
	crowd, ordinary, busy := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")
	idle := func(caller netip.Addr, lag time.Duration) snapshot {
		return snapshot{caller: caller, phase: phaseIdle, reading: true, age: lag}
	}
	list := []snapshot{idle(crowd, 2*time.Second), idle(ordinary, time.Minute), idle(crowd, 9*time.Second), idle(crowd, 999*time.Millisecond)}
	for range 10 {
		list = append(list, snapshot{caller: busy, phase: phaseActive, age: time.Hour})
	}
	assert.Equal(t, fmt.Sprint(planEvictions(list, 9)), fmt.Sprint([]eviction{{2, 3, crowd}, {0, 2, crowd}, {1, 1, ordinary}}))
	assert.Equal(t, len(planEvictions(list, 2)), 2)
	first := planEvictions(list, 1)[0]
	assert.Assert(t, first.permits(ordinary, 2))
	assert.Assert(t, !first.permits(busy, 10))
	assert.Assert(t, first.permits(crowd, 3))
	// On the reserved listeners a tenth of a second is enough.
	reserved := idle(crowd, 100*time.Millisecond)
	assert.Assert(t, !reserved.evictable())
	reserved.class = classReserved
	assert.Assert(t, reserved.evictable())
}

// Guards against a number of connections that leaves no descriptors for files and upstreams.
func TestMaxConnections(t *testing.T) {
	assert.Equal(t, MaxConnections(0), 0)
	assert.Equal(t, MaxConnections(150), 1)
	assert.Equal(t, MaxConnections(3075), 2156)
}

// Guards against bytes that were transferred fast and make up for any later stall, of a body as of a response.
func TestFastBytesDoNotMakeUpForAStall(t *testing.T) {
	limits := Limits{}.withDefaults()
	sent := make([]byte, 32<<20)
	for name, test := range map[string]struct {
		transfer func(c *conn)
		reason   Reason
	}{
		"body":     {func(c *conn) { c.beginRead(100); c.endRead(readBody, sent); c.beginRead(100) }, ReasonSlowBody},
		"response": {func(c *conn) { _, _ = c.Write(sent); c.beginWrite() }, ReasonSlowReader},
	} {
		t.Run(name, func(t *testing.T) {
			c := &conn{Conn: textConn{}, guard: New(Config{}), phase: phaseActive}
			test.transfer(c)
			began := c.guard.now()
			assert.Equal(t, c.check(began+unreadDelay, limits), Reason(""))
			lag := c.snapshot(began + 5*time.Second).lag()
			assert.Assert(t, lag > 2*time.Second && lag < 4*time.Second, "%v", lag)
			assert.Equal(t, c.check(began+transferGrace-time.Second, limits), Reason(""))
			assert.Equal(t, c.check(began+transferGrace+time.Second, limits), test.reason)
		})
	}
}

// Guards against a stream whose caller has caught up and that lags by what it had not received at an earlier check.
func TestEarlierUnreadBytesAreForgotten(t *testing.T) {
	c := &conn{Conn: textConn{}, guard: New(Config{}), phase: phaseActive}
	c.writeWaited, c.written, c.unread = 10*time.Second, 10*allotter.ReclaimRate, 9*allotter.ReclaimRate
	_, _ = c.Write(make([]byte, 100))
	c.beginWrite()
	assert.Assert(t, !c.snapshot(c.guard.now()).evictable())
}

// Guards against a connection that begins to idle between the decision of the account and its call of reclaim, and then
// stays open uncharged.
func TestConnectionReclaimedWhileItBecomesIdleIsCharged(t *testing.T) {
	account := allotter.New(allotter.Config{Bytes: 2 * connectionBytes})
	c := &conn{Conn: textConn{}, guard: New(Config{Account: account}), phase: phaseActive}
	c.memory = c.guard.reserve(c.holder)
	assert.Assert(t, c.grow(c.memory, connectionBytes, connectionBytes))
	c.setReclaimable(-time.Hour)
	decided := false
	c.memory.SetReclaimable(time.Now().Add(-time.Hour), func() { decided = true })
	other := account.Reserve(allotter.Caller("b"))
	assert.Assert(t, other.Grow(connectionBytes+1) && decided)
	other.Release()
	c.endWrite(0)
	c.beginIdle()
	c.reclaim()
	assert.Assert(t, !c.closed)
	assert.Equal(t, account.Used(), int64(connectionBytes))
}
