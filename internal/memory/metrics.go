package memory

import "github.com/VictoriaMetrics/metrics"

var (
	arrivingBytes = metrics.NewCounter("jayford_memory_arriving_bytes")
	servingBytes  = metrics.NewCounter("jayford_memory_serving_bytes")
)
