package lab

import (
	"os"
	"syscall"
)

// unreadable stands in the settings file of a process that is to meet an invalid one.
const invalidSettings = "seeds = ["

// wipe empties the disk of a process that does not run.
func (f *Fleet) wipe(spec node) error {
	folder := f.Plan.nodeSettings(spec, f.Folder, false).DataDir
	if folder == "" {
		return nil
	}
	return ErrInvalidLab.Wrap(os.RemoveAll(folder), "disk of "+spec.name)
}

// reload changes the settings file of a process, as of a later start, and sends SIGHUP.
func (f *Fleet) reload(target *process, valid bool) error {
	path, err := f.Plan.writeSettings(target.node, f.Folder, false)
	if err != nil {
		return err
	}
	if !valid {
		if err := os.WriteFile(path, []byte(invalidSettings), 0o644); err != nil {
			return ErrInvalidLab.Wrap(err, "settings of "+target.node.name)
		}
	}
	target.signal(syscall.SIGHUP, false)
	return nil
}
