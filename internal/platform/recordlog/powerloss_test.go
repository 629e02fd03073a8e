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

func TestMain(m *testing.M) {
	if err := simulation.PinRapid(1000); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// machine plays random operations on one log file and knows what its disk may hold.
type machine struct {
	disk    *simulation.Disk
	logfile *recordlog.Log
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

func (m *machine) intercept(operation simulation.Operation, _ string) error {
	if m.operations < 0 {
		return nil
	}
	if m.operations > 0 {
		m.operations--
		return nil
	}
	return m.refusal
}

func (m *machine) bodies(rt *rapid.T, most int) (list []string, raw [][]byte) {
	for count := rapid.IntRange(1, most).Draw(rt, "count"); count > 0; count-- {
		m.number++
		body := fmt.Sprintf("%d:%s", m.number, strings.Repeat("x", rapid.SampledFrom([]int{0, 3, 40}).Draw(rt, "length")))
		list = append(list, body)
		raw = append(raw, []byte(body))
	}
	return list, raw
}

func (m *machine) append(rt *rapid.T) {
	list, raw := m.bodies(rt, 4)
	offsets, err := m.logfile.Append(raw...)
	if err != nil {
		m.mustBeTyped(rt, err)
		m.refused = append(m.refused, slices.Concat(m.tail, list))
		return
	}
	m.tail = append(m.tail, list...)
	m.offsets = append(m.offsets, offsets...)
	m.refused = nil
}

func (m *machine) sync(rt *rapid.T) {
	if err := m.logfile.Sync(); err != nil {
		m.mustBeTyped(rt, err)
		m.refused = append(m.refused, m.tail)
		m.offsets = m.offsets[:len(m.acked)]
		m.tail = nil
		return
	}
	m.acked = append(m.acked, m.tail...)
	m.tail, m.refused, m.replacements = nil, nil, nil
}

func (m *machine) rewrite(rt *rapid.T) {
	list, raw := m.bodies(rt, 6)
	offsets, err := m.logfile.Rewrite(recordlog.Records(raw...))
	if err != nil {
		m.mustBeTyped(rt, err)
		m.replacements = append(m.replacements, list)
		return
	}
	m.acked, m.offsets = list, offsets
	m.tail, m.refused, m.replacements = nil, nil, nil
}

// read looks at a record by its offset.
func (m *machine) read(rt *rapid.T) {
	if len(m.acked) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.acked)-1).Draw(rt, "place")
	body, err := m.logfile.ReadAt(m.offsets[i])
	if err != nil || string(body) != m.acked[i] {
		rt.Fatalf("record %d reads %q (%v), not %q", i, body, err, m.acked[i])
	}
}

func (m *machine) mustBeTyped(rt *rapid.T, err error) {
	if !errs.Is(err, recordlog.ErrDisk) {
		rt.Fatalf("not an error of the log: %v", err)
	}
	if errors.Is(err, syscall.ENOSPC) && !errs.Is(err, recordlog.ErrDiskFull) {
		rt.Fatalf("a full disk is not told: %v", err)
	}
}

// open starts a new incarnation and checks what it finds.
func (m *machine) open(rt *rapid.T) {
	m.operations, m.disk.Free = -1, -1
	var found []string
	var offsets []int64
	logfile, err := recordlog.Open(m.disk, "file", func(offset int64, body []byte) error {
		found, offsets = append(found, string(body)), append(offsets, offset)
		return nil
	})
	if err != nil {
		rt.Fatalf("not opened: %v", err)
	}
	if !m.may(found) {
		rt.Fatalf("found %q\nacknowledged %q\ntail %q\nrefused %q\nreplacements %q", found, m.acked, m.tail, m.refused, m.replacements)
	}
	if names := m.disk.Names(); len(names) != 1 {
		rt.Fatalf("files left over: %q", names)
	}
	// What an incarnation has read it acts on: from now on it has to stay.
	m.logfile, m.acked, m.offsets = logfile, found, offsets
	m.tail, m.refused, m.replacements = nil, nil, nil
}

// may tells whether a file may hold this: what was acknowledged and any beginning
// of what followed, or a whole replacement.
func (m *machine) may(found []string) bool {
	for _, candidate := range m.replacements {
		if slices.Equal(found, candidate) {
			return true
		}
	}
	for _, tail := range append(m.refused, m.tail) {
		candidate := slices.Concat(m.acked, tail)
		if len(found) >= len(m.acked) && len(found) <= len(candidate) && slices.Equal(found, candidate[:len(found)]) {
			return true
		}
	}
	return false
}

// At any moment, in the middle of any operation, a process is killed, the machine
// loses power, or the disk refuses: every acknowledged record is there when the
// file is opened again, and a rewrite leaves the old or the new records, never less.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{disk: simulation.NewDisk(rapid.Int64().Draw(rt, "seed")), operations: -1}
		m.disk.Intercept = m.intercept
		m.open(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"append":  m.append,
			"sync":    m.sync,
			"rewrite": m.rewrite,
			"read":    m.read,
			"kill":    m.open,
			"lose power": func(rt *rapid.T) {
				m.disk.PowerLoss()
				m.open(rt)
			},
			"lose power soon": func(rt *rapid.T) {
				m.operations, m.refusal = rapid.IntRange(0, 6).Draw(rt, "operations"), simulation.ErrDown
			},
			"lose power while opening": func(rt *rapid.T) {
				m.operations, m.refusal = rapid.IntRange(0, 4).Draw(rt, "operations"), simulation.ErrDown
				_, _ = recordlog.Open(m.disk, "file", func(int64, []byte) error { return nil })
				m.disk.PowerLoss()
				m.open(rt)
			},
			"fill":        func(rt *rapid.T) { m.disk.Free = rapid.IntRange(0, 200).Draw(rt, "room") },
			"make room":   func(*rapid.T) { m.disk.Free = -1 },
			"disk fails":  func(*rapid.T) { m.operations, m.refusal = 0, syscall.EIO },
			"disk serves": func(*rapid.T) { m.operations = -1 },
		})
	})
}
