package main

import (
	"flag"
	"fmt"

	"github.com/redwingthread/redwingthread/operatorclient"
)

func requestCommands() []command {
	return []command{
		{
			name: "request", arguments: "METHOD SERVICE/PATH",
			summary: "Sends a request to a service; needs a caller address as -addr and the token of an account",
			examples: []string{
				"request GET orders/stock/oak -addr 10.0.1.11:8080 -token-file orders.token",
				`request POST orders/order/17 -key KEY -data '{"bags":40}' -addr 10.0.1.12:8080 -token-file orders.token`,
			},
			setup: request,
		},
		{
			name: "request-key", summary: "Gets a request key for one non-idempotent request",
			examples: []string{"request-key -addr 10.0.1.11:8080 -token-file orders.token"},
			setup:    requestKey,
		},
	}
}

// callerClient returns a client of the caller API at the address of the flag -addr.
func (inv *invocation) callerClient() (*operatorclient.CallerClient, error) {
	token, err := inv.token()
	if err != nil {
		return nil, err
	}
	return operatorclient.NewCallerClient(inv.options.address, token, inv.options.timeout), nil
}

func request(f *flag.FlagSet) func(*invocation) error {
	var r operatorclient.ServiceRequest
	data := f.String("data", "", "request `body`")
	f.StringVar(&r.Key, "key", "", "request `key` from redwingctl request-key")
	f.Int64Var(&r.TimeoutMS, "deadline-ms", 0, "timeout in milliseconds (default: that of the service)")
	f.BoolVar(&r.Idempotent, "idempotent", false, "declare that a POST or PATCH may run more than once")
	return func(inv *invocation) error {
		if err := inv.checkArgs("METHOD", "SERVICE/PATH"); err != nil {
			return err
		}
		r.Method, r.Target, r.Body = inv.args[0], inv.args[1], []byte(*data)
		callerClient, err := inv.callerClient()
		if err != nil {
			return err
		}
		response, err := callerClient.Send(inv.ctx, r)
		if printErr := inv.print(response, func() { inv.response(response) }); printErr != nil {
			return printErr
		}
		return err
	}
}

// response writes the response to a request as text.
func (inv *invocation) response(r operatorclient.ServiceResponse) {
	status := ""
	if r.Status != 0 {
		status = fmt.Sprint(r.Status)
	}
	inv.fields([2]string{"outcome", r.Outcome}, [2]string{"status", status}, [2]string{"request", r.RequestID},
		[2]string{"key", r.Key}, [2]string{"body", r.Body})
}

func requestKey(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		if err := inv.checkArgs(); err != nil {
			return err
		}
		callerClient, err := inv.callerClient()
		if err != nil {
			return err
		}
		key, err := callerClient.NewKey(inv.ctx)
		if err != nil {
			return err
		}
		return inv.print(struct {
			Key string `json:"key"`
		}{key}, func() { fmt.Fprintln(inv.stdout, key) })
	}
}
