// This file collects what disks and proxies have of an earlier epoch's state, from which a new epoch begins
// after the loss of a majority.

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

// proxyRecoveredState is what a proxy has of an earlier epoch, and the members that it names.
type proxyRecoveredState struct {
	state.RecoveredState
	members discovery.Membership
}

// recvRecoveredState takes the state that a hello carries. A proxy's is long, and all proxies send theirs as
// soon as they have no leader, so a member decodes none before it has no leader either: only a bootstrap or a
// recovery needs them.
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

// decodeProxyStates decodes what proxies have sent since the last time.
func (c *Controller) decodeProxyStates() {
	for _, proxy := range slices.Sorted(maps.Keys(c.unreadRecoveredStates)) {
		if recovered, ok := decodeRecoveredState(c.unreadRecoveredStates[proxy]); ok {
			c.addRecovered(recovered)
			c.recordProxyState(proxy, recovered)
		}
	}
	clear(c.unreadRecoveredStates)
}

// decodeRecoveredState reads the form in hellos: JSON, compressed if it is long.
func decodeRecoveredState(encoded []byte) (recovered state.RecoveredState, ok bool) {
	text, err := wire.Decompress(encoded)
	return recovered, err == nil && json.Unmarshal(text, &recovered) == nil
}

// recordProxyState keeps what a proxy has. It sends that again and again while it has no leader, so it is
// decoded only if it has changed.
func (c *Controller) recordProxyState(proxy string, recovered state.RecoveredState) {
	known := c.proxyRecoveredStates[proxy]
	if known.Epoch == recovered.Epoch && known.Term == recovered.Term && known.Index == recovered.Index && bytes.Equal(known.State, recovered.State) {
		return
	}
	latest := proxyRecoveredState{RecoveredState: recovered}
	if decoded, err := state.Decode(recovered.State); err != nil {
		c.ReportDamage("memory of proxy "+proxy, err)
	} else if len(decoded.Members) > 0 {
		latest.members = discovery.Membership{Epoch: recovered.Epoch, Index: recovered.Index, Members: decoded.Members}
	}
	c.proxyRecoveredStates[proxy] = latest
}

// addRecovered takes a state of an earlier epoch as the one to begin this epoch with, if it is the latest so
// far that can be put in force.
func (c *Controller) addRecovered(recovered state.RecoveredState) {
	if c.node == nil || c.state.Recovered || recovered.Epoch >= c.node.Epoch() {
		return
	}
	if len(recovered.State) == 0 || !c.recoveredState.IsBefore(recovered) {
		return
	}
	if _, err := state.DecodeRecovered(recovered); err != nil {
		c.unreadableRecoveredState = true
		c.ReportDamage(fmt.Sprintf("memory of epoch %d, entry %d", recovered.Epoch, recovered.Index), err)
		return
	}
	c.recoveredState = recovered
}

// canRecover says that the epoch may begin with what has been collected. It may not begin with nothing while
// there is a state that can't be decoded, unless an operator allows that: to lose an acknowledged
// configuration must be a decision of people.
func (c *Controller) canRecover() bool {
	return len(c.recoveredState.State) > 0 || !c.unreadableRecoveredState || c.emptyStateAllowed
}
