package simulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/verification/linearizability"
)

// domainsPath is the path of the read of failure domains, and the path prefix of their changes.
const domainsPath = "/v1/domains"

// recordDomainChange adds a call that empties or restores a domain to the history of domains. It returns nil for other calls.
func (w *World) recordDomainChange(method, path, token string) *linearizability.DomainOperation {
	change, isChange := strings.CutPrefix(path, domainsPath+"/")
	if method != http.MethodPost || !isChange {
		return nil
	}
	domain, action, _ := strings.Cut(change, "/")
	return w.checks.domains.Change(w.now, domain, token, action == string(changeEmpty))
}

// recordDomainReply records the reply to a change of a domain, if operation is not nil.
func (w *World) recordDomainReply(operation *linearizability.DomainOperation, reply statemachine.Reply) {
	switch {
	case operation == nil:
	case reply.Status == http.StatusOK:
		operation.Acknowledge(w.now)
	case reply.Status == http.StatusGatewayTimeout:
		operation.Abandon(w.now)
	default:
		operation.NoEffect(w.now)
	}
}

// recordDomainRead records the reply to a read of the domains.
func (w *World) recordDomainRead(sentAt time.Duration, reply statemachine.Reply) {
	var body struct {
		Emptied []string `json:"emptied"`
	}
	if reply.Status == http.StatusOK && json.Unmarshal(reply.Body, &body) == nil {
		w.checks.domains.Read(sentAt, w.now, body.Emptied)
	}
}
