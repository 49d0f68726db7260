package wire

func (e *encoder) pull(out PullC, pull *Pull) {
	if c, err := out.NewSelf(); e.ok(err) {
		e.daemon(c, &pull.Self)
	}
	if c, err := out.NewKey(); e.ok(err) {
		e.key(c, pull.Key)
	}
	if list, ok := newList(e, len(pull.Stats), out.NewStats); ok {
		e.stats(list, pull.Stats)
	}
	if pull.Table != nil {
		if c, err := out.NewTable(); e.ok(err) {
			e.table(c, pull.Table)
		}
	}
	out.SetRevision(pull.Revision)
	out.SetStateIndex(pull.StateIndex)
	out.SetWantTable(pull.WantTable)
}

func (e *encoder) push(out PushC, push *Push) {
	out.SetLeaseGranted(push.LeaseGranted)
	out.SetWantTable(push.WantTable)
	if c, err := out.NewKey(); e.ok(err) {
		e.key(c, push.Key)
	}
	if push.Table != nil {
		if c, err := out.NewTable(); e.ok(err) {
			e.table(c, push.Table)
		}
	}
	if list, ok := newList(e, len(push.ProbeTargets), out.NewProbeTargets); ok {
		e.identities(list, push.ProbeTargets)
	}
}

// table encodes a table. Everything it points to is allocated after it and contiguously, which PackTable relies on.
func (e *encoder) table(out TableC, table *Table) {
	if c, err := out.NewKey(); e.ok(err) {
		e.key(c, table.Key)
	}
	out.SetStateIndex(table.StateIndex)
	out.SetRevision(table.Revision)
	e.ok(out.SetDocument(table.Document))
	e.ok(out.SetState(table.State))
	if list, ok := newList(e, len(table.Proxies), out.NewProxies); ok {
		e.proxies(list, table.Proxies)
	}
	if list, ok := newList(e, len(table.EmptiedDomains), out.NewEmptiedDomains); ok {
		e.texts(list, table.EmptiedDomains)
	}
	if list, ok := newList(e, len(table.Targets), out.NewTargets); ok {
		for i := range table.Targets {
			e.target(list.At(i), &table.Targets[i])
		}
	}
	if list, ok := newList(e, len(table.PreviousProxies), out.NewPreviousProxies); ok {
		e.texts(list, table.PreviousProxies)
	}
	if c, err := out.NewDeltaBase(); e.ok(err) {
		e.key(c, table.DeltaBase)
	}
	if list, ok := newList(e, len(table.RemovedTargets), out.NewRemovedTargets); ok {
		e.identities(list, table.RemovedTargets)
	}
	if list, ok := newList(e, len(table.DepartedProxies), out.NewDepartedProxies); ok {
		e.texts(list, table.DepartedProxies)
	}
}

func (e *encoder) key(out TableKeyC, k TableKey) {
	out.SetEpoch(k.Epoch)
	out.SetTerm(k.Term)
	out.SetVersion(k.Version)
}

func (e *encoder) proxies(list ProxyC_List, proxies []Proxy) {
	for i := range proxies {
		c, p := list.At(i), &proxies[i]
		e.ok(c.SetName(p.Name))
		e.ok(c.SetAddr(p.Addr))
		e.ok(c.SetDomain(p.Domain))
		c.SetLive(p.Live)
	}
}

func (e *encoder) target(out TargetC, t *Target) {
	e.ok(out.SetService(t.Service))
	e.ok(out.SetName(t.Name))
	out.SetIncarnation(t.Incarnation)
	e.ok(out.SetAddr(t.Addr))
	e.ok(out.SetDomain(t.Domain))
	e.ok(out.SetState(string(t.State)))
	out.SetDemand(t.Demand)
	out.SetHasDemand(t.HasDemand)
	out.SetDraining(t.Draining)
	out.SetEjectionLeft(t.EjectionLeft)
	e.ok(out.SetEjectedBy(t.EjectedBy))
	out.SetPending(t.Pending)
	out.SetHeartbeating(t.Heartbeating)
	out.SetShareOffset(t.ShareOffset)
	out.SetSlots(t.Slots)
	out.SetWarmupLeft(t.WarmupLeft)
	out.SetNumber(t.Number)
}

func (e *encoder) stats(list TargetStatsC_List, stats []TargetStats) {
	for i := range stats {
		c, s := list.At(i), &stats[i]
		e.ok(c.SetService(s.Service))
		e.ok(c.SetName(s.Name))
		c.SetIncarnation(s.Incarnation)
		c.SetSuccesses(s.Successes)
		c.SetErrors(s.Errors)
		c.SetTotalMs(s.TotalMs)
		c.SetDemand(s.Demand)
		c.SetHasDemand(s.HasDemand)
		c.SetSlow(s.Slow)
		c.SetRejected(s.Rejected)
		c.SetProbeAnswered(s.ProbeAnswered)
	}
}

func (e *encoder) identities(list IdentityC_List, ids []TargetID) {
	for i := range ids {
		c, id := list.At(i), &ids[i]
		e.ok(c.SetService(id.Service))
		e.ok(c.SetName(id.Name))
		c.SetIncarnation(id.Incarnation)
	}
}
