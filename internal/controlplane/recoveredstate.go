// This file collects the copies of an earlier epoch's state that disks and proxies hold. After the loss of a majority a
// new epoch begins with the latest of them.

package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// proxyRecoveredState is the state of an earlier epoch that a proxy holds, and the membership recorded in it.
type proxyRecoveredState struct {
	state.RecoveredState
	members discovery.Membership
}

// recvRecoveredState takes the recovered state that a hello carries. Proxies' states are large, and all proxies send
// theirs as soon as they have no leader. Only a bootstrap or a recovery needs them, so a member decodes them only if it
// has no node or is recovering; until then it keeps the latest from each proxy.
func (c *Controller) recvRecoveredState(message *wire.Message) {
	encoded := message.Hello.RecoveredState
	if len(encoded) == 0 {
		return
	}
	if message.Hello.Self.Kind == wire.ProxyDaemon {
		c.unreadRecoveredStates[message.From] = encoded
		if c.node == nil || c.leadership == Recovering {
			c.decodeProxyStates()
		}
		return
	}
	if recovered, ok := decodeRecoveredState(encoded); ok {
		c.addRecovered(recovered)
	}
}

// decodeProxyStates decodes the states that proxies have sent since the last call.
func (c *Controller) decodeProxyStates() {
	for _, proxy := range slices.Sorted(maps.Keys(c.unreadRecoveredStates)) {
		if recovered, ok := decodeRecoveredState(c.unreadRecoveredStates[proxy]); ok {
			c.addRecovered(recovered)
			c.recordProxyState(proxy, recovered)
		}
	}
	clear(c.unreadRecoveredStates)
}

// decodeRecoveredState decodes a state as hellos carry it: JSON, compressed if it is long.
func decodeRecoveredState(encoded []byte) (recovered state.RecoveredState, ok bool) {
	text, err := wire.Decompress(encoded)
	return recovered, err == nil && json.Unmarshal(text, &recovered) == nil
}

// recordProxyState records the state that a proxy holds. The proxy sends it repeatedly while it has no leader, so it is
// decoded only if it has changed.
func (c *Controller) recordProxyState(proxy string, recovered state.RecoveredState) {
	known := c.proxyRecoveredStates[proxy]
	if known.Epoch == recovered.Epoch && known.Term == recovered.Term && known.Index == recovered.Index && bytes.Equal(known.State, recovered.State) {
		return
	}
	latest := proxyRecoveredState{RecoveredState: recovered}
	if decoded, err := state.Decode(recovered.State); err != nil {
		c.ReportDamage("recovered state from proxy "+proxy, err)
	} else if len(decoded.Members) > 0 {
		latest.members = discovery.Membership{Epoch: recovered.Epoch, Index: recovered.Index, Members: decoded.Members}
	}
	c.proxyRecoveredStates[proxy] = latest
}

// addRecovered keeps a state of an earlier epoch as the one to begin this epoch with, if it is later than the one kept so
// far and can be decoded completely. It reports a later one that can't be decoded as damage.
func (c *Controller) addRecovered(recovered state.RecoveredState) {
	if c.node == nil || c.state.Recovered || recovered.Epoch >= c.node.Epoch() {
		return
	}
	if len(recovered.State) == 0 || !c.recoveredState.IsBefore(recovered) {
		return
	}
	if _, err := state.DecodeRecovered(recovered); err != nil {
		c.unreadableRecoveredState = true
		c.ReportDamage(fmt.Sprintf("recovered state of epoch %d, entry %d", recovered.Epoch, recovered.Index), err)
		return
	}
	c.recoveredState = recovered
}

// canRecover reports whether the epoch may begin with what has been collected. If the only states found can't be
// decoded, it may begin empty only with an operator's consent, since an acknowledged configuration may then be lost.
func (c *Controller) canRecover() bool {
	return len(c.recoveredState.State) > 0 || !c.unreadableRecoveredState || c.emptyStateAllowed
}
