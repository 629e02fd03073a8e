package lab

import (
	"os"
	"syscall"
)

// invalidSettings is the content of a settings file that can't be parsed.
const invalidSettings = "seeds = ["

// wipe removes the data folder of a process that is not running.
func (f *Fleet) wipe(spec node) error {
	folder := f.Plan.nodeSettings(spec, f.Folder, false).DataDir
	if folder == "" {
		return nil
	}
	return ErrInvalidLab.Wrap(os.RemoveAll(folder), "remove data folder of "+spec.name)
}

// reload writes the settings file of a process as for a restart, or an invalid one, and sends SIGHUP.
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
