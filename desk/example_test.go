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
