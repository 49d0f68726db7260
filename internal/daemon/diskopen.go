// This file opens a member's disk at the start. One whose contents can't be read completely counts as lost.

package daemon

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/controlplane/wal"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// errStopped says that the process was asked to stop before its disk was open.
var errStopped = errors.New("stopped while the disk was opened")

// OpenDisk opens the disk and returns it with what it holds; an empty folder gets a disk number of its own. An error
// that is wal.ErrDamaged or state.ErrDamaged says that the contents can't be read completely.
func (p *Process) OpenDisk() (*Disk, consensus.PersistentState, error) {
	log, records, err := wal.Open(p.Settings.Data, tuning.WALFiles, tuning.WALFileSize)
	if err != nil {
		return nil, consensus.PersistentState{}, err
	}
	disk := newDisk(p.Log, p.Loop, log)
	if err := disk.load(records); err != nil {
		log.Close()
		return nil, consensus.PersistentState{}, err
	}
	return disk, disk.persistedCopy(), nil
}

// newDiskNumber draws a number that no two disks share; 0 is none.
func newDiskNumber() uint64 { return rand.Uint64() | 1 }

// recreateDisk empties a damaged disk and gives it another number: to the control plane this member's disk is lost, so
// the member recovers everything from its peers and votes only once it has been added again.
func (p *Process) recreateDisk() (*Disk, consensus.PersistentState, error) {
	persisted := consensus.PersistentState{Disk: newDiskNumber()}
	record, err := wire.EncodeBatch(persisted.Checkpoint())
	if err != nil {
		return nil, persisted, err
	}
	log, err := wal.Recreate(p.Settings.Data, tuning.WALFiles, tuning.WALFileSize, record)
	if err != nil {
		return nil, persisted, err
	}
	disk := newDisk(p.Log, p.Loop, log)
	disk.persisted = persisted
	return disk, disk.persistedCopy(), nil
}

// openDiskWithRetry opens the disk, however often that has to be retried: a process that ended instead would be
// started again to meet the same. damage is what was found if the disk had to be recreated. The error is errStopped.
func (p *Process) openDiskWithRetry(stop <-chan os.Signal) (disk *Disk, persisted consensus.PersistentState, damage, err error) {
	log := p.Log.WithField("data", p.Settings.Data)
	logged := ""
	for {
		disk, persisted, err = p.OpenDisk()
		if errors.IsAny(err, wal.ErrDamaged, state.ErrDamaged) {
			log.WithError(err).Error("stored state is damaged; it counts as lost, and this member recovers it from its peers")
			damage = err
			disk, persisted, err = p.recreateDisk()
		}
		if err == nil {
			return disk, persisted, damage, nil
		}
		if logged != err.Error() {
			logged = err.Error()
			log.WithError(err).Error("disk can't be opened; retrying")
		}
		select {
		case <-time.After(tuning.DiskRetry):
		case <-stop:
			return nil, consensus.PersistentState{}, nil, errStopped
		}
	}
}
