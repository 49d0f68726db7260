// Signal handling and shutdown of a daemon.

package daemon

import (
	"context"
	"net/http"
	"os"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// Wait handles signals and changes of the settings until the state machine has stopped, and returns the exit code. It
// calls setSeeds with changed seeds on the loop's goroutine.
func (p *Process) Wait(ctx context.Context, setSeeds func([]string)) int {
	p.HandleSignals(ctx)
	p.WatchSettings(ctx, func(seeds []string) { p.Loop.Inspect(func(time.Duration) { setSeeds(seeds) }) })
	p.Log.WithField("settings", p.Settings).Info("started")
	return <-p.exitCode
}

// HandleSignals starts the handling of SIGTERM and SIGINT, which ends with the context. The first signal stops the
// state machine, the second one ends the process at once.
func (p *Process) HandleSignals(ctx context.Context) {
	go func() {
		select {
		case <-p.stopSignals:
		case <-ctx.Done():
			return
		}
		p.Loop.Post(statemachine.Stop{})
		select {
		case <-p.stopSignals:
		case <-ctx.Done():
			return
		}
		p.Log.Warn("second stop signal, exiting at once")
		os.Exit(exitFailed)
	}()
}

// shutDownAPI shuts down the HTTP API: it accepts no more calls and writes the responses to calls in progress, within
// tuning.ShutdownWriteTimeout. Connections may still be closing when it returns.
func (p *Process) shutDownAPI(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ShutdownWriteTimeout)
	defer cancel()
	p.closing.Stop()
	if err := server.Shutdown(ctx); err != nil {
		p.Log.WithError(err).Warn("HTTP API closed with calls in progress")
		server.Close()
	}
}

// awaitUntil waits until a condition holds or the deadline has passed, and reports whether the condition holds.
func (p *Process) awaitUntil(deadline time.Duration, condition func() bool) bool {
	poll := time.NewTicker(tuning.ShutdownPoll)
	defer poll.Stop()
	for ; !condition(); <-poll.C {
		if p.Now() > deadline {
			return false
		}
	}
	return true
}

// awaitClosed waits until the connections of the HTTP servers are closed and their peers have the responses. It returns
// false if some are not at the deadline.
func (p *Process) awaitClosed(deadline time.Duration) bool {
	return p.awaitUntil(deadline, func() bool { return p.closing.Closing() == 0 })
}
