package prom_test

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dahliaford/client"
	"dahliaford/client/prom"
)

// This example creates a client whose metrics are registered with Prometheus.
func ExampleNew() {
	observer, err := prom.New(prometheus.NewRegistry())
	if err != nil {
		fmt.Println(err)
		return
	}
	client, err := client.New(client.Config{
		Schedulers: []string{"127.0.0.1:8443"},
		Classes:    map[string]client.Class{"look": {Deadline: time.Second, Effect: client.Safe}},
		Observer:   observer,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	fmt.Println("ready")
	// Output: ready
}
