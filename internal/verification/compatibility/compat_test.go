// Package compatibility tests that formats which other processes or people read do not change: messages between
// daemons, JSON for operators, targets and callers, and settings files. The golden files in testdata were recorded
// from the code that first wrote each format. The current code must read every golden file and write it back byte for
// byte. The formats of stored data are tested next to the code that writes them, in packages wal and simulator.
//
// `go test ./internal/verification/compatibility -update` rewrites the golden files. Use it only for an intended change
// of a format.
package compatibility

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/daemon"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// readGolden returns the content of a golden file. With -update it first overwrites the file with got.
func readGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// fill sets each exported field of v to a distinct non-zero value, in order of declaration; booleans become true. n
// counts the values set.
func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	*n++
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes(fmt.Appendf(nil, `{"text":%d}`, *n))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(t, key, n)
			fill(t, value, n)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(uint64(*n%255 + 1))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) / 4)
	default:
		t.Fatalf("fill does not support type %s", v.Type())
	}
}

// filled returns a T with all exported fields set by fill.
func filled[T any](t *testing.T) *T {
	t.Helper()
	v, n := new(T), 0
	fill(t, reflect.ValueOf(v).Elem(), &n)
	return v
}

// checkJSON compares the JSON encoding of a T with all fields set with the golden file. If readBack is set, it also
// checks that decoding the golden file and encoding the result reproduces it.
func checkJSON[T any](t *testing.T, name string, readBack bool) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		got, err := json.MarshalIndent(filled[T](t), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		want := readGolden(t, name+".json", got)
		if !bytes.Equal(got, want) {
			t.Fatalf("encoding differs from the golden file, got: %s", got)
		}
		if !readBack {
			return
		}
		var v T
		if err := json.Unmarshal(want, &v); err != nil {
			t.Fatal(err)
		}
		if again, err := json.MarshalIndent(&v, "", " "); err != nil || !bytes.Equal(again, want) {
			t.Fatalf("error %v; decoding and encoding the golden file must not change it, gave: %s", err, again)
		}
	})
}

// The JSON encodings of these types do not change.
func TestJSONFormatsAreUnchanged(t *testing.T) {
	const readBack, encodeOnly = true, false
	// Data stored by members and proxies.
	checkJSON[state.State](t, "state", readBack)
	checkJSON[state.RecoveredState](t, "recovered-state", readBack)
	checkJSON[state.Record](t, "record", readBack)
	// Data that operators read.
	checkJSON[controlplane.StatusView](t, "core-status", readBack)
	checkJSON[controlplane.DaemonView](t, "core-daemon", readBack)
	checkJSON[controlplane.TargetView](t, "core-target", readBack)
	checkJSON[statemachine.Publish](t, "stream-note", readBack)
	checkJSON[dataplane.View](t, "proxy-status", readBack)
	checkJSON[outlier.PolicyStats](t, "policy-stat", readBack)
	checkJSON[outlier.Event](t, "policy-event", readBack)
	checkJSON[outlier.Decision](t, "policy-decision", readBack)
	checkJSON[wire.Daemon](t, "daemon", encodeOnly)
	// Data that operators and targets send.
	checkJSON[config.Config](t, "config", readBack)
	checkJSON[config.TargetReport](t, "target-report", readBack)
	checkJSON[daemon.Settings](t, "settings", readBack)
}

// messages returns one message of each kind by its name. It sets every field of the struct for that kind, such as
// Message.Hello.
func messages(t *testing.T) map[string]*wire.Message {
	t.Helper()
	header := func(kind wire.Kind) *wire.Message {
		return &wire.Message{Kind: kind, From: "c1", Disk: 2, Epoch: 3, Term: 4, Timestamp: 5}
	}
	all := map[string]*wire.Message{}
	for _, k := range []wire.Kind{wire.KindHello, wire.KindVote, wire.KindAppend, wire.KindPull, wire.KindPush, wire.KindHeartbeat, wire.KindCall} {
		all[k.String()] = header(k)
	}
	all["hello"].Hello = filled[wire.Hello](t)
	all["vote"].Vote = filled[wire.Vote](t)
	all["append"].Append = filled[wire.Append](t)
	all["pull"].Pull = filled[wire.Pull](t)
	all["push"].Push = filled[wire.Push](t)
	all["beat"].Heartbeat = filled[wire.Target](t)
	all["ask"].Call = filled[wire.Call](t)
	return all
}

// The encoding of each kind of message does not change.
func TestMessageEncodingIsUnchanged(t *testing.T) {
	for name, m := range messages(t) {
		t.Run(name, func(t *testing.T) {
			got, err := wire.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			want := readGolden(t, "message-"+name+".bin", got)
			if !bytes.Equal(got, want) {
				t.Fatal("encoding differs from the golden file")
			}
			read, err := wire.Decode(want)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := wire.Encode(read); err != nil || !bytes.Equal(again, want) {
				t.Fatalf("decoding and encoding the golden file changed it or failed: error %v", err)
			}
			if !reflect.DeepEqual(read, m) {
				t.Fatalf("decoding the golden file gave %+v, want %+v", read, m)
			}
		})
	}
}

// Frames are messages as transmitted on a connection: packed and preceded by their lengths.
func TestFrameEncodingIsUnchanged(t *testing.T) {
	var b bytes.Buffer
	w := wire.NewWriter(&b)
	all := messages(t)
	names := []string{"hello", "vote", "append", "pull", "push", "beat", "ask"}
	for _, name := range names {
		if _, err := w.Put(all[name]); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := readGolden(t, "frames.bin", b.Bytes())
	if !bytes.Equal(b.Bytes(), want) {
		t.Fatal("encoding differs from the golden file")
	}
	r := wire.NewReader(bytes.NewReader(want))
	for _, name := range names {
		next, err := r.Next()
		if err != nil {
			t.Fatalf("read frame of %s: %v", name, err)
		}
		if m, err := wire.Decode(next); err != nil || m.Kind.String() != name {
			t.Fatalf("decode frame of %s: error %v, want a message of this kind", name, err)
		}
	}
}

// The encoding of a batch, which is the format of a record on disk, does not change.
func TestBatchEncodingIsUnchanged(t *testing.T) {
	batch := filled[wire.Batch](t)
	got, err := wire.EncodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	want := readGolden(t, "batch.bin", got)
	if !bytes.Equal(got, want) {
		t.Fatal("encoding differs from the golden file")
	}
	read, err := wire.DecodeBatch(want)
	if err != nil || !reflect.DeepEqual(read, batch) {
		t.Fatalf("decoding the golden file gave error %v and %+v, want %+v", err, read, batch)
	}
}

// The status, headers and body of a rejection, as sent to callers and operators, do not change.
func TestRejectionResponsesAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		retry  time.Duration
		body   config.ErrorBody
	}{
		{"refusal-busy", 503, 250 * time.Millisecond, config.ErrorBody{Code: "busy", Message: "no target has room"}},
		{"refusal-unclear", 502, 0, config.ErrorBody{Code: "unclear", Message: "the answer was lost", Ran: "unknown"}},
		{"refusal-stale", 412, 3 * time.Second, config.ErrorBody{Code: "stale", Rejection: config.RejectionOf(412), Message: "another revision is in force", Revision: 7, ID: "a",
			Faults: []config.Fault{{Path: "services.a.cap", Text: "is below 0"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			reverseproxy.WriteError(w, c.status, c.retry, c.body)
			var got bytes.Buffer
			fmt.Fprintf(&got, "%d\n", w.Code)
			if err := w.Header().Write(&got); err != nil {
				t.Fatal(err)
			}
			got.Write(w.Body.Bytes())
			if want := readGolden(t, c.name+".txt", got.Bytes()); !bytes.Equal(got.Bytes(), want) {
				t.Fatalf("response differs from the golden file, got: %s", got.Bytes())
			}
		})
	}
}

// A settings file that sets every key is accepted, and encoding the loaded settings reproduces it.
func TestSettingsFilesRoundTrip(t *testing.T) {
	for _, kind := range []wire.DaemonKind{wire.ControlDaemon, wire.ProxyDaemon} {
		t.Run(string(kind), func(t *testing.T) {
			file := filepath.Join("testdata", "mf"+string(kind)+".json")
			var flags daemon.Flags
			app := kingpin.New("test", "")
			flags.Bind(app, kind)
			if _, err := app.Parse([]string{"--settings", file}); err != nil {
				t.Fatal(err)
			}
			loaded, err := flags.Load(kind)
			if err != nil || len(loaded.Faults) > 0 {
				t.Fatalf("load settings: faults %v, error %v", loaded.Faults, err)
			}
			got, err := json.MarshalIndent(loaded.Settings, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			want := readGolden(t, "mf"+string(kind)+".json", append(got, '\n'))
			if !bytes.Equal(append(got, '\n'), want) {
				t.Fatalf("decoding and encoding the golden file gave: %s", got)
			}
		})
	}
}

// The flag names of each daemon do not change.
func TestFlagNamesAreUnchanged(t *testing.T) {
	for _, kind := range []wire.DaemonKind{wire.ControlDaemon, wire.ProxyDaemon} {
		t.Run(string(kind), func(t *testing.T) {
			var flags daemon.Flags
			app := kingpin.New("test", "")
			flags.Bind(app, kind)
			var names []string
			for _, f := range app.Model().Flags {
				names = append(names, f.Name)
			}
			slices.Sort(names)
			got, err := json.Marshal(names)
			if err != nil {
				t.Fatal(err)
			}
			if want := readGolden(t, "flags-"+string(kind)+".json", got); !bytes.Equal(got, want) {
				t.Fatalf("flags differ from the golden file, got: %s", got)
			}
		})
	}
}
