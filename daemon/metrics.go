package daemon

import (
	"expvar"
	"strconv"
)

// encodeMetrics returns the metrics as a JSON object. expvar.Map.String would hold the map's lock while
// it calls the functions among them: a task that counts something for the first time under a lock that
// such a function needs would wait for it, and it for the task.
func encodeMetrics(vars *expvar.Map) []byte {
	var metrics []expvar.KeyValue
	vars.Do(func(kv expvar.KeyValue) { metrics = append(metrics, kv) })
	out := []byte{'{'}
	for i, kv := range metrics {
		if i > 0 {
			out = append(out, ", "...)
		}
		out = strconv.AppendQuote(out, kv.Key)
		out = append(out, ": "...)
		out = append(out, kv.Value.String()...)
	}
	return append(out, '}')
}
