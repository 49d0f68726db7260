package controlplane

import (
	"bytes"
	"fmt"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
)

// checkedConfig is the configuration that was last found valid, so that it need not be parsed again once it is committed.
type checkedConfig struct {
	document []byte
	config   *config.Config
}

// activateConfig applies the committed configuration, with its outlier policies, if it isn't active yet. One that does
// not parse is damage, since only valid ones are proposed: this member then abstains.
func (c *Controller) activateConfig() {
	if c.activeRevision == c.state.Revision && c.activeRevision != 0 {
		return
	}
	parsed := c.lastCheckedConfig.config
	if parsed == nil || !bytes.Equal(c.lastCheckedConfig.document, c.state.Document) {
		var err error
		if parsed, _, err = outlier.ParseConfig(c.state.Document); err != nil {
			c.cannotDecode(fmt.Sprintf("configuration %d", c.state.Revision), err)
			if c.activeConfig == nil {
				c.activeConfig = &config.Config{} // for the rest of this step, at whose end leadership is revoked
			}
			return
		}
	}
	c.activeConfig = parsed
	c.detector.Replace(parsed)
	c.activeRevision = c.state.Revision
}
