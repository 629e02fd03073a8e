package controller

import (
	"sync"

	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// mounted is a simulated disk as one life of a process sees it: after that life nothing
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

func (one *mounted) do(work func() error) error {
	one.lock.Lock()
	defer one.lock.Unlock()
	if one.dead {
		return simulation.ErrFull
	}
	return work()
}

func (one *mounted) Open(name string) (file recordlog.File, err error) {
	err = one.do(func() error {
		inner, problem := one.disk.Open(name)
		file = &mountedFile{one, inner}
		return problem
	})
	return file, err
}

func (one *mounted) Rename(from, to string) error {
	return one.do(func() error { return one.disk.Rename(from, to) })
}
func (one *mounted) Remove(name string) error {
	return one.do(func() error { return one.disk.Remove(name) })
}
func (one *mounted) SyncFolder() error { return one.do(one.disk.SyncFolder) }

func (one *mountedFile) Write(text []byte) (count int, err error) {
	err = one.mounted.do(func() error {
		var problem error
		count, problem = one.File.Write(text)
		return problem
	})
	return count, err
}
func (one *mountedFile) Sync() error { return one.mounted.do(one.File.Sync) }

func (one *mountedFile) Truncate(size int64) error {
	return one.mounted.do(func() error { return one.File.Truncate(size) })
}

func (one *mountedFile) Size() (size int64, err error) {
	err = one.mounted.do(func() error {
		var problem error
		size, problem = one.File.Size()
		return problem
	})
	return size, err
}

func (one *mountedFile) ReadAt(into []byte, offset int64) (count int, err error) {
	err = one.mounted.do(func() error {
		var problem error
		count, problem = one.File.ReadAt(into, offset)
		return problem
	})
	return count, err
}
