package request_test

import (
	"crypto/sha256"
	"fmt"

	"github.com/redwingthread/redwingthread/request"
)

// Only the first request with a key may be dispatched. A repeat joins the running request or gets the stored result.
func ExampleTable() {
	owner := request.Owner{FailureDomain: "fd-a", VM: "entry-1", Incarnation: "1"}
	secret := []byte("use 32 random bytes here") // crypto/rand.Read in a program
	table := request.NewTable(owner, secret, request.DefaultLimits())
	key := table.Issue("orders")
	order := request.Fingerprint{Method: "POST", Path: "orders/oak", BodyDigest: sha256.Sum256([]byte("40 bags"))}

	first, _, err := table.Begin("orders", key, order)
	fmt.Println("run:", first.Action == request.Run, err)
	repeat, _, _ := table.Begin("orders", key, order)
	fmt.Println("join:", repeat.Action == request.Join)

	first.Attempts.Dispatch() // right before the first byte is written to the endpoint
	table.Finish(key.Sequence, request.Result{
		Outcome:  request.Completed,
		Response: &request.Response{Status: 201, Body: []byte("order 17")},
	})
	late, _, _ := table.Begin("orders", key, order)
	fmt.Println("replay:", late.Action == request.Replay, string(late.Result.Response.Body))

	order.BodyDigest = sha256.Sum256([]byte("50 bags"))
	_, outcome, err := table.Begin("orders", key, order)
	fmt.Println(outcome, "-", err)
	// Output:
	// run: true <nil>
	// join: true
	// replay: true order 17
	// unknown - request key was used with another method, path or body; send each request under a key of its own
}
