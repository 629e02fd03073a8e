package recordlog_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

func TestMain(main *testing.M) {
	if err := simulation.PinRapid(1000); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}

// machine plays random operations on one log file and knows what its disk may hold.
type machine struct {
	disk    *simulation.Disk
	logfile *recordlog.Logfile
	number  int
	// acked is what must be there, tail what was appended after it without a sync.
	acked, tail []string
	offsets     []int64
	// refused are tails that were refused and may stand in the file all the same.
	refused [][]string
	// replacements are what refused rewrites may have put in the file's place.
	replacements [][]string
	// operations is how many more operations of the disk are done; below zero all.
	operations int
	refusal    error
}

func (one *machine) intercept(operation simulation.Operation, _ string) error {
	if one.operations < 0 {
		return nil
	}
	if one.operations > 0 {
		one.operations--
		return nil
	}
	return one.refusal
}

func (one *machine) bodies(random *rapid.T, most int) (list []string, raw [][]byte) {
	for count := rapid.IntRange(1, most).Draw(random, "count"); count > 0; count-- {
		one.number++
		body := fmt.Sprintf("%d:%s", one.number, strings.Repeat("x", rapid.SampledFrom([]int{0, 3, 40}).Draw(random, "length")))
		list = append(list, body)
		raw = append(raw, []byte(body))
	}
	return list, raw
}

func (one *machine) append(random *rapid.T) {
	list, raw := one.bodies(random, 4)
	offsets, err := one.logfile.Append(raw...)
	if err != nil {
		one.mustBeTyped(random, err)
		one.refused = append(one.refused, slices.Concat(one.tail, list))
		return
	}
	one.tail = append(one.tail, list...)
	one.offsets = append(one.offsets, offsets...)
	one.refused = nil
}

func (one *machine) sync(random *rapid.T) {
	if err := one.logfile.Sync(); err != nil {
		one.mustBeTyped(random, err)
		one.refused = append(one.refused, one.tail)
		one.offsets = one.offsets[:len(one.acked)]
		one.tail = nil
		return
	}
	one.acked = append(one.acked, one.tail...)
	one.tail, one.refused, one.replacements = nil, nil, nil
}

func (one *machine) rewrite(random *rapid.T) {
	list, raw := one.bodies(random, 6)
	offsets, err := one.logfile.Rewrite(recordlog.Once(raw...))
	if err != nil {
		one.mustBeTyped(random, err)
		one.replacements = append(one.replacements, list)
		return
	}
	one.acked, one.offsets = list, offsets
	one.tail, one.refused, one.replacements = nil, nil, nil
}

// read looks at a record by its offset.
func (one *machine) read(random *rapid.T) {
	if len(one.acked) == 0 {
		return
	}
	place := rapid.IntRange(0, len(one.acked)-1).Draw(random, "place")
	body, err := one.logfile.ReadAt(one.offsets[place])
	if err != nil || string(body) != one.acked[place] {
		random.Fatalf("record %d reads %q (%v), not %q", place, body, err, one.acked[place])
	}
}

func (one *machine) mustBeTyped(random *rapid.T, err error) {
	if !errs.Of(err, recordlog.Broken) {
		random.Fatalf("not an error of the log: %v", err)
	}
	if errors.Is(err, syscall.ENOSPC) && !errs.Of(err, recordlog.Full) {
		random.Fatalf("a full disk is not told: %v", err)
	}
}

// open starts a new life and checks what it finds.
func (one *machine) open(random *rapid.T) {
	one.operations, one.disk.Room = -1, -1
	var found []string
	var offsets []int64
	logfile, err := recordlog.Open(one.disk, "file", func(offset int64, body []byte) error {
		found, offsets = append(found, string(body)), append(offsets, offset)
		return nil
	})
	if err != nil {
		random.Fatalf("not opened: %v", err)
	}
	if !one.may(found) {
		random.Fatalf("found %q\nacknowledged %q\ntail %q\nrefused %q\nreplacements %q", found, one.acked, one.tail, one.refused, one.replacements)
	}
	if names := one.disk.Names(); len(names) != 1 {
		random.Fatalf("files left over: %q", names)
	}
	// What a life has read it acts on: from now on it has to stay.
	one.logfile, one.acked, one.offsets = logfile, found, offsets
	one.tail, one.refused, one.replacements = nil, nil, nil
}

// may tells whether a file may hold this: what was acknowledged and any beginning
// of what followed, or a whole replacement.
func (one *machine) may(found []string) bool {
	for _, whole := range one.replacements {
		if slices.Equal(found, whole) {
			return true
		}
	}
	for _, tail := range append(one.refused, one.tail) {
		whole := slices.Concat(one.acked, tail)
		if len(found) >= len(one.acked) && len(found) <= len(whole) && slices.Equal(found, whole[:len(found)]) {
			return true
		}
	}
	return false
}

// At any moment, in the middle of any operation, a process is killed, the machine
// loses power, or the disk refuses: every acknowledged record is there when the
// file is opened again, and a rewrite leaves the old or the new records, never less.
func TestNothingAcknowledgedIsLost(test *testing.T) {
	rapid.Check(test, func(random *rapid.T) {
		one := &machine{disk: simulation.NewDisk(rapid.Int64().Draw(random, "seed")), operations: -1}
		one.disk.Intercept = one.intercept
		one.open(random)
		random.Repeat(map[string]func(*rapid.T){
			"append":  one.append,
			"sync":    one.sync,
			"rewrite": one.rewrite,
			"read":    one.read,
			"kill":    one.open,
			"lose power": func(random *rapid.T) {
				one.disk.PowerLoss()
				one.open(random)
			},
			"lose power soon": func(random *rapid.T) {
				one.operations, one.refusal = rapid.IntRange(0, 6).Draw(random, "operations"), simulation.ErrDown
			},
			"lose power while opening": func(random *rapid.T) {
				one.operations, one.refusal = rapid.IntRange(0, 4).Draw(random, "operations"), simulation.ErrDown
				_, _ = recordlog.Open(one.disk, "file", func(int64, []byte) error { return nil })
				one.disk.PowerLoss()
				one.open(random)
			},
			"fill":        func(random *rapid.T) { one.disk.Room = rapid.IntRange(0, 200).Draw(random, "room") },
			"make room":   func(*rapid.T) { one.disk.Room = -1 },
			"disk fails":  func(*rapid.T) { one.operations, one.refusal = 0, syscall.EIO },
			"disk serves": func(*rapid.T) { one.operations = -1 },
		})
	})
}
