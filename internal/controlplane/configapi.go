// This file handles operators' changes to the configuration. Each change names the revision that it is based on and is
// proposed only if that is the current revision, so that no change silently overwrites another.

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

// Descriptions of changes. They are stored in the change records and are part of the change digests.
const (
	replaceDescription = "whole"
	patchDescription   = "partial"
)

// configChange is a change to the configuration that has passed prepareConfigChange and may be proposed.
type configChange struct {
	call        *pendingCall
	description string
	digest      *state.ChangeDigest // of its description, its base and its canonical text
}

// replaceConfig replaces the whole configuration with the request body.
func (c *Controller) replaceConfig(request *apiRequest) {
	if change := c.prepareConfigChange(request, request.body, replaceDescription); change != nil {
		c.proposeConfig(request.now, change, request.body)
	}
}

// patchConfig changes parts of the configuration. The request body is a named change or a JSON merge patch.
func (c *Controller) patchConfig(request *apiRequest) {
	change := c.prepareConfigChange(request, request.body, patchDescription)
	if change == nil {
		return
	}
	if config.IsNamedChange(request.body) {
		c.applyNamedChange(request.now, change, request.body)
		return
	}
	c.mergePatch(request.now, change, request.body)
}

// replacePolicy replaces one outlier policy with the request body.
func (c *Controller) replacePolicy(request *apiRequest) {
	patch := policyPatch(request.path.name, request.body)
	if change := c.prepareConfigChange(request, patch, "policy "+request.path.name); change != nil {
		c.mergePatch(request.now, change, patch)
	}
}

// removePolicy removes one outlier policy.
func (c *Controller) removePolicy(request *apiRequest) {
	patch := policyPatch(request.path.name, []byte("null"))
	if change := c.prepareConfigChange(request, patch, "policy "+request.path.name+" removed"); change != nil {
		c.mergePatch(request.now, change, patch)
	}
}

// rollBackConfig replaces the configuration with that of an earlier revision.
func (c *Controller) rollBackConfig(request *apiRequest) {
	revision, ok := queryNumber(request.query, "to")
	document := c.documentAt(revision)
	if !ok || document == nil {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("revision %d is not kept; the last %d changes are", revision, tuning.ChangesKept)})
		return
	}
	description := fmt.Sprintf("rollback to %d", revision)
	if change := c.prepareConfigChange(request, []byte(state.EmptyDocument), description); change != nil {
		c.proposeConfig(request.now, change, withoutRevision(document))
	}
}

// policyPatch returns the merge patch that sets a policy. A policy that is not valid JSON is returned unchanged, so that
// prepareConfigChange rejects it.
func policyPatch(name string, policy []byte) []byte {
	if !json.Valid(policy) {
		return policy
	}
	return reply.Body(map[string]map[string]json.RawMessage{"policies": {name: policy}})
}

// prepareConfigChange checks a change to the configuration before the new document is built: its size, its base revision,
// its syntax, and whether the same change was accepted before. It returns nil if it has answered the call.
func (c *Controller) prepareConfigChange(request *apiRequest, text []byte, description string) *configChange {
	call := request.call
	if len(text) > tuning.DocumentMax {
		c.answer(call, tooLargeReply())
		return nil
	}
	base, ok := queryNumber(request.query, "base")
	if !ok {
		c.reject(call, 428, config.ErrorBody{Code: "base_missing", Message: "the base revision is missing: set base=N or If-Match", Revision: c.state.Revision})
		return nil
	}
	canonical, err := config.Canonical(text)
	if err != nil {
		c.rejectInvalid(call, nil, err)
		return nil
	}
	digest := state.DigestOf([]byte(description), strconv.AppendUint(nil, base, 10), canonical)
	if base != c.state.Revision {
		c.answerBaseMismatch(request.now, call, digest, base)
		return nil
	}
	return &configChange{call: call, description: description, digest: &digest}
}

// answerBaseMismatch answers a change whose base is not the current revision. If it is a retry of an accepted change, it is
// answered like that change. If its base is older than all kept records, it may be such a retry, and is answered as
// unknown. Otherwise it is rejected as stale.
func (c *Controller) answerBaseMismatch(now time.Duration, call *pendingCall, digest state.ChangeDigest, base uint64) {
	status, revision := c.state.FindChange(digest, base)
	switch status {
	case state.AlreadyAccepted:
		c.answerWhenInForce(now, call, revision)
	case state.StatusUnknown:
		c.answerUnknown(call)
	default:
		c.counts.Rejected++
		c.answer(call, c.staleBaseReply(call.token))
	}
}

// answerWhenInForce acknowledges a change that was accepted earlier once the current table is in force. The current
// table includes the change, so there is no need to determine which earlier table did so first.
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

// proposeConfig validates a complete configuration and proposes it on top of the current revision.
func (c *Controller) proposeConfig(now time.Duration, change *configChange, document []byte) {
	if len(document) > tuning.DocumentMax {
		c.answer(change.call, tooLargeReply())
		return
	}
	parsed, faults, err := outlier.ParseConfig(document)
	if err == nil && parsed.Revision != 0 && parsed.Revision <= c.state.Revision {
		faults = append(faults, config.Fault{Path: "revision", Text: fmt.Sprintf("must be greater than the current revision %d", c.state.Revision)})
	}
	if err != nil || len(faults) > 0 {
		c.rejectInvalid(change.call, faults, err)
		return
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, document); err != nil {
		panic(errors.Wrap(err, "compact a configuration that passed validation"))
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

// documentAt returns the configuration document of a revision, nil if it is no longer kept.
func (c *Controller) documentAt(revision uint64) json.RawMessage {
	for i := range c.state.Records {
		if record := &c.state.Records[i]; record.Revision == revision && record.Document != nil {
			return record.Document
		}
	}
	return nil
}

// diffAnswer is a response body. Its keys are in alphabetical order.
type diffAnswer struct {
	From       uint64          `json:"from"`
	MergePatch json.RawMessage `json:"merge_patch"`
	To         uint64          `json:"to"`
}

// answerDiff returns the difference between two revisions as a JSON merge patch. Revision 0 is the empty configuration.
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
		panic(errors.Wrapf(err, "create merge patch from revision %d to %d", from, to))
	}
	c.answerBody(request.call, diffAnswer{From: from, MergePatch: patch, To: to})
}

// withoutRevision returns a committed configuration document without its revision key.
func withoutRevision(document []byte) []byte { return mustRewrite(config.WithoutRevision(document)) }

// mustRewrite returns the result of rewriting a committed configuration document. The document was valid when it was
// proposed, so an error is a bug in this program and panics.
func mustRewrite(document []byte, err error) []byte {
	if err != nil {
		panic(errors.Wrap(err, "rewrite the revision of a committed configuration"))
	}
	return document
}
