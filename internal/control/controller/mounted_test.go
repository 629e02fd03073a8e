package controller

import (
	"sync"

	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// mountedDisk is a simulated disk as mounted by one incarnation of a process. After the incarnation has
// lost power, all operations fail, so that it can't write any more.
type mountedDisk struct {
	lock      *sync.Mutex
	disk      *simulation.Disk
	powerLost bool
}

// mountedFile is an open file of a mountedDisk.
type mountedFile struct {
	mount *mountedDisk
	recordlog.File
}

// do runs an operation on the disk, or fails after the loss of power.
func (m *mountedDisk) do(work func() error) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.powerLost {
		return simulation.ErrFull
	}
	return work()
}

func (m *mountedDisk) Open(name string) (file recordlog.File, err error) {
	err = m.do(func() error {
		inner, cause := m.disk.Open(name)
		file = &mountedFile{m, inner}
		return cause
	})
	return file, err
}

func (m *mountedDisk) Rename(from, to string) error {
	return m.do(func() error { return m.disk.Rename(from, to) })
}
func (m *mountedDisk) Remove(name string) error {
	return m.do(func() error { return m.disk.Remove(name) })
}
func (m *mountedDisk) SyncDirectory() error { return m.do(m.disk.SyncDirectory) }

func (m *mountedFile) Write(text []byte) (count int, err error) {
	err = m.mount.do(func() error {
		var cause error
		count, cause = m.File.Write(text)
		return cause
	})
	return count, err
}
func (m *mountedFile) Sync() error { return m.mount.do(m.File.Sync) }

func (m *mountedFile) Truncate(size int64) error {
	return m.mount.do(func() error { return m.File.Truncate(size) })
}

func (m *mountedFile) Size() (size int64, err error) {
	err = m.mount.do(func() error {
		var cause error
		size, cause = m.File.Size()
		return cause
	})
	return size, err
}

func (m *mountedFile) ReadAt(into []byte, offset int64) (count int, err error) {
	err = m.mount.do(func() error {
		var cause error
		count, cause = m.File.ReadAt(into, offset)
		return cause
	})
	return count, err
}
