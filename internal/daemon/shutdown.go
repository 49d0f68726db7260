// This file is the signals that a daemon gets while it runs, and the end of its process.

package daemon

import (
	"context"
	"net/http"
	"os"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// Wait handles signals and changes of the settings until the state machine is done, and returns the exit code.
// setSeeds takes new seeds, on the loop's goroutine.
func (p *Process) Wait(ctx context.Context, setSeeds func([]string)) int {
	p.HandleSignals(ctx)
	p.WatchSettings(ctx, func(seeds []string) { p.Loop.Inspect(func(time.Duration) { setSeeds(seeds) }) })
	p.Log.WithField("settings", p.Settings).Info("started")
	return <-p.exitCode
}

// HandleSignals has the first SIGTERM or SIGINT stop the state machine, and a second one end the process, until the
// context ends.
func (p *Process) HandleSignals(ctx context.Context) {
	go func() {
		select {
		case <-p.stops:
		case <-ctx.Done():
			return
		}
		p.Loop.Post(statemachine.Stop{})
		select {
		case <-p.stops:
		case <-ctx.Done():
			return
		}
		p.Log.Warn("second stop signal; process ends at once")
		os.Exit(exitFailed)
	}()
}

// shutDownAPI ends the HTTP API: it accepts no more calls, and the responses that the state machine has given are
// written.
func (p *Process) shutDownAPI(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ShutdownWriteTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.Log.WithError(err).Warn("HTTP API closed with calls unanswered")
		server.Close()
	}
}
