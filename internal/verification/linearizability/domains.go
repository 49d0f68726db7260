package linearizability

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// DomainOperation is a recorded call that empties or restores a domain, or what a read returned of it.
type DomainOperation struct {
	read      bool
	emptied   bool // the state that a change asks for or that a read returned
	token     string
	sentAt    time.Duration
	repliedAt time.Duration // when the caller got a reply or gave the call up; 0: neither
	outcome   outcome
}

// Acknowledge records that a change was acknowledged.
func (o *DomainOperation) Acknowledge(at time.Duration) { o.repliedAt, o.outcome = at, acknowledged }

// NoEffect records a reply that guarantees that a change has no effect.
func (o *DomainOperation) NoEffect(at time.Duration) { o.repliedAt, o.outcome = at, noEffect }

// Abandon records that the caller does not wait any longer: it has given the call up, or got a reply that leaves the outcome
// open. The change may still take effect, until a later one is acknowledged.
func (o *DomainOperation) Abandon(at time.Duration) { o.repliedAt = at }

// String describes a call, with its times in seconds.
func (o *DomainOperation) String() string {
	action := map[bool]string{true: "empty", false: "restore"}[o.emptied]
	if o.read {
		action = fmt.Sprintf("read emptied=%v", o.emptied)
	}
	return fmt.Sprintf("%.3f to %.3f: %s %s: %s", o.sentAt.Seconds(), o.repliedAt.Seconds(), action, o.token, o.outcome)
}

// DomainHistory records the changes and reads of failure domains in one run. Each domain is a register that has one operator
// at a time: once a change is acknowledged that was sent after another one was given up, the other one must not take effect any
// more. The zero value is empty.
type DomainHistory struct {
	operations   map[string][]*DomainOperation // by domain
	startUnknown bool                          // domains may have been emptied before their first recorded call
}

// Change records the invocation of a change. One with a token that was used before repeats that call and changes nothing, so it
// is not part of the history.
func (h *DomainHistory) Change(at time.Duration, domain, token string, emptied bool) *DomainOperation {
	operation := &DomainOperation{emptied: emptied, token: token, sentAt: at}
	repeats := func(o *DomainOperation) bool { return !o.read && o.token == token }
	if !slices.ContainsFunc(h.operations[domain], repeats) {
		h.add(domain, operation)
	}
	return operation
}

// Read records a read that returned the emptied domains.
func (h *DomainHistory) Read(sentAt, repliedAt time.Duration, emptied []string) {
	for domain := range h.operations {
		h.add(domain, &DomainOperation{read: true, emptied: slices.Contains(emptied, domain), sentAt: sentAt, repliedAt: repliedAt, outcome: returned})
	}
}

func (h *DomainHistory) add(domain string, operation *DomainOperation) {
	if h.operations == nil {
		h.operations = map[string][]*DomainOperation{}
	}
	h.operations[domain] = append(h.operations[domain], operation)
}

// Reset removes what is known of the domains, for a run that loses state deliberately. Changes without a definite reply may
// still take effect, so they remain.
func (h *DomainHistory) Reset() {
	h.startUnknown = true
	for domain, operations := range h.operations {
		h.operations[domain] = slices.DeleteFunc(operations, func(o *DomainOperation) bool { return o.read || o.outcome != open })
	}
}

// Len returns the number of recorded calls.
func (h *DomainHistory) Len() (n int) {
	for _, operations := range h.operations {
		n += len(operations)
	}
	return n
}

// maxCombinations bounds the search for an order of the calls of a domain.
const maxCombinations = 1 << 20

// Check returns an error with the calls of a domain whose history is not that of a register, or for which that was not decided.
func (h *DomainHistory) Check() error { return h.checkWithin(maxCombinations) }

func (h *DomainHistory) checkWithin(limit int) error {
	for _, domain := range slices.Sorted(maps.Keys(h.operations)) {
		operations := h.operations[domain]
		switch search(operations, h.startUnknown, limit) {
		case notLinearizable:
			return errors.Newf("the changes of domain %s are not linearizable:\n%s", domain, describe(operations))
		case notDecided:
			return errors.Wrapf(ErrNotDecided, "%d calls about domain %s, %d combinations", len(operations), domain, limit)
		}
	}
	return nil
}

// describe lists calls, one a line.
func describe(operations []*DomainOperation) string {
	var lines []string
	for _, o := range operations {
		lines = append(lines, o.String())
	}
	return strings.Join(lines, "\n")
}

// lastEffect returns the time after which a call must not take effect: that of its reply or, without a definite one, the time
// at which a change was acknowledged that was sent after the call was given up.
func lastEffect(operation *DomainOperation, operations []*DomainOperation) int64 {
	if operation.outcome != open {
		return int64(operation.repliedAt)
	}
	last := int64(math.MaxInt64)
	for _, later := range operations {
		if operation.repliedAt > 0 && later.outcome == acknowledged && later.sentAt >= operation.repliedAt {
			last = min(last, int64(later.repliedAt))
		}
	}
	return last
}
