package assembly

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jasminecove/jasminecove/internal/pipeline/driver"
	"github.com/jasminecove/jasminecove/internal/pipeline/session"
)

// driverHooks returns hooks that record traces, metrics and logs of pipelines.
func (n *Node) driverHooks() driver.Hooks {
	log := n.tel.Log.Named("pipeline")
	lost := n.tel.Metrics.Counter("replicas_lost")
	recovered := n.tel.Metrics.Timer("recovery_duration")
	return driver.Hooks{
		Hop: n.traceHop,
		Lost: func(replica, reason string) {
			lost.Inc(1)
			log.Debug("replica abandoned", "replica", replica, "reason", reason)
		},
		Recovered: func(took time.Duration) {
			recovered.Record(took)
			n.recoveries.Record(took)
		},
	}
}

// traceHop records a span for a hop if the request is traced.
func (n *Node) traceHop(ctx context.Context, hop session.Hop, position uint32, began time.Time, took time.Duration) {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return
	}
	_, span := n.tel.Tracer.Start(ctx, "hop", trace.WithTimestamp(began), trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("replica", hop.Replica),
			attribute.Int("layer.from", int(hop.LayerFrom)), attribute.Int("layer.to", int(hop.LayerTo)),
			attribute.Int("position", int(position))))
	span.End(trace.WithTimestamp(began.Add(took)))
}
