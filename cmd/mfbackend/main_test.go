package main

import (
	"bytes"
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

// freeAddr returns an address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
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
			terminateOnceServing(t)
		})
	}
}

// terminateOnceServing starts a back end, sends it SIGTERM as soon as it serves and checks how it ends.
func terminateOnceServing(t *testing.T) {
	addr := freeAddr(t)
	process := exec.Command(os.Args[0], "--service", "s", "--name", "a", "--addr", addr, "--daemon", freeAddr(t))
	process.Env = append(os.Environ(), mainEnvironment+"=1")
	var output bytes.Buffer
	process.Stdout = &output
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntilServing(addr)
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil || output.Len() == 0 {
		t.Errorf("a serving back end ended by SIGTERM with %v, having logged %q; want no error and a line", err, &output)
	}
}
