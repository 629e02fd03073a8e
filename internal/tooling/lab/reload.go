package lab

import (
	"os"
	"syscall"
)

// unreadable stands in the settings file of a process that is to meet an invalid one.
const unreadable = "seeds = ["

// wipe empties the disk of a process that does not run.
func (f *Fleet) wipe(entry node) error {
	folder := f.Plan.nodeSettings(entry, f.Folder, false).DataDir
	if folder == "" {
		return nil
	}
	return ErrInvalidLab.Wrap(os.RemoveAll(folder), "disk of "+entry.name)
}

// reload changes the settings file of a process, as of a later start, and sends SIGHUP.
func (f *Fleet) reload(entry *process, valid bool) error {
	path, err := f.Plan.write(entry.node, f.Folder, false)
	if err != nil {
		return err
	}
	if !valid {
		if err := os.WriteFile(path, []byte(unreadable), 0o644); err != nil {
			return ErrInvalidLab.Wrap(err, "settings of "+entry.node.name)
		}
	}
	entry.signal(syscall.SIGHUP, false)
	return nil
}
