package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Times of case 6.
const (
	// startSpread is how far apart the VMs start, which the pages bound by 0.3 s.
	startSpread = 280 * time.Millisecond
	// freezeTime is within the longest freeze of the site file, 6.7 s.
	freezeTime = 6500 * time.Millisecond
	// downTime is how long the VM that loses its disk is down.
	downTime   = time.Second
	recovery   = 12 * time.Second
	applyLimit = 20 * time.Second
	reads      = 8
	fleets     = 5
)

// Disruptions of case 6 that can be played alone.
const (
	onlyFreeze = "freeze"
	onlyWipe   = "wipe"
)

// foundings plays the case with several fleets side by side, since it depends on the random time of an election.
func foundings(ctx context.Context, rec *record, trouble bool) (outcome, error) {
	type end struct {
		outcome
		err error
	}
	ends := make(chan end)
	for i := range fleets {
		go func() {
			out, err := founding(ctx, rec.of(fmt.Sprintf("fleet %d: ", i+1)), trouble)
			ends <- end{out, err}
		}()
	}
	var sum outcome
	var failed error
	broken := 0
	for range fleets {
		e := <-ends
		switch {
		case e.err != nil:
			failed = e.err
		case e.broken:
			broken++
			sum.text = e.text
		case broken == 0:
			sum.text = e.text
		}
	}
	if broken == 0 && failed != nil {
		return outcome{}, failed
	}
	sum.broken = broken > 0
	sum.text = fmt.Sprintf("in %d of %d fleets; %s", broken, fleets, sum.text)
	return sum, nil
}

// founding freezes one of three VMs with a disk while the fleet starts for the first time. Later another one loses its
// disk.
func founding(ctx context.Context, rec *record, trouble bool) (outcome, error) {
	alone := os.Getenv("TROUBLE")
	freezes, wipes := trouble && alone != onlyWipe, trouble && alone != onlyFreeze
	f, stop, err := newFleet(ctx, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	defer stop()
	first, others := f.vms[1], []*vm{f.vms[0], f.vms[2]}
	began := time.Now()
	if err := first.start(); err != nil {
		return outcome{}, err
	}
	rec.add("%s started with an empty disk and bootstrap", first.name)
	frozen := make(chan struct{})
	go func() {
		defer close(frozen)
		if freezes && first.awaitListening(portControl, startSpread) {
			first.signal(syscall.SIGSTOP)
			rec.add("%s frozen", first.name)
			time.Sleep(freezeTime)
			first.signal(syscall.SIGCONT)
			rec.add("%s thawed", first.name)
		}
	}()
	time.Sleep(time.Until(began.Add(startSpread)))
	for _, v := range others {
		if err := v.start(); err != nil {
			return outcome{}, err
		}
		rec.add("%s started with an empty disk and bootstrap", v.name)
	}
	j := &manifestJudge{rec: rec}
	if err := j.apply(f, 1, f.vms); err != nil {
		return outcome{}, err
	}
	<-frozen
	time.Sleep(time.Until(began.Add(freezeTime + 2*contact)))
	if err := j.apply(f, 2, []*vm{others[0], others[1], first}); err != nil {
		return outcome{}, err
	}
	time.Sleep(configApply + contact)
	j.read(f)
	if wipes {
		if err := others[0].loseDisk(rec); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(recovery)
	j.read(f)
	return j.outcome(), nil
}

// loseDisk has a VM lose power and come back with an empty disk.
func (v *vm) loseDisk(rec *record) error {
	v.kill()
	if err := os.RemoveAll(filepath.Join(v.fleet.folder, v.name, "data")); err != nil {
		return err
	}
	rec.add("%s lost power and its disk", v.name)
	time.Sleep(downTime)
	rec.add("%s starts again with an empty disk", v.name)
	return v.start()
}

// errNoAck reports a manifest that no VM acknowledged.
var errNoAck = errors.New("no VM acknowledged the manifest")

// manifestJudge checks reads of the manifest against its acknowledgements.
type manifestJudge struct {
	rec     *record
	newest  uint64
	ackedAt time.Time
	current int // Reads that returned the newest version in the last round.
	older   []string
}

// apply has a manifest acknowledged by the first VM that does so.
func (j *manifestJudge) apply(f *fleet, version uint64, order []*vm) error {
	by, at := f.apply(newManifest(version), order, applyLimit)
	if by == nil {
		return fmt.Errorf("%w: version %d", errNoAck, version)
	}
	j.rec.add("version %d acknowledged by %s", version, by.name)
	j.newest, j.ackedAt = version, at
	return nil
}

// read reads the manifest from each VM several times, over more than contactMs.
func (j *manifestJudge) read(f *fleet) {
	j.current = 0
	for range reads {
		for _, v := range f.vms {
			version, r, ok := v.readVersion()
			if !ok {
				j.rec.add("read at %s: status %d %q", v.name, r.status, string(r.body))
				continue
			}
			after := r.sentAt.Sub(j.ackedAt)
			j.rec.add("read at %s: version %d, %d ms after the ack of %d", v.name, version, after.Milliseconds(), j.newest)
			switch {
			case version >= j.newest:
				j.current++
			case after > configApply:
				j.older = append(j.older, fmt.Sprintf("%s answers a read with version %d, %.1f s after version %d was acknowledged", v.name, version, after.Seconds(), j.newest))
			}
		}
		time.Sleep(contact / (reads - 1))
	}
}

func (j *manifestJudge) outcome() outcome {
	switch {
	case len(j.older) > 0:
		return outcome{broken: true, text: fmt.Sprintf("%d reads, the first: %s", len(j.older), j.older[0])}
	case j.current == 0:
		return outcome{broken: true, text: fmt.Sprintf("version %d was acknowledged, and no read at the end returns it", j.newest)}
	}
	return outcome{text: fmt.Sprintf("%d reads at the end returned version %d", j.current, j.newest)}
}
