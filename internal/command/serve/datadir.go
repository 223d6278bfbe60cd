package serve

import (
	"errors"
	"os"
	"syscall"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/walog"
	"postjunction/internal/event"
)

// openDisk locks the data directory and opens the log in it. A damaged log is set aside and
// replaced by a new one. The returned function closes the log and releases the lock.
func openDisk(startRetrier *retrier, dir string, log *event.Logger) (*walog.Log, func(), error) {
	release, err := retry(startRetrier, func() (func(), error) { return lockDir(dir) })
	if err != nil {
		return nil, nil, err
	}
	disk, err := retry(startRetrier, func() (*walog.Log, error) {
		disk, err := walog.Open(dir)
		if apierror.HasCode(err, apierror.DiskDamaged) {
			log.Log(event.DiskDamaged, "problem", err)
			err = disk.SetAside()
		}
		return disk, err
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	closeDisk := func() {
		_ = disk.Close()
		release()
	}
	return disk, closeDisk, nil
}

// lockDir creates the directory if needed and locks it. The returned function releases the lock. It
// returns apierror.ResourceInUse while another process has the lock.
func lockDir(dir string) (func(), error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, dirError(err, dir)
	}
	file, err := os.OpenFile(dir+"/lock", os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, dirError(err, dir)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, apierror.Wrap(apierror.ResourceInUse, err, "data folder %s is in use by another process", dir)
	}
	return func() { _ = file.Close() }, nil
}

// dirError returns SettingsInvalid for a directory that can't be used as the data directory, else
// DiskFailed.
func dirError(err error, dir string) error {
	code := apierror.DiskFailed
	if errors.Is(err, os.ErrPermission) || errors.Is(err, syscall.ENOTDIR) || errors.Is(err, syscall.EROFS) {
		code = apierror.SettingsInvalid
	}
	return apierror.Wrap(code, err, "data folder %s", dir)
}
