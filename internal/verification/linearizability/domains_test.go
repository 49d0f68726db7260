package linearizability

import "testing"

// Check of a domain's history accepts late effects of a change that was given up, until a later change is acknowledged.
func TestCheckOfDomains(t *testing.T) {
	emptied, restored := []string{"z"}, []string{}
	for _, c := range []struct {
		name         string
		linearizable bool
		calls        func(h *DomainHistory)
	}{
		{"emptied, then read", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(11*ms, 12*ms, emptied)
		}},
		{"emptied, then read as restored", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(11*ms, 12*ms, restored)
		}},
		{"read during the change", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(5*ms, 6*ms, restored)
		}},
		{"a rejected change is read", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).NoEffect(10 * ms)
			h.Read(11*ms, 12*ms, emptied)
		}},
		{"given up, takes effect late", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(10 * ms)
			h.Read(11*ms, 12*ms, restored)
			h.Read(20*ms, 21*ms, emptied)
		}},
		{"given up, never takes effect", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(10 * ms)
			h.Read(11*ms, 12*ms, restored)
		}},
		{"given up, takes effect after a later change was acknowledged", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Change(20*ms, "z", "b", false).Abandon(30 * ms)
			h.Change(31*ms, "z", "c", false).Acknowledge(40 * ms)
			h.Change(41*ms, "z", "d", true).Acknowledge(50 * ms)
			h.Read(60*ms, 61*ms, emptied)
			h.Read(70*ms, 71*ms, restored)
		}},
		{"given up, and a change that was sent before that is acknowledged", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(30 * ms)
			h.Change(20*ms, "z", "b", false).Acknowledge(25 * ms)
			h.Read(40*ms, 41*ms, emptied)
		}},
		{"repeated with its token", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Change(20*ms, "z", "b", false).Acknowledge(30 * ms)
			h.Change(40*ms, "z", "a", true).Acknowledge(50 * ms)
			h.Read(60*ms, 61*ms, restored)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h DomainHistory
			c.calls(&h)
			if err := h.Check(); (err == nil) != c.linearizable {
				t.Errorf("linearizable: got %v, want %v; error %v", err == nil, c.linearizable, err)
			}
		})
	}
}
