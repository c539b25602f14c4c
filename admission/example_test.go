package admission_test

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/admission"
)

// Accounts with waiting requests are served in proportion to their weights, regardless of the order of arrival.
func ExampleQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	weights := map[string]int{"orders": 2, "scan": 1}
	queue := admission.NewQueue[int](admission.DefaultLimits(), func(account string) int { return weights[account] })

	offer := func(account string, count int) {
		for i := range count {
			item := &admission.Item[int]{Account: account, Deadline: now.Add(time.Minute), Value: i}
			if _, err := queue.Offer(item, now); err != nil {
				fmt.Println("refused:", err)
			}
		}
	}
	offer("scan", 4)
	offer("orders", 4)

	anySlot := func(*admission.Item[int]) bool { return true }
	for range 6 {
		item, _ := queue.Next(now, anySlot)
		fmt.Println(item.Account, item.Value)
		queue.Served(20 * time.Millisecond)
	}
	fmt.Println(queue.Len(), "wait")
	// Output:
	// orders 0
	// scan 0
	// orders 1
	// orders 2
	// scan 1
	// orders 3
	// 2 wait
}
