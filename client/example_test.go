package client_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dahliaford/client"
)

// If the only scheduler refuses connections, the job did not run. The caller may submit the job again, and
// the error contains the earliest time for that.
func ExampleClient_Do() {
	c, err := client.New(client.Config{
		Schedulers: []string{"127.0.0.1:1"},
		Tenant:     "sahel",
		Classes: map[string]client.Class{
			"post-reading": {Deadline: 5 * time.Second, Effect: client.Once},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	_, err = c.Do(context.Background(), client.Job{Class: "post-reading", Object: "17", Body: []byte("4211")})
	var refused *client.RefusedError
	var unknown *client.UnknownOutcomeError
	switch {
	case errors.As(err, &refused):
		fmt.Println("not run: submit it again")
	case errors.As(err, &unknown):
		fmt.Println("it may have run: find out before submitting it again")
	}
	// Output: not run: submit it again
}

// ParseConfig validates a configuration file. Its error names the invalid field.
func ExampleParseConfig() {
	cfg, err := client.ParseConfig([]byte(`{
		"schedulers": ["127.0.0.1:8443"],
		"classes": {"post-reading": {"deadline_ms": 5000, "effect": "once"}}
	}`))
	fmt.Println(cfg.Schedulers, cfg.Classes["post-reading"].Deadline, err)
	_, err = client.ParseConfig([]byte(
		`{"schedulers": ["127.0.0.1:8443"], "classes": {"a": {"effect": "once"}}}`))
	fmt.Println(err)
	// Output:
	// [127.0.0.1:8443] 5s <nil>
	// client: classes.a: deadline_ms is required
}

// Verdict returns one of a few fixed names, which are suitable as values of a metric label.
func ExampleVerdict() {
	fmt.Println(client.Verdict(nil))
	fmt.Println(client.Verdict(&client.RefusedError{RetryAfter: time.Now().Add(time.Second)}))
	fmt.Println(client.Verdict(fmt.Errorf("submitting job 17: %w", &client.UnknownOutcomeError{})))
	// Output:
	// served
	// refused
	// unknown
}

// New rejects an invalid configuration with an error that names the invalid field.
func ExampleNew() {
	_, err := client.New(client.Config{Schedulers: []string{"127.0.0.1:8443"},
		Classes: map[string]client.Class{"post-reading": {Deadline: 5 * time.Second}}})
	fmt.Println(err)
	// Output: client: classes.post-reading.effect: unknown effect ""
}
