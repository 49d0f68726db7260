package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of the case "leave". The bounds are those of the site file.
const (
	leaveGap     = time.Second             // between two SIGTERMs
	leaveContact = 3 * time.Second         // bound `contact`
	leaveReceipt = 4003 * time.Millisecond // bound `receipt`, and 3 ms for the route
	leaveWatch   = 72 * time.Second        // for how long the orders are repeated
)

// playLeave has half of the machines that carry traffic leave for good, one after the other, and then sends orders.
func playLeave(f *fleet, log *record, trouble bool) (broken bool, err error) {
	if err := configure(f, log, "once"); err != nil {
		return false, err
	}
	if trouble {
		if err := leaveHalf(f, log); err != nil {
			return false, err
		}
	}
	time.Sleep(leaveContact)
	document := unreadDocument(unreadVersion)
	config := repeatOrder(f, log, "configuration 7", http.MethodPut, "/v1/config", fmt.Sprint(unreadBase), []byte(document))
	emptied := repeatOrder(f, log, "evacuation of "+zones[3], http.MethodPost, "/v1/domains/"+zones[3]+"/empty", "", nil)
	late := 0
	for name, after := range map[string]time.Duration{"the configuration": <-config, "the evacuation": <-emptied} {
		if after > leaveReceipt {
			late++
			log.printf("%s was not acknowledged within %v", name, leaveReceipt)
		}
	}
	if !trouble && late > 0 {
		return false, errors.New("without the disruption, an order was not acknowledged in time")
	}
	return late > 0, nil
}

// leaveHalf stops the second half of the proxies in turn, and waits until their processes have ended.
func leaveHalf(f *fleet, log *record) error {
	leaving := f.proxies[len(f.proxies)/2:]
	for _, m := range leaving {
		log.printf("%s gets SIGTERM and does not come back", m.name)
		m.signal(syscall.SIGTERM)
		time.Sleep(leaveGap)
	}
	for _, m := range leaving {
		select {
		case <-m.exited:
			log.printf("%s has ended with code %d", m.name, m.process.ProcessState.ExitCode())
		case <-time.After(7 * time.Second):
			return fmt.Errorf("%s did not end within its grace", m.name)
		}
	}
	return nil
}

// repeatOrder sends an order again and again, each time to the next core machine, until it is acknowledged or leaveWatch is
// over. The channel receives after which time it was acknowledged, leaveWatch if it was not.
func repeatOrder(f *fleet, log *record, name, method, path, base string, body []byte) <-chan time.Duration {
	acknowledged := make(chan time.Duration, 1)
	sentAt := time.Now()
	log.printf("%s is sent", name)
	go func() {
		for i := 0; time.Since(sentAt) < leaveWatch; i++ {
			status, answer, err := f.call(f.cores[i%len(f.cores)], method, path, base, body)
			if err == nil && status == http.StatusOK {
				log.printf("%s: acknowledged after %v", name, time.Since(sentAt).Round(time.Millisecond))
				acknowledged <- time.Since(sentAt)
				return
			}
			if i%10 == 0 {
				log.printf("%s: try %d at %s: status %d %.100q, error %v", name, i+1, f.cores[i%len(f.cores)].name, status, answer, err)
			}
			time.Sleep(min(time.Duration(i+1)*100*time.Millisecond, time.Second))
		}
		log.printf("%s: not acknowledged in %v", name, leaveWatch)
		acknowledged <- leaveWatch
	}()
	return acknowledged
}
