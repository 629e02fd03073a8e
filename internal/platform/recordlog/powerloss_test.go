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

// model runs random operations on one log file and tracks what its disk may contain.
type model struct {
	disk       *simulation.Disk
	logfile    *recordlog.Log
	lastNumber int
	// acked lists the records that must be present, tail those appended after them without a sync.
	acked, tail []string
	offsets     []int64
	// rejectedTails are tails whose operation failed; they may be in the file nevertheless.
	rejectedTails [][]string
	// replacements are the contents of failed rewrites; each may have replaced the file.
	replacements [][]string
	// operationsLeft is how many more disk operations succeed before they return failure; below zero
	// all succeed.
	operationsLeft int
	failure        error
}

func (m *model) intercept(operation simulation.Operation, _ string) error {
	if m.operationsLeft < 0 {
		return nil
	}
	if m.operationsLeft > 0 {
		m.operationsLeft--
		return nil
	}
	return m.failure
}

func (m *model) bodies(rt *rapid.T, most int) (list []string, raw [][]byte) {
	for count := rapid.IntRange(1, most).Draw(rt, "count"); count > 0; count-- {
		m.lastNumber++
		body := fmt.Sprintf("%d:%s", m.lastNumber, strings.Repeat("x", rapid.SampledFrom([]int{0, 3, 40}).Draw(rt, "length")))
		list = append(list, body)
		raw = append(raw, []byte(body))
	}
	return list, raw
}

func (m *model) append(rt *rapid.T) {
	list, raw := m.bodies(rt, 4)
	offsets, err := m.logfile.Append(raw...)
	if err != nil {
		m.requireDiskError(rt, err)
		m.rejectedTails = append(m.rejectedTails, slices.Concat(m.tail, list))
		return
	}
	m.tail = append(m.tail, list...)
	m.offsets = append(m.offsets, offsets...)
	m.rejectedTails = nil
}

func (m *model) sync(rt *rapid.T) {
	if err := m.logfile.Sync(); err != nil {
		m.requireDiskError(rt, err)
		m.rejectedTails = append(m.rejectedTails, m.tail)
		m.offsets = m.offsets[:len(m.acked)]
		m.tail = nil
		return
	}
	m.acked = append(m.acked, m.tail...)
	m.tail, m.rejectedTails, m.replacements = nil, nil, nil
}

func (m *model) rewrite(rt *rapid.T) {
	list, raw := m.bodies(rt, 6)
	offsets, err := m.logfile.Rewrite(recordlog.Records(raw...))
	if err != nil {
		m.requireDiskError(rt, err)
		m.replacements = append(m.replacements, list)
		return
	}
	m.acked, m.offsets = list, offsets
	m.tail, m.rejectedTails, m.replacements = nil, nil, nil
}

// read checks a random acknowledged record by its offset.
func (m *model) read(rt *rapid.T) {
	if len(m.acked) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.acked)-1).Draw(rt, "place")
	body, err := m.logfile.ReadAt(m.offsets[i])
	if err != nil || string(body) != m.acked[i] {
		rt.Fatalf("record %d: got %q (err %v), want %q", i, body, err, m.acked[i])
	}
}

func (m *model) requireDiskError(rt *rapid.T, err error) {
	if !errs.Is(err, recordlog.ErrDisk) {
		rt.Fatalf("want an ErrDisk, got %v", err)
	}
	if errors.Is(err, syscall.ENOSPC) && !errs.Is(err, recordlog.ErrDiskFull) {
		rt.Fatalf("want an ErrDiskFull for a full disk, got %v", err)
	}
}

// open opens the log as a new incarnation and checks the records it reads.
func (m *model) open(rt *rapid.T) {
	m.operationsLeft, m.disk.FreeBytes = -1, -1
	var found []string
	var offsets []int64
	logfile, err := recordlog.Open(m.disk, "file", func(offset int64, body []byte) error {
		found, offsets = append(found, string(body)), append(offsets, offset)
		return nil
	})
	if err != nil {
		rt.Fatalf("open failed: %v", err)
	}
	if !m.mayContain(found) {
		rt.Fatalf("found %q\nacknowledged %q\ntail %q\nrejected tails %q\nreplacements %q", found, m.acked, m.tail, m.rejectedTails, m.replacements)
	}
	if names := m.disk.Names(); len(names) != 1 {
		rt.Fatalf("want one file, got %q", names)
	}
	// An incarnation acts on the records it has read, so from now on they must not be lost.
	m.logfile, m.acked, m.offsets = logfile, found, offsets
	m.tail, m.rejectedTails, m.replacements = nil, nil, nil
}

// mayContain reports whether the file may contain these records: the acknowledged ones and any
// beginning of a tail after them, or a complete replacement.
func (m *model) mayContain(found []string) bool {
	for _, candidate := range m.replacements {
		if slices.Equal(found, candidate) {
			return true
		}
	}
	for _, tail := range append(m.rejectedTails, m.tail) {
		candidate := slices.Concat(m.acked, tail)
		if len(found) >= len(m.acked) && len(found) <= len(candidate) && slices.Equal(found, candidate[:len(found)]) {
			return true
		}
	}
	return false
}

// TestNothingAcknowledgedIsLost kills the process, cuts the machine's power or fails the disk at random
// points, also in the middle of an operation. Every acknowledged record must be present when the file is
// opened again, and a rewrite must leave all of the old or all of the new records.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{disk: simulation.NewDisk(rapid.Int64().Draw(rt, "seed")), operationsLeft: -1}
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
				m.operationsLeft, m.failure = rapid.IntRange(0, 6).Draw(rt, "operations"), simulation.ErrDown
			},
			"lose power while opening": func(rt *rapid.T) {
				m.operationsLeft, m.failure = rapid.IntRange(0, 4).Draw(rt, "operations"), simulation.ErrDown
				_, _ = recordlog.Open(m.disk, "file", func(int64, []byte) error { return nil })
				m.disk.PowerLoss()
				m.open(rt)
			},
			"fill":        func(rt *rapid.T) { m.disk.FreeBytes = rapid.IntRange(0, 200).Draw(rt, "room") },
			"make room":   func(*rapid.T) { m.disk.FreeBytes = -1 },
			"disk fails":  func(*rapid.T) { m.operationsLeft, m.failure = 0, syscall.EIO },
			"disk serves": func(*rapid.T) { m.operationsLeft = -1 },
		})
	})
}
