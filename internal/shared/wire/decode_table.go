package wire

func (d *decoder) pull(c PullC, err error) *Pull {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Pull{
		Self:       d.daemon(c.Self()),
		Key:        d.key(c.Key()),
		Stats:      d.stats(c.Stats()),
		Table:      d.table(c.Table()),
		Revision:   c.Revision(),
		StateIndex: c.StateIndex(),
		WantTable:  c.WantTable(),
	}
}

func (d *decoder) push(c PushC, err error) *Push {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Push{
		LeaseGranted: c.LeaseGranted(),
		WantTable:    c.WantTable(),
		Key:          d.key(c.Key()),
		Table:        d.table(c.Table()),
		ProbeTargets: d.identities(c.ProbeTargets()),
	}
}

func (d *decoder) table(c TableC, err error) *Table {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Table{
		Key:             d.key(c.Key()),
		StateIndex:      c.StateIndex(),
		Revision:        c.Revision(),
		Document:        d.data(c.Document()),
		State:           d.data(c.State()),
		Proxies:         d.proxies(c.Proxies()),
		EmptiedDomains:  d.texts(c.EmptiedDomains()),
		Targets:         d.targets(c.Targets()),
		PreviousProxies: d.texts(c.PreviousProxies()),
		DeltaBase:       d.key(c.DeltaBase()),
		RemovedTargets:  d.identities(c.RemovedTargets()),
		DepartedProxies: d.texts(c.DepartedProxies()),
	}
}

func (d *decoder) key(c TableKeyC, err error) TableKey {
	d.ok(err)
	return TableKey{Epoch: c.Epoch(), Term: c.Term(), Version: c.Version()}
}

func (d *decoder) proxies(list ProxyC_List, err error) []Proxy {
	return readList(d, list, err, func(c ProxyC, to *Proxy) {
		*to = Proxy{Name: d.text(c.NameBytes()), Addr: d.text(c.AddrBytes()), Domain: d.interned(c.DomainBytes()), Live: c.Live()}
	})
}

func (d *decoder) heartbeat(c TargetC, err error) *Target {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	t := &Target{}
	d.target(c, t)
	return t
}

func (d *decoder) targets(list TargetC_List, err error) []Target {
	return readList(d, list, err, d.target)
}

func (d *decoder) target(c TargetC, to *Target) {
	to.Service = d.interned(c.ServiceBytes())
	to.Name = d.text(c.NameBytes())
	to.Incarnation = c.Incarnation()
	to.Addr = d.text(c.AddrBytes())
	to.Domain = d.interned(c.DomainBytes())
	to.State = TargetState(d.interned(c.StateBytes()))
	to.Demand = c.Demand()
	to.HasDemand = c.HasDemand()
	to.Draining = c.Draining()
	to.EjectionLeft = c.EjectionLeft()
	to.EjectedBy = d.interned(c.EjectedByBytes())
	to.Pending = c.Pending()
	to.Heartbeating = c.Heartbeating()
	to.ShareOffset = c.ShareOffset()
	to.Slots = c.Slots()
	to.WarmupLeft = c.WarmupLeft()
	to.Number = c.Number()
}

func (d *decoder) stats(list TargetStatsC_List, err error) []TargetStats {
	return readList(d, list, err, func(c TargetStatsC, to *TargetStats) {
		to.Service = d.interned(c.ServiceBytes())
		to.Name = d.text(c.NameBytes())
		to.Incarnation = c.Incarnation()
		to.Successes = c.Successes()
		to.Errors = c.Errors()
		to.TotalMs = c.TotalMs()
		to.Demand = c.Demand()
		to.HasDemand = c.HasDemand()
		to.Slow = c.Slow()
		to.Rejected = c.Rejected()
		to.ProbeAnswered = c.ProbeAnswered()
	})
}

func (d *decoder) identities(list IdentityC_List, err error) []TargetID {
	return readList(d, list, err, func(c IdentityC, to *TargetID) {
		to.Service, to.Name, to.Incarnation = d.interned(c.ServiceBytes()), d.text(c.NameBytes()), c.Incarnation()
	})
}
