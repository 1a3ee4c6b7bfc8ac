package router

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/node/listen"
)

// Names of listeners.
const (
	callersListener = "callers"
	controlListener = "control"
)

func (r *Router) listen(name, address string, handler http.Handler, opts ...listen.Option) error {
	limits := func() listen.Limits { return listen.Limits{MaxHeaderBytes: maxControlHeaderBytes} }
	switch name {
	case callersListener:
		opts = append(opts, listen.WithBudget(r.inbound))
		limits = r.callerLimits
	case controlListener:
		opts = append(opts, listen.WithBudget(r.control))
	}
	log := r.log.Logger().Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	opts = append(opts, listen.WithLimits(limits), listen.WithLog(r.log.Logger()), listen.WithErrorLog(log), listen.WithMetrics(r.tel.Metrics))
	server, err := listen.Open(address, name, crash.Handler("listener of "+address, handler), opts...)
	if err != nil {
		return err
	}
	if name == callersListener {
		r.callers = server
	}
	r.servers = append(r.servers, server)
	r.task("listener of "+address, func() { _ = server.Serve() }) // Returns ErrServerClosed after Stop.
	return nil
}

// callerLimits returns the limits of the tables in force on what callers send before a request is handled.
func (r *Router) callerLimits() listen.Limits {
	limits := listen.Limits{MaxHeaderBytes: maxHeaderBytes}
	index := r.catalog.Tables()
	if index == nil {
		return limits
	}
	c := index.Document().Callers
	if c.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = c.MaxHeaderBytes
	}
	limits.HeaderTimeout, limits.IdleTimeout = c.HeaderTimeout.Std(), c.IdleTimeout.Std()
	return limits
}
