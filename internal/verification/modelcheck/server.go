// This file models one server of the cluster: its process, disk, clock and state machine.

package modelcheck

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

const (
	// disksPerServer is the size of the number range for the successive disks of one server.
	disksPerServer = 16
	// nominalRate is the rate of a clock without drift, in thousandths of true time.
	nominalRate = 1000
)

// server is one server of the cluster.
type server struct {
	name      string
	node      *consensus.Node
	disk      consensus.PersistentState // synced state, which survives a restart
	pending   []*wire.Batch             // batches written but not known to be synced, oldest first
	applied   stateMachine
	disksLost uint64 // number of disks lost so far
	rate      int64  // clock rate in thousandths of true time
}

// newServer starts a server for the first time. The initial members have a snapshot with the member list on disk; the disks
// of the other servers are empty.
func (s *State) newServer(i int, members []wire.Member) *server {
	created := &server{name: serverName(i), rate: nominalRate, disk: consensus.PersistentState{Epoch: epoch, Disk: diskNumber(i, 0)}}
	if rates := s.scenario.ClockRates; len(rates) > 0 {
		created.rate = rates[i%len(rates)]
	}
	if i < s.scenario.Voters {
		created.disk.Snapshot = wire.Snapshot{Index: firstIndex, Members: members}
		created.applied = decodeStateMachine(nil)
	}
	created.node = consensus.New(created.clock(s.now), created.name, created.disk)
	return created
}

func serverName(i int) string { return string(rune('a' + i)) }

// diskNumber returns the cluster-wide number of a server's disk. Its first disk is disk 0. The number is never 0.
func diskNumber(server int, disk uint64) uint64 { return uint64(server)*disksPerServer + disk + 1 }

func (s *server) clone() *server {
	c := *s
	c.node = s.node.Clone()
	c.disk.Log = slices.Clip(s.disk.Log)
	c.pending = slices.Clone(s.pending)
	return &c
}

// clock returns the time on the server's clock at the true time now.
func (s *server) clock(now time.Duration) time.Duration {
	return now / nominalRate * time.Duration(s.rate)
}

// applyReady restores the node's new snapshot, if any, and applies its committed entries.
func (s *server) applyReady(ready *consensus.Ready) {
	if ready.Snapshot != nil {
		s.applied = decodeStateMachine(ready.Snapshot.Data)
	}
	for _, entry := range ready.CommittedEntries {
		s.applied = s.applied.apply(entry)
	}
}

// sync writes the first count pending batches to disk and reports them to the node as synced.
func (s *server) sync(count int, now time.Duration) {
	if count == 0 {
		return
	}
	for _, batch := range s.pending[:count] {
		s.disk.ApplyBatch(batch)
	}
	seq := s.pending[count-1].Seq
	s.pending = slices.Clone(s.pending[count:])
	s.node.Advance(now, seq)
}

// stateMachine represents the applied state by a checksum over all entries applied, so that states with different histories
// differ.
type stateMachine struct {
	index    uint64 // index of the last entry applied
	checksum uint64
}

// apply returns the state after applying entry.
func (m stateMachine) apply(entry wire.Entry) stateMachine {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], m.checksum)
	binary.LittleEndian.PutUint64(b[8:], entry.Index)
	binary.LittleEndian.PutUint64(b[16:], entry.Term)
	binary.LittleEndian.PutUint64(b[24:], uint64(entry.Kind))
	hash := fnv.New64a()
	hash.Write(b[:])
	hash.Write(entry.Data)
	return stateMachine{entry.Index, hash.Sum64()}
}

// encode returns the state as the data of a snapshot.
func (m stateMachine) encode() []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, m.index), m.checksum)
}

// decodeStateMachine decodes the data of a snapshot. The data of the first snapshot is empty.
func decodeStateMachine(data []byte) stateMachine {
	if len(data) != 16 {
		return stateMachine{index: firstIndex}
	}
	return stateMachine{binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:])}
}
