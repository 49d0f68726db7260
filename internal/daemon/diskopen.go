// Opening a member's disk at startup. A disk whose contents can't be read completely counts as lost.

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

// errStopped is returned if the process was asked to stop before its disk was open.
var errStopped = errors.New("stopped while the disk was opened")

// OpenDisk opens the disk and returns it with its persisted state. An empty directory gets a new disk number. An error
// that wraps wal.ErrDamaged or state.ErrDamaged means that the contents can't be read completely.
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

// newDiskNumber returns a random disk number, unique for practical purposes and never 0, which means no number.
func newDiskNumber() uint64 { return rand.Uint64() | 1 }

// recreateDisk clears a damaged disk and gives it a new number. The control plane treats the old disk as lost, so the
// member recovers all state from its peers and votes only after it has been added again.
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

// openDiskWithRetry opens the disk and retries until it succeeds, since a process that exited would be restarted and
// meet the same error. damage is the reason why the disk had to be recreated, nil if it was intact. The only error is
// errStopped.
func (p *Process) openDiskWithRetry(stop <-chan os.Signal) (disk *Disk, persisted consensus.PersistentState, damage, err error) {
	log := p.Log.WithField("data", p.Settings.Data)
	lastLogged := ""
	for {
		disk, persisted, err = p.OpenDisk()
		if errors.IsAny(err, wal.ErrDamaged, state.ErrDamaged) {
			log.WithError(err).Error("stored state is damaged; recreating the disk and recovering the state from peers")
			damage = err
			disk, persisted, err = p.recreateDisk()
		}
		if err == nil {
			return disk, persisted, damage, nil
		}
		if lastLogged != err.Error() {
			lastLogged = err.Error()
			log.WithError(err).Error("opening the disk failed; retrying")
		}
		select {
		case <-time.After(tuning.DiskRetry):
		case <-stop:
			return nil, consensus.PersistentState{}, nil, errStopped
		}
	}
}
