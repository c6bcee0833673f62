package main

import "time"

const (
	modelName    = "daka510000"
	retiredModel = "rada7437b5"
	newModel     = "ravo486f6a"

	cacheTokens  = 145419
	engineSlots  = 12
	engineMemory = 200000.0
	streamTime   = 7 * time.Second
	// streamTimeout is the time-out of the route and of its clients.
	streamTimeout = 25 * time.Second
)

// modelSizes are the sizes of the models in MB.
var modelSizes = map[string]float64{
	modelName:    65100,
	retiredModel: 72700,
	newModel:     72700,
}

// modelConfiguration is that of a deployment whose route of streams leads to one of its services.
func modelConfiguration(version int, service string, models []string, services ...string) map[string]any {
	result := plainConfiguration(version)
	result["routes"] = []map[string]any{{
		"name": "r-brief", "host": routeHost, "prefix": unsafeRoute, "route_kind": "stream", "timeout_ms": streamTimeout.Milliseconds(),
		"target_latency_ms": 6000, "priority": 2, "service": service, "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 300,
	}}
	var declared []map[string]any
	for _, name := range models {
		declared = append(declared, map[string]any{
			"name": name, "weights_mb": modelSizes[name], "load_s": 7.8, "adapters": 0, "adapter_mb": 12.0, "warm_s": 1.2, "disk_s": 1.6,
		})
	}
	var listed []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kv_capacity_tokens": cacheTokens, "kv_token_bytes": 163840, "link_mbps": 550000.0, "stride": 2, "max_count": 12,
				"host_mb": 130000.0, "disk_mb": 390000.0, "weights_mb": engineMemory, "adapter_slots": 8, "loads_per_s": 1.4, "models": declared,
			},
		})
	}
	result["services"] = listed
	return result
}

// startEngine starts a server of a service with models.
func (f *fleet) startEngine(service, id string, loaded *engine) *server {
	started := startServer(f.store, &f.runs, f.record, service, id, streamTime)
	started.engine, started.slots = loaded, engineSlots
	started.register("ready", nil)
	f.servers = append(f.servers, started)
	return started
}
