package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
)

// mainEnvironment names the variable that makes the test program run main in place of the tests.
const mainEnvironment = "MFBACKEND_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnvironment) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Ports of the processes, below those that the system gives to outgoing connections.
const (
	backendPort = 18600
	daemonPort  = 18601 // nothing listens there
)

// loopbackIP returns a loopback address that belongs to one subtest of this process. The test must not listen on it to find a
// free port: a process that another subtest forks has that listener, too, until it executes its program.
func loopbackIP(subtest int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, subtest+1)
}

// waitUntilServing returns when the address accepts connections. It dials from another IP address, since a connection
// could otherwise be made with itself.
func waitUntilServing(addr string) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	for {
		conn, err := dialer.Dial("tcp", addr)
		if err == nil {
			conn.Close()
			return
		}
		runtime.Gosched()
	}
}

// TestServingProcessHandlesTermination guards against a back end that accepts connections before it handles SIGTERM: the
// signal then ends it at once. A back end that has logged nothing may not handle signals yet, so it must not serve either.
func TestServingProcessHandlesTermination(t *testing.T) {
	const starts = 50
	for i := range starts {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			terminateOnceServing(t, loopbackIP(i))
		})
	}
}

// terminateOnceServing starts a back end, sends it SIGTERM as soon as it serves and checks how it ends.
func terminateOnceServing(t *testing.T, ip string) {
	addr, daemon := fmt.Sprintf("%s:%d", ip, backendPort), fmt.Sprintf("%s:%d", ip, daemonPort)
	process := exec.Command(os.Args[0], "--service", "s", "--name", "a", "--addr", addr, "--daemon", daemon)
	process.Env = append(os.Environ(), mainEnvironment+"=1")
	var output, errorOutput bytes.Buffer
	process.Stdout, process.Stderr = &output, &errorOutput
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntilServing(addr)
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil || output.Len() == 0 {
		t.Errorf("a serving back end ended by SIGTERM with %v, having logged %q; want no error and a line\n%s", err, &output, &errorOutput)
	}
}
