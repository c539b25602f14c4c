// Package footprinttest measures memory in tests.
package footprinttest

import "runtime"

// LiveHeap returns the size of the live objects on the heap, in bytes.
func LiveHeap() float64 {
	stats := liveStats()
	return float64(stats.HeapAlloc)
}

// LiveHeapAndStacks returns the size of the live objects on the heap and of the stacks of all goroutines, in bytes.
func LiveHeapAndStacks() float64 {
	stats := liveStats()
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// liveStats returns the statistics of the heap without garbage.
func liveStats() *runtime.MemStats {
	runtime.GC()
	// What the first collection has finalised is freed by the second.
	runtime.GC()
	stats := &runtime.MemStats{}
	runtime.ReadMemStats(stats)
	return stats
}
