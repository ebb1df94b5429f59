package main

// class returns the settings of a class of jobs; times are in microseconds.
func class(name, effect, scope string, aim, deadline, window int) map[string]any {
	return map[string]any{"name": name, "slo": aim, "deadline": deadline, "worth": 2, "late_worth": 0.5,
		"semantics": effect, "dedup_scope": scope, "memory_span": window}
}

// config returns the configuration of a scheduler. The settings are those of a small deployment.
func config(name, listen, discoveryAddr string, index, schedulers int, classes ...map[string]any,
) map[string]any {
	stretch, kinds := []float64{}, []int{}
	for range classes {
		stretch, kinds = append(stretch, 2), append(kinds, -1)
	}
	return map[string]any{
		"name": name, "listen": listen, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640},
		"known":  message{Revision: 0, All: true, Targets: []target{}},
		"settings": map[string]any{
			"me": index, "balancers": schedulers, "locality": 0, "azs": []string{"north"},
			"kinds": []string{"m1"}, "granularity": 2000, "discovery": "on_request",
			"worth_by": "request", "over_share_worth": 0.2, "grades": classes,
			"customers":   []map[string]any{{"name": "sahel", "quota_per_s": 0}},
			"clients":     map[string]any{"marks_retry": true},
			"family":      "jobs",
			"family_info": map[string]any{"class_kind": kinds, "class_stretch": stretch, "tells_start": true},
			"guarantees": map[string]any{"answer_slack": 8000, "ask_within": 10000000, "cold": 8300000,
				"cold_from": 0.3, "drain_grace": 500000, "fall": 2000000, "overload_factor": 4},
			"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle": 60000000,
				"connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true,
				"may_duplicate": false, "peers": false, "probes": false, "streams_per_conn": 1},
			"prices": map[string]any{"cross_zone": 0},
			"report": map[string]any{"how": "off", "fields": []string{}},
		},
	}
}
