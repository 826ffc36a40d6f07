package main

// service is the name of the service of model workers, plainService that of the other one.
const (
	service      = "annotateur"
	plainService = "rendu"
	model        = "m0"
	otherModel   = "m1"
)

// route returns a route of the configuration.
func route(prefix, kind, service string, timeoutMS, aimMS, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r-" + prefix, "host": host, "pathPrefix": "/" + prefix + "/", "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": aimMS,
		"priority": 1, "service": service, "maxAttempts": attempts, "resumable": resumable, "gapAimMs": 400, "sticky": service == "annotateur",
	}
}

// configure writes the operator's configuration: the routes and services of sites/rcgm-liege.toml.
func configure(s *store, version int) { configureModels(s, version, []string{model, otherModel}) }

// configureModels is configure with other models.
func configureModels(s *store, version int, names []string) {
	models := []map[string]any{}
	for _, name := range names {
		models = append(models, map[string]any{"name": name, "weightsMb": 72700.0, "loadS": 8.6, "warmS": 0.81, "diskS": 1.7, "adapters": 0, "adapterMb": 66.0})
	}
	s.write("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("fingering", "streaming", service, 5000, 800, 1, false), route("bowing", "streaming", service, 15000, 6000, 2, true),
			route("preview", "unsafe", plainService, 2000, 300, 1, false), route("thumb", "safe", plainService, 2000, 300, 2, false),
		},
		"services": []map[string]any{
			{"name": service, "healthCheck": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kvCapacity": 119473, "models": models, "weightsMb": 220000.0, "adapterSlots": 5, "loadsPerS": 2.1, "stride": 2,
			}},
			{"name": plainService, "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
