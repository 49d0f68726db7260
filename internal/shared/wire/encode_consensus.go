package wire

func (e *encoder) vote(out VoteC, v *Vote) {
	out.SetPreVote(v.PreVote)
	out.SetReply(v.Reply)
	out.SetGranted(v.Granted)
	out.SetLastIndex(v.LastIndex)
	out.SetLastTerm(v.LastTerm)
	out.SetTransfer(v.Transfer)
	out.SetUnanimous(v.Unanimous)
	out.SetNoLeader(v.NoLeader)
}

func (e *encoder) append(out AppendC, message *Append) {
	out.SetReply(message.Reply)
	out.SetSuccess(message.Success)
	out.SetPrevIndex(message.PrevIndex)
	out.SetPrevTerm(message.PrevTerm)
	out.SetCommit(message.Commit)
	out.SetMatchIndex(message.MatchIndex)
	if list, ok := newList(e, len(message.Entries), out.NewEntries); ok {
		e.entries(list, message.Entries)
	}
	if message.Chunk != nil {
		if c, err := out.NewChunk(); e.ok(err) {
			e.chunk(c, message.Chunk)
		}
	}
}

func (e *encoder) chunk(out ChunkC, chunk *Chunk) {
	out.SetIsEntry(chunk.IsEntry)
	out.SetIndex(chunk.Index)
	out.SetTerm(chunk.Term)
	out.SetKind(chunk.Kind)
	if list, ok := newList(e, len(chunk.Members), out.NewMembers); ok {
		e.members(list, chunk.Members)
	}
	out.SetSize(chunk.Size)
	out.SetChecksum(chunk.Checksum)
	out.SetOffset(chunk.Offset)
	e.ok(out.SetData(chunk.Data))
}

func (e *encoder) members(list MemberC_List, members []Member) {
	for i := range members {
		c := list.At(i)
		e.ok(c.SetName(members[i].Name))
		c.SetDisk(members[i].Disk)
	}
}

func (e *encoder) entries(list EntryC_List, entries []Entry) {
	for i := range entries {
		c := list.At(i)
		c.SetIndex(entries[i].Index)
		c.SetTerm(entries[i].Term)
		c.SetKind(entries[i].Kind)
		e.ok(c.SetData(entries[i].Data))
	}
}

func (e *encoder) snapshot(out SnapshotC, s *Snapshot) {
	out.SetIndex(s.Index)
	out.SetTerm(s.Term)
	if list, ok := newList(e, len(s.Members), out.NewMembers); ok {
		e.members(list, s.Members)
	}
	e.ok(out.SetData(s.Data))
}

func (e *encoder) batch(out BatchC, batch *Batch) {
	out.SetSeq(batch.Seq)
	out.SetReset(batch.Reset)
	out.SetEpoch(batch.Epoch)
	out.SetDisk(batch.Disk)
	out.SetHasHardState(batch.HasHardState)
	out.SetTerm(batch.Term)
	e.ok(out.SetVote(batch.Vote))
	out.SetTruncateFrom(batch.TruncateFrom)
	if list, ok := newList(e, len(batch.Entries), out.NewEntries); ok {
		e.entries(list, batch.Entries)
	}
	if batch.Snapshot != nil {
		if c, err := out.NewSnapshot(); e.ok(err) {
			e.snapshot(c, batch.Snapshot)
		}
	}
	out.SetBootstrapLock(batch.BootstrapLock)
	e.ok(out.SetRecoveredState(batch.RecoveredState))
	if list, ok := newList(e, len(batch.Founders), out.NewFounders); ok {
		e.members(list, batch.Founders)
	}
	out.SetBootstrapEpoch(batch.BootstrapEpoch)
}
