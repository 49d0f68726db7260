// This file is a soak's operator: changes of the configuration and emptied domains, one after the other without a
// pause, each sent again until it has a clear answer; and whether what was acknowledged outlives a loss of all
// processes.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

const (
	changePause   = 150 * time.Millisecond
	changeRetry   = 50 * time.Millisecond
	changeTimeout = 2 * time.Second  // for one answer
	changeGiveUp  = 20 * time.Second // until a change counts as unanswered: all control daemons may be down for a while
	recoverWait   = 15 * time.Second
)

// soakOperator is one operator and what it was promised.
type soakOperator struct {
	soak     *soak
	random   *rand.Rand
	stop     chan struct{}
	running  sync.WaitGroup
	revision int             // the newest that was acknowledged
	doc      []byte          // what was acknowledged as it
	emptied  map[string]bool // domains by what was acknowledged last
}

func (s *soak) startOperator() *soakOperator {
	o := &soakOperator{soak: s, random: s.options.random(2), stop: make(chan struct{}), emptied: map[string]bool{}}
	o.running.Go(o.run)
	return o
}

func (o *soakOperator) finish() {
	close(o.stop)
	o.running.Wait()
}

func (o *soakOperator) run() {
	for i := 0; ; i++ {
		select {
		case <-o.stop:
			return
		case <-time.After(time.Duration(o.random.Int64N(int64(2 * changePause)))):
		}
		if i%8 == 7 {
			o.emptyOrRestore()
		} else {
			o.change()
		}
	}
}

// call sends one call to one control daemon.
func (o *soakOperator) call(core *process, method, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+core.http+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := (&http.Client{Timeout: changeTimeout}).Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// sendUntilClear sends an sendUntilClear to any daemon, and the same again until an answer is clear.
func (o *soakOperator) sendUntilClear(method, path string, body []byte) (status int, answer []byte) {
	for begun := time.Now(); time.Since(begun) < changeGiveUp; {
		core := o.soak.controls[o.random.IntN(len(o.soak.controls))]
		status, answer = o.call(core, method, path, body)
		if status >= 200 && status < 500 {
			return status, answer
		}
		time.Sleep(changeRetry)
	}
	o.soak.log.add(eventUnanswered, "")
	return 0, nil
}

// change puts another configuration on top of the newest acknowledged one.
func (o *soakOperator) change() {
	doc, err := config.MergePatch(o.soak.config, fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, tuning.BodyMaxDefault-o.random.IntN(tuning.BodyMaxDefault/2)))
	if err != nil {
		o.soak.violation("lab", "%v", err)
		return
	}
	if o.revision == 0 {
		o.revision, _ = o.read()
	}
	status, answer := o.sendUntilClear(http.MethodPut, "/v1/config?base="+strconv.Itoa(o.revision), doc)
	var v struct {
		Revision int `json:"revision"`
	}
	switch {
	case status == http.StatusOK && json.Unmarshal(answer, &v) == nil && v.Revision > o.revision:
		o.revision, o.doc = v.Revision, doc
		o.soak.log.add(eventChange, "")
	case status == 0:
		// It may or may not be in force: whoever reads it goes on from there.
		if revision, text := o.read(); revision > o.revision {
			o.revision, o.doc = revision, text
		}
	default:
		o.soak.violation("order refused", "a change on %d, the newest acknowledged: %d %.200s", o.revision, status, answer)
		o.revision, o.doc = o.read()
	}
}

// read reads the configuration in force, 0 if nobody tells it.
func (o *soakOperator) read() (revision int, doc []byte) {
	for begun := time.Now(); time.Since(begun) < changeGiveUp; time.Sleep(changeRetry) {
		for _, core := range o.soak.controls {
			status, answer := o.call(core, http.MethodGet, "/v1/config", nil)
			var v struct {
				Revision int             `json:"revision"`
				Config   json.RawMessage `json:"config"`
			}
			if status == http.StatusOK && json.Unmarshal(answer, &v) == nil {
				return v.Revision, v.Config
			}
		}
	}
	return 0, nil
}

// emptyOrRestore empties one domain, or restores the one that is emptied.
func (o *soakOperator) emptyOrRestore() {
	for domain, is := range o.emptied {
		if !is {
			continue
		}
		if status, _ := o.sendUntilClear(http.MethodPost, "/v1/domains/"+domain+"/restore", nil); status == http.StatusOK {
			delete(o.emptied, domain)
		} else {
			o.emptied[domain] = false // nobody knows
		}
		return
	}
	domains := o.soak.deployment.Domains
	domain := domains[o.random.IntN(len(domains))]
	if _, unknown := o.emptied[domain]; unknown {
		return
	}
	if status, _ := o.sendUntilClear(http.MethodPost, "/v1/domains/"+domain+"/empty", nil); status == http.StatusOK {
		o.emptied[domain] = true
	} else {
		o.emptied[domain] = false
	}
}

// checkAfterLoss kills all daemons at once, loses the disk of one control daemon if the core bears that, and looks
// whether what was acknowledged is there again.
func (o *soakOperator) checkAfterLoss() {
	run := o.soak
	daemons := slices.Concat(run.controls, run.proxies)
	for _, p := range daemons {
		p.signal(9)
	}
	for _, p := range daemons {
		p.kill()
	}
	if len(run.controls) > 2 {
		os.RemoveAll(run.path("data", run.controls[o.random.IntN(len(run.controls))].name))
	}
	for _, p := range daemons {
		run.restart(p)
	}
	end := time.Now().Add(recoverWait)
	revision, doc := o.read()
	switch {
	case time.Now().After(end):
		run.violation("back in 15 s", "no configuration is read after a loss of all daemons")
	case revision < o.revision:
		run.violation("acknowledged lost", "revision %d is read, %d was acknowledged", revision, o.revision)
	case revision == o.revision && o.doc != nil && canonical(doc) != canonical(o.doc):
		run.violation("acknowledged lost", "revision %d is another one than was acknowledged", revision)
	}
	for domain, is := range o.emptied {
		if is && !slices.Contains(o.emptiedNow(), domain) {
			run.violation("acknowledged lost", "domain %s was acknowledged as emptied", domain)
		}
	}
	for domain := range o.emptied {
		o.sendUntilClear(http.MethodPost, "/v1/domains/"+domain+"/restore", nil)
	}
	if err := run.awaitServing(recoverWait); err != nil {
		run.violation("back in 15 s", "after a loss of all daemons: %v", err)
	}
}

func (o *soakOperator) emptiedNow() []string {
	for begun := time.Now(); time.Since(begun) < recoverWait; time.Sleep(changeRetry) {
		for _, core := range o.soak.controls {
			status, answer := o.call(core, http.MethodGet, "/v1/domains", nil)
			var v struct {
				Emptied []string `json:"emptied"`
			}
			if status == http.StatusOK && json.Unmarshal(answer, &v) == nil {
				return v.Emptied
			}
		}
	}
	return nil
}
