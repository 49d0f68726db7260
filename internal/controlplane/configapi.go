// This file takes operators' changes of the configuration.

package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func policyPatch(name string, doc []byte) []byte {
	if !json.Valid(doc) {
		return doc
	}
	return reply.Body(map[string]any{"policies": map[string]json.RawMessage{name: doc}})
}

func withoutRevision(doc []byte) []byte {
	d, err := config.WithoutRevision(doc)
	if err != nil {
		panic(errors.Wrap(err, "an agreed document"))
	}
	return d
}

// screen looks at a change of the configuration before anything is made of it: its size,
// its base, and whether the very same call has been taken already. sum stands for the
// call: its kind, its base and what its body says.
func (c *Controller) precheckChange(now time.Duration, p *pendingCall, a *wire.Call, text []byte, what string) (sum *state.ChangeDigest, ok bool) {
	if len(text) > tuning.DocumentMax {
		c.answer(p, tooLargeReply())
		return nil, false
	}
	b, named := number(a.Query, "base")
	if !named {
		c.answer(p, reply.Problem(428, config.ErrorBody{Code: "base_missing", Message: "name the revision this was built on: base=N or If-Match", Revision: c.state.Revision}))
		return nil, false
	}
	said, err := config.Canonical(text)
	if err != nil {
		c.counts.Rejected++
		c.answer(p, reply.Problem(400, config.ErrorBody{Code: "not_json", Message: err.Error()}))
		return nil, false
	}
	digest := state.DigestOf([]byte(what), strconv.AppendUint(nil, b, 10), said)
	if b == c.state.Revision {
		return &digest, true
	}
	switch verdict, revision := c.state.FindChange(digest, b); verdict {
	case state.AlreadyAccepted:
		c.answerWhenInForce(now, p, revision)
	case state.Forgotten:
		c.answerUnknown(p)
	default:
		c.counts.Rejected++
		c.answer(p, c.staleBaseReply(p.token))
	}
	return nil, false
}

// answerWhenInForce acknowledges an order that was taken earlier, once the present table,
// which holds it, is in force.
func (c *Controller) answerWhenInForce(now time.Duration, p *pendingCall, revision uint64) {
	c.counts.RepeatsAnswered++
	c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, call: p, reply: acceptedReply(p.token, revision)})
}

func (c *Controller) patchConfig(now time.Duration, p *pendingCall, a *wire.Call, patch []byte, what string) {
	sum, ok := c.precheckChange(now, p, a, patch, what)
	if !ok {
		return
	}
	var doc []byte
	var err error
	if what == "partial" && config.IsNamedChange(patch) {
		n, faults, err := config.ParseNamedChange(patch)
		if err == nil && len(faults) == 0 {
			doc, faults, err = n.Apply(c.state.Document)
		}
		if err != nil || len(faults) > 0 {
			c.rejectInvalid(p, faults, err)
			return
		}
	} else if doc, err = config.MergePatch(withoutRevision(c.state.Document), patch); err != nil {
		c.rejectInvalid(p, nil, err)
		return
	}
	c.proposeConfig(now, p, doc, what, sum)
}

// proposeConfig proposes a whole configuration on the present revision.
func (c *Controller) proposeConfig(now time.Duration, p *pendingCall, doc []byte, what string, sum *state.ChangeDigest) {
	if len(doc) > tuning.DocumentMax {
		c.answer(p, tooLargeReply())
		return
	}
	cfg, faults, err := outlier.ParseConfig(doc)
	if err == nil && cfg.Revision != 0 && cfg.Revision <= c.state.Revision {
		faults = append(faults, config.Fault{Path: "revision", Text: fmt.Sprintf("not above the present %d", c.state.Revision)})
	}
	if err != nil || len(faults) > 0 {
		c.rejectInvalid(p, faults, err)
		return
	}
	var b bytes.Buffer
	if json.Compact(&b, doc) != nil {
		panic("a checked document is JSON")
	}
	if c.proposeChange(now, p, state.Command{Operation: state.OpConfigure, Base: c.state.Revision, Document: b.Bytes(), Description: what, RequestedRevision: cfg.Revision, Digest: sum}) {
		c.lastCheckedConfig = checkedConfig{b.Bytes(), cfg}
	}
}

func (c *Controller) documentAt(rev uint64) json.RawMessage {
	for _, r := range c.state.Records {
		if r.Revision == rev && r.Document != nil {
			return r.Document
		}
	}
	return nil
}

func (c *Controller) answerDiff(p *pendingCall, a *wire.Call) {
	from, _ := number(a.Query, "from")
	to, _ := number(a.Query, "to")
	x, y := c.documentAt(from), c.documentAt(to)
	if from == 0 {
		x = json.RawMessage(`{}`)
	}
	if x == nil || y == nil {
		c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: "one of the revisions is not kept"}))
		return
	}
	d, err := jsonpatch.CreateMergePatch(x, y)
	if err != nil {
		panic(err)
	}
	c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"from": from, "to": to, "merge_patch": json.RawMessage(d)})})
}
