package daemon

import (
	"context"
	"errors"
	"net/http"

	"github.com/gravitational/trace"
)

// Reload applies a configuration that was read again. The retry and quarantine limits take
// effect at once, in a planned stop, too; other changes need a restart. So a reload neither moves the
// bounds of a stop nor reopens what it closed. A configuration with an error changes nothing.
func (n *Node) Reload(cfg NodeConfig, err error) {
	if err != nil {
		n.log.Error(err, "configuration rejected; the previous one stays in force")
		return
	}
	n.retrySettings.Store(&cfg.Retries)
	n.updateRetryLimits(n.mesh.listedCount())
	n.quarantine.SetLimits(cfg.Quarantine.limits())
	n.log.Info("reload", "retry_ratio", cfg.Retries.Ratio, "retry_slack", cfg.Retries.Slack)
}

// Run serves until ctx ends and then makes a planned stop.
func (n *Node) Run(ctx context.Context) error {
	n.startTasks()
	failed := make(chan error, 3)
	for _, serve := range []func() error{
		func() error { return n.idle.serve(n.callerServer.server, n.callerServer.listener) }, n.readinessServer.serve, n.operatorServer.serve,
	} {
		n.done.Go(func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	n.log.Info("start", "instance", n.cfg.Instance, "failure_domain", n.cfg.FailureDomain, "callers", n.cfg.Callers, "store", n.cfg.ObjectStore)
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
	}
	n.Kill()
	n.done.Wait()
	n.log.Info("stop", "requests", n.vars.Get("requests"))
	return trace.Wrap(err)
}

// Kill stops at once and closes all connections, as a crash would.
func (n *Node) Kill() {
	n.stop()
	for _, s := range []*nodeServer{n.callerServer, n.readinessServer, n.operatorServer} {
		if s != nil {
			s.server.Close()
			s.listener.Close()
		}
	}
	n.engine.Close()
	n.control.Close()
	n.mesh.close()
	n.handovers.close()
	n.relays.close()
}
