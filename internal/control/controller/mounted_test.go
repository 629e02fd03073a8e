package controller

import (
	"sync"

	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// mounted is a simulated disk as one incarnation of a process sees it: after that incarnation nothing
// more is written.
type mounted struct {
	lock *sync.Mutex
	disk *simulation.Disk
	dead bool
}

type mountedFile struct {
	mounted *mounted
	recordlog.File
}

func (m *mounted) do(work func() error) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.dead {
		return simulation.ErrFull
	}
	return work()
}

func (m *mounted) Open(name string) (file recordlog.File, err error) {
	err = m.do(func() error {
		inner, cause := m.disk.Open(name)
		file = &mountedFile{m, inner}
		return cause
	})
	return file, err
}

func (m *mounted) Rename(from, to string) error {
	return m.do(func() error { return m.disk.Rename(from, to) })
}
func (m *mounted) Remove(name string) error {
	return m.do(func() error { return m.disk.Remove(name) })
}
func (m *mounted) SyncDirectory() error { return m.do(m.disk.SyncDirectory) }

func (m *mountedFile) Write(text []byte) (count int, err error) {
	err = m.mounted.do(func() error {
		var cause error
		count, cause = m.File.Write(text)
		return cause
	})
	return count, err
}
func (m *mountedFile) Sync() error { return m.mounted.do(m.File.Sync) }

func (m *mountedFile) Truncate(size int64) error {
	return m.mounted.do(func() error { return m.File.Truncate(size) })
}

func (m *mountedFile) Size() (size int64, err error) {
	err = m.mounted.do(func() error {
		var cause error
		size, cause = m.File.Size()
		return cause
	})
	return size, err
}

func (m *mountedFile) ReadAt(into []byte, offset int64) (count int, err error) {
	err = m.mounted.do(func() error {
		var cause error
		count, cause = m.File.ReadAt(into, offset)
		return cause
	})
	return count, err
}
