// Command standin plays one case of the review: it starts redwing-node processes against stand-ins of the platform, the workers and
// the clients, and judges what the stand-ins have seen. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// cases maps the name of each case to the function that plays it and returns the rule's breaks.
var cases = map[string]func(s *System, trouble bool) []string{
	"hopeless-gang":    hopelessGang,
	"drain-and-outage": drainAndOutage,
	"late-heartbeat":   lateHeartbeat,
	"many-ends":        manyEnds,
	"dropped-route":    droppedRoute,
	"public-route":     publicRoute,
	"long-job":         longJob,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		return 2
	}
	var system *System
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Println("not run:", cause)
			code = 2
		}
		if system != nil {
			system.close()
		}
	}()
	record := newRecord(os.Args[2])
	system = newSystem(record)
	result := make(chan []string, 1)
	failure := make(chan any, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				failure <- cause
			}
		}()
		result <- cases[os.Args[1]](system, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case broken := <-result:
		for _, b := range broken {
			record.log("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		if len(broken) > 0 {
			return 1
		}
		record.log("the rule held")
		fmt.Println("the rule held")
		return 0
	case cause := <-failure:
		record.log("not run: %v", cause)
		fmt.Println("not run:", cause)
	case <-time.After(limit):
		record.log("not run: out of time")
		fmt.Println("not run: out of time")
	}
	return 2
}
