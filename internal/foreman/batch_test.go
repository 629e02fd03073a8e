package foreman

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
)

// A fleet whose workers all start at once is told a few times; a drain leaves at once
// and takes along what waits; nothing is told twice or never.
func TestChangesGoTogetherAndDrainsAtOnce(test *testing.T) {
	told := make(chan []pattern.Worker, 1000)
	release := make(chan struct{})
	var windows []func()
	one := &batches{spread: func(workers []pattern.Worker) {
		told <- workers
		<-release
	}, later: func(function func()) { windows = append(windows, function) }}
	for place := 0; place < 300; place++ {
		one.add(pattern.Worker{ID: fmt.Sprint("w", place)}, false)
	}
	select {
	case early := <-told:
		test.Fatalf("%d left before their window", len(early))
	default:
	}
	done := one.add(pattern.Worker{ID: "d0", Phase: pattern.PhaseDraining}, true)
	if first := <-told; len(first) != 301 || first[300].ID != "d0" {
		test.Fatalf("%d left with the drain", len(first))
	}
	select {
	case <-done:
		test.Fatal("done before the fleet was told")
	default:
	}
	if windows[0](); len(windows) != 1 || len(told) != 0 {
		test.Fatal("the window sent what had left")
	}
	// As many batches as may be under way leave; the rest go together after one of them.
	for place := 1; place < almanac.BatchesAtOnce; place++ {
		one.add(pattern.Worker{ID: fmt.Sprint("d", place)}, true)
		if alone := <-told; len(alone) != 1 {
			test.Fatal(alone)
		}
	}
	var group sync.WaitGroup
	for place := 0; place < 50; place++ {
		waits := one.add(pattern.Worker{ID: fmt.Sprint("e", place)}, true)
		group.Add(1)
		go func() {
			defer group.Done()
			<-waits
		}()
	}
	close(release)
	count := 0
	for count < 50 {
		count += len(<-told)
	}
	group.Wait()
	<-done
	if count != 50 {
		test.Fatal(count)
	}
	// What does not bind leaves once its window is over.
	one.add(pattern.Worker{ID: "f0"}, false)
	one.add(pattern.Worker{ID: "f1"}, false)
	windows[len(windows)-1]()
	if last := <-told; len(last) != 2 {
		test.Fatal(last)
	}
}
