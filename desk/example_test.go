package desk_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dahliaford/desk"
)

// A job whose scheduler does not listen did not run: the caller may hand it in again, and
// is told when.
func ExampleClient_Do() {
	client, err := desk.New(desk.Config{
		Schedulers: []string{"127.0.0.1:1"},
		Tenant:     "sahel",
		Classes: map[string]desk.Class{
			"post-reading": {Deadline: 5 * time.Second, Effect: desk.Once},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	_, err = client.Do(context.Background(), desk.Job{Class: "post-reading", Object: "17", Body: []byte("4211")})
	var refused *desk.Refused
	var unknown *desk.Unknown
	switch {
	case errors.As(err, &refused):
		fmt.Println("not run: hand it in again")
	case errors.As(err, &unknown):
		fmt.Println("it may have run: ask before handing it in again")
	}
	// Output: not run: hand it in again
}

// A configuration file is checked as it is read; a fault names its field.
func ExampleParseConfig() {
	cfg, err := desk.ParseConfig([]byte(`{
		"schedulers": ["127.0.0.1:8443"],
		"classes": {"post-reading": {"deadline_ms": 5000, "effect": "once"}}
	}`))
	fmt.Println(cfg.Schedulers, cfg.Classes["post-reading"].Deadline, err)
	_, err = desk.ParseConfig([]byte(`{"schedulers": ["127.0.0.1:8443"], "classes": {"a": {"effect": "once"}}}`))
	fmt.Println(err)
	// Output:
	// [127.0.0.1:8443] 5s <nil>
	// desk: classes.a: deadline_ms is required
}

// The words for how a job ended are few, and fit for a counter's label.
func ExampleVerdict() {
	fmt.Println(desk.Verdict(nil))
	fmt.Println(desk.Verdict(&desk.Refused{After: time.Now().Add(time.Second)}))
	fmt.Println(desk.Verdict(fmt.Errorf("reading 17: %w", &desk.Unknown{})))
	// Output:
	// served
	// refused
	// unknown
}

// A configuration that makes no sense is refused with the name of the field.
func ExampleNew() {
	_, err := desk.New(desk.Config{Schedulers: []string{"127.0.0.1:8443"},
		Classes: map[string]desk.Class{"post-reading": {Deadline: 5 * time.Second}}})
	fmt.Println(err)
	// Output: desk: classes.post-reading.effect: unknown effect ""
}
