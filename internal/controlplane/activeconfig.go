package controlplane

import (
	"bytes"
	"fmt"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
)

// checkedConfig caches the last configuration document that passed validation together with its parsed form, so that it
// is not parsed again when it is committed.
type checkedConfig struct {
	document []byte
	config   *config.Config
}

// activateConfig applies the committed configuration, with its outlier policies, unless it is already active. Only valid
// configurations are proposed, so one that does not parse is corrupt: this member reports it and abstains (see
// undecodable.go).
func (c *Controller) activateConfig() {
	if c.activeRevision == c.state.Revision && c.activeRevision != 0 {
		return
	}
	parsed := c.lastCheckedConfig.config
	if parsed == nil || !bytes.Equal(c.lastCheckedConfig.document, c.state.Document) {
		var err error
		if parsed, _, err = outlier.ParseConfig(c.state.Document); err != nil {
			c.abstainAfterDecodeError(fmt.Sprintf("configuration of revision %d", c.state.Revision), err)
			if c.activeConfig == nil {
				c.activeConfig = &config.Config{} // placeholder until the end of this step, when leadership is revoked
			}
			return
		}
	}
	c.activeConfig = parsed
	c.detector.Replace(parsed)
	c.activeRevision = c.state.Revision
}
