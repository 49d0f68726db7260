package wire

func (d *decoder) vote(c VoteC, err error) *Vote {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Vote{
		PreVote:   c.PreVote(),
		Reply:     c.Reply(),
		Granted:   c.Granted(),
		LastIndex: c.LastIndex(),
		LastTerm:  c.LastTerm(),
		Transfer:  c.Transfer(),
		Unanimous: c.Unanimous(),
		NoLeader:  c.NoLeader(),
	}
}

func (d *decoder) append(c AppendC, err error) *Append {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Append{
		Reply:      c.Reply(),
		Success:    c.Success(),
		PrevIndex:  c.PrevIndex(),
		PrevTerm:   c.PrevTerm(),
		Commit:     c.Commit(),
		MatchIndex: c.MatchIndex(),
		Entries:    d.entries(c.Entries()),
		Chunk:      d.chunk(c.Chunk()),
	}
}

func (d *decoder) chunk(c ChunkC, err error) *Chunk {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Chunk{
		IsEntry:  c.IsEntry(),
		Index:    c.Index(),
		Term:     c.Term(),
		Kind:     c.Kind(),
		Members:  d.members(c.Members()),
		Size:     c.Size(),
		Checksum: c.Checksum(),
		Offset:   c.Offset(),
		Data:     d.data(c.Data()),
	}
}

func (d *decoder) snapshot(c SnapshotC, err error) *Snapshot {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Snapshot{
		Index:   c.Index(),
		Term:    c.Term(),
		Members: d.members(c.Members()),
		Data:    d.data(c.Data()),
	}
}

func (d *decoder) members(list MemberC_List, err error) []Member {
	return readList(d, list, err, func(c MemberC, to *Member) {
		to.Name, to.Disk = d.text(c.NameBytes()), c.Disk()
	})
}

func (d *decoder) entries(list EntryC_List, err error) []Entry {
	return readList(d, list, err, func(c EntryC, to *Entry) {
		*to = Entry{Index: c.Index(), Term: c.Term(), Kind: c.Kind(), Data: d.data(c.Data())}
	})
}

func (d *decoder) batch(c BatchC) *Batch {
	return &Batch{
		Seq:            c.Seq(),
		Reset:          c.Reset(),
		Epoch:          c.Epoch(),
		Disk:           c.Disk(),
		HasHardState:   c.HasHardState(),
		Term:           c.Term(),
		Vote:           d.text(c.VoteBytes()),
		TruncateFrom:   c.TruncateFrom(),
		Entries:        d.entries(c.Entries()),
		Snapshot:       d.snapshot(c.Snapshot()),
		BootstrapLock:  c.BootstrapLock(),
		RecoveredState: d.data(c.RecoveredState()),
		Founders:       d.members(c.Founders()),
		BootstrapEpoch: c.BootstrapEpoch(),
	}
}
