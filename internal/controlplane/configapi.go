// This file takes operators' changes of the configuration. Each names the revision that it was built on and
// is proposed only while that is the present one, so that no change undoes another unseen.

package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
)

// Descriptions of changes, which stand in their records and in their digests.
const (
	replaceDescription = "whole"
	patchDescription   = "partial"
)

// configChange is a change of the configuration that may be proposed.
type configChange struct {
	call        *pendingCall
	description string
	digest      *state.ChangeDigest // of its description, its base and what its text says
}

// replaceConfig replaces the configuration by the call's body.
func (c *Controller) replaceConfig(request *apiRequest) {
	if change := c.checkBase(request, request.body, replaceDescription); change != nil {
		c.proposeConfig(request.now, change, request.body)
	}
}

// patchConfig changes parts of the configuration: by a named change, or by a JSON merge patch.
func (c *Controller) patchConfig(request *apiRequest) {
	change := c.checkBase(request, request.body, patchDescription)
	if change == nil {
		return
	}
	if config.IsNamedChange(request.body) {
		c.applyNamedChange(request.now, change, request.body)
		return
	}
	c.mergePatch(request.now, change, request.body)
}

// replacePolicy replaces one policy by the call's body.
func (c *Controller) replacePolicy(request *apiRequest) {
	patch := policyPatch(request.path.name, request.body)
	if change := c.checkBase(request, patch, "policy "+request.path.name); change != nil {
		c.mergePatch(request.now, change, patch)
	}
}

// removePolicy removes one policy.
func (c *Controller) removePolicy(request *apiRequest) {
	patch := policyPatch(request.path.name, []byte("null"))
	if change := c.checkBase(request, patch, "policy "+request.path.name+" removed"); change != nil {
		c.mergePatch(request.now, change, patch)
	}
}

// rollBackConfig replaces the configuration by that of an earlier revision.
func (c *Controller) rollBackConfig(request *apiRequest) {
	revision, ok := queryNumber(request.query, "to")
	document := c.documentAt(revision)
	if !ok || document == nil {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("revision %d is not kept; the last %d changes are", revision, tuning.ChangesKept)})
		return
	}
	description := fmt.Sprintf("rollback to %d", revision)
	if change := c.checkBase(request, []byte(state.EmptyDocument), description); change != nil {
		c.proposeConfig(request.now, change, withoutRevision(document))
	}
}

// policyPatch is the merge patch that sets a policy. What is no JSON stays as it is, to be rejected as such.
func policyPatch(name string, policy []byte) []byte {
	if !json.Valid(policy) {
		return policy
	}
	return reply.Body(map[string]map[string]json.RawMessage{"policies": {name: policy}})
}

// checkBase checks a change of the configuration before its document is made: its size, its base, and
// whether the same change was accepted before. Nil: it has been answered.
func (c *Controller) checkBase(request *apiRequest, text []byte, description string) *configChange {
	call := request.call
	if len(text) > tuning.DocumentMax {
		c.answer(call, tooLargeReply())
		return nil
	}
	base, ok := queryNumber(request.query, "base")
	if !ok {
		c.reject(call, 428, config.ErrorBody{Code: "base_missing", Message: "name the revision this was built on: base=N or If-Match", Revision: c.state.Revision})
		return nil
	}
	canonical, err := config.Canonical(text)
	if err != nil {
		c.rejectInvalid(call, nil, err)
		return nil
	}
	digest := state.DigestOf([]byte(description), strconv.AppendUint(nil, base, 10), canonical)
	if base != c.state.Revision {
		c.answerOtherBase(request.now, call, digest, base)
		return nil
	}
	return &configChange{call: call, description: description, digest: &digest}
}

// answerOtherBase answers a change that is not built on the present revision. It may be a retry of one that
// was accepted: then it is answered as that was, and as unknown if its base is before all that is kept.
func (c *Controller) answerOtherBase(now time.Duration, call *pendingCall, digest state.ChangeDigest, base uint64) {
	status, revision := c.state.FindChange(digest, base)
	switch status {
	case state.AlreadyAccepted:
		c.answerWhenInForce(now, call, revision)
	case state.Forgotten:
		c.answerUnknown(call)
	default:
		c.counts.Rejected++
		c.answer(call, c.staleBaseReply(call.token))
	}
}

// answerWhenInForce acknowledges a change that was accepted before, once the present table is in force:
// no earlier one need be waited for, since it has the change.
func (c *Controller) answerWhenInForce(now time.Duration, call *pendingCall, revision uint64) {
	c.counts.RepeatsAnswered++
	c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, call: call, reply: acceptedReply(call.token, revision)})
}

func (c *Controller) applyNamedChange(now time.Duration, change *configChange, text []byte) {
	named, faults, err := config.ParseNamedChange(text)
	var document []byte
	if err == nil && len(faults) == 0 {
		document, faults, err = named.Apply(c.state.Document)
	}
	if err != nil || len(faults) > 0 {
		c.rejectInvalid(change.call, faults, err)
		return
	}
	c.proposeConfig(now, change, document)
}

func (c *Controller) mergePatch(now time.Duration, change *configChange, patch []byte) {
	document, err := config.MergePatch(withoutRevision(c.state.Document), patch)
	if err != nil {
		c.rejectInvalid(change.call, nil, err)
		return
	}
	c.proposeConfig(now, change, document)
}

// proposeConfig proposes a complete configuration on the present revision, if it is valid.
func (c *Controller) proposeConfig(now time.Duration, change *configChange, document []byte) {
	if len(document) > tuning.DocumentMax {
		c.answer(change.call, tooLargeReply())
		return
	}
	parsed, faults, err := outlier.ParseConfig(document)
	if err == nil && parsed.Revision != 0 && parsed.Revision <= c.state.Revision {
		faults = append(faults, config.Fault{Path: "revision", Text: fmt.Sprintf("not above the present %d", c.state.Revision)})
	}
	if err != nil || len(faults) > 0 {
		c.rejectInvalid(change.call, faults, err)
		return
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, document); err != nil {
		panic(errors.Wrap(err, "a configuration that was parsed"))
	}
	proposed := c.proposeChange(now, change.call, state.Command{
		Operation:         state.OpConfigure,
		Base:              c.state.Revision,
		Document:          compact.Bytes(),
		Description:       change.description,
		RequestedRevision: parsed.Revision,
		Digest:            change.digest,
	})
	if proposed {
		c.lastCheckedConfig = checkedConfig{document: compact.Bytes(), config: parsed}
	}
}

// documentAt is the configuration at a revision, nil if it is not kept.
func (c *Controller) documentAt(revision uint64) json.RawMessage {
	for i := range c.state.Records {
		if record := &c.state.Records[i]; record.Revision == revision && record.Document != nil {
			return record.Document
		}
	}
	return nil
}

// diffAnswer is the body of an answer; its keys stand in alphabetical order.
type diffAnswer struct {
	From       uint64          `json:"from"`
	MergePatch json.RawMessage `json:"merge_patch"`
	To         uint64          `json:"to"`
}

// answerDiff answers with what changed between two revisions, as a JSON merge patch.
func (c *Controller) answerDiff(request *apiRequest) {
	from, _ := queryNumber(request.query, "from")
	to, _ := queryNumber(request.query, "to")
	earlier, later := c.documentAt(from), c.documentAt(to)
	if from == 0 {
		earlier = json.RawMessage(state.EmptyDocument)
	}
	if earlier == nil || later == nil {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: "one of the revisions is not kept"})
		return
	}
	patch, err := jsonpatch.CreateMergePatch(earlier, later)
	if err != nil {
		panic(errors.Wrapf(err, "difference of revisions %d and %d", from, to))
	}
	c.answerBody(request.call, diffAnswer{From: from, MergePatch: patch, To: to})
}

// withoutRevision is a committed configuration without a revision in it.
func withoutRevision(document []byte) []byte { return mustRewrite(config.WithoutRevision(document)) }

// mustRewrite returns a committed configuration as it was rewritten. It was valid when it was proposed, so
// an error is a fault of this program.
func mustRewrite(document []byte, err error) []byte {
	if err != nil {
		panic(errors.Wrap(err, "a committed configuration"))
	}
	return document
}
