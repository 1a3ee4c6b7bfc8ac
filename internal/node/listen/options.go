package listen

import (
	"crypto/tls"
	"log"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// Option configures a Server.
type Option func(*Server)

// WithMaxConnections bounds the number of open connections.
func WithMaxConnections(n int) Option { return func(s *Server) { s.maxConnections = n } }

// WithReceiveBuffer bounds the bytes of each connection that the kernel holds until they are read.
func WithReceiveBuffer(bytes int) Option { return func(s *Server) { s.receiveBuffer = bytes } }

// WithLimits sets the function that returns the current limits.
func WithLimits(current func() Limits) Option { return func(s *Server) { s.current = current } }

// WithAccounts opens an account at a memory budget for each connection.
func WithAccounts(open Accounts) Option { return func(s *Server) { s.open = open } }

// WithChargedBodies charges bodies to the accounts while handlers read them, for handlers that do not charge what they
// read themselves. A body for which there is no room gets 503, and an evicted one 408, whatever status the handler sets.
func WithChargedBodies() Option { return func(s *Server) { s.chargesBodies = true } }

// WithTLS serves TLS.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.secure = c } }

// WithLog sets the logger for limits that are reached.
func WithLog(l hclog.Logger) Option { return func(s *Server) { s.log = l } }

// WithErrorLog sets the logger of net/http.
func WithErrorLog(l *log.Logger) Option { return func(s *Server) { s.http.ErrorLog = l } }

// WithMetrics sets the scope of the counters.
func WithMetrics(scope tally.Scope) Option { return func(s *Server) { s.metrics = scope } }
