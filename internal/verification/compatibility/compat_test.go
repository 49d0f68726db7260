// Package compatibility holds the forms that others read, as recorded from the code that first wrote
// them: messages between daemons, JSON that operators, targets and callers get, settings files.
// The present code must read each recorded form and write it again byte for byte. Stored data
// has its tests beside its writers, in packages wal and simulator.
//
// `go test ./internal/verification/compatibility -update` records anew, which only an intended change of a form may need.
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

var update = flag.Bool("update", false, "record the forms anew")

// recorded returns the recorded form of that name, after writing got to it if asked to.
func recorded(t *testing.T, name string, got []byte) []byte {
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

// fill gives each field of v a value of its own that is not zero, in the order of declaration.
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
		t.Fatalf("no value for a %s", v.Type())
	}
}

func filled[T any](t *testing.T) *T {
	t.Helper()
	v, n := new(T), 0
	fill(t, reflect.ValueOf(v).Elem(), &n)
	return v
}

// jsonForm holds the form of T with all fields set against the recorded one. Types that are read
// back are read from the record and written again.
func jsonForm[T any](t *testing.T, name string, readBack bool) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		got, err := json.MarshalIndent(filled[T](t), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		want := recorded(t, name+".json", got)
		if !bytes.Equal(got, want) {
			t.Fatalf("written: %s", got)
		}
		if !readBack {
			return
		}
		var v T
		if err := json.Unmarshal(want, &v); err != nil {
			t.Fatal(err)
		}
		if again, err := json.MarshalIndent(&v, "", " "); err != nil || !bytes.Equal(again, want) {
			t.Fatalf("%v; read and written: %s", err, again)
		}
	})
}

func TestJSONKeepsItsForm(t *testing.T) {
	const readBack, writtenOnly = true, false
	// What members, their disks and proxies hold.
	jsonForm[state.State](t, "state", readBack)
	jsonForm[state.RecoveredState](t, "recovered-state", readBack)
	jsonForm[state.Record](t, "record", readBack)
	// What operators read.
	jsonForm[controlplane.StatusView](t, "core-status", readBack)
	jsonForm[controlplane.DaemonView](t, "core-daemon", readBack)
	jsonForm[controlplane.TargetView](t, "core-target", readBack)
	jsonForm[statemachine.Publish](t, "stream-note", readBack)
	jsonForm[dataplane.View](t, "proxy-status", readBack)
	jsonForm[outlier.PolicyStats](t, "policy-stat", readBack)
	jsonForm[outlier.Event](t, "policy-event", readBack)
	jsonForm[outlier.Decision](t, "policy-decision", readBack)
	jsonForm[wire.Daemon](t, "daemon", writtenOnly)
	// What operators and targets send.
	jsonForm[config.Config](t, "config", readBack)
	jsonForm[config.TargetReport](t, "target-report", readBack)
	jsonForm[daemon.Settings](t, "settings", readBack)
}

// messages are one of each kind, with every field of its part set.
func messages(t *testing.T) map[string]*wire.Message {
	t.Helper()
	head := func(kind wire.Kind) *wire.Message {
		return &wire.Message{Kind: kind, From: "c1", Disk: 2, Epoch: 3, Term: 4, Timestamp: 5}
	}
	all := map[string]*wire.Message{}
	for _, k := range []wire.Kind{wire.KindHello, wire.KindVote, wire.KindAppend, wire.KindPull, wire.KindPush, wire.KindHeartbeat, wire.KindCall} {
		all[k.String()] = head(k)
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

func TestMessagesKeepTheirForm(t *testing.T) {
	for name, m := range messages(t) {
		t.Run(name, func(t *testing.T) {
			got, err := wire.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			want := recorded(t, "message-"+name+".bin", got)
			if !bytes.Equal(got, want) {
				t.Fatal("written otherwise than recorded")
			}
			read, err := wire.Decode(want)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := wire.Encode(read); err != nil || !bytes.Equal(again, want) {
				t.Fatalf("%v; read and written again it is another message", err)
			}
			if !reflect.DeepEqual(read, m) {
				t.Fatalf("read: %+v", read)
			}
		})
	}
}

// Frames are messages as they stand on a connection, packed and with their lengths.
func TestFramesKeepTheirForm(t *testing.T) {
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
	want := recorded(t, "frames.bin", b.Bytes())
	if !bytes.Equal(b.Bytes(), want) {
		t.Fatal("written otherwise than recorded")
	}
	r := wire.NewReader(bytes.NewReader(want))
	for _, name := range names {
		next, err := r.Next()
		if err != nil {
			t.Fatal(name, err)
		}
		if m, err := wire.Decode(next); err != nil || m.Kind.String() != name {
			t.Fatal(name, err)
		}
	}
}

func TestBatchKeepsItsForm(t *testing.T) {
	batch := filled[wire.Batch](t)
	got, err := wire.EncodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	want := recorded(t, "batch.bin", got)
	if !bytes.Equal(got, want) {
		t.Fatal("written otherwise than recorded")
	}
	read, err := wire.DecodeBatch(want)
	if err != nil || !reflect.DeepEqual(read, batch) {
		t.Fatalf("%v; read: %+v", err, read)
	}
}

// A rejection's status, headers and body, as a caller or an operator gets them.
func TestRejectionsKeepTheirForm(t *testing.T) {
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
			if want := recorded(t, c.name+".txt", got.Bytes()); !bytes.Equal(got.Bytes(), want) {
				t.Fatalf("written: %s", got.Bytes())
			}
		})
	}
}

// Settings files with every key are read completely, and come back as recorded.
func TestSettingsFilesKeepTheirForm(t *testing.T) {
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
				t.Fatal(loaded.Faults, err)
			}
			got, err := json.MarshalIndent(loaded.Settings, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			want := recorded(t, "mf"+string(kind)+".json", append(got, '\n'))
			if !bytes.Equal(append(got, '\n'), want) {
				t.Fatalf("read and written: %s", got)
			}
		})
	}
}

// The flags of each daemon keep their names.
func TestFlagsKeepTheirNames(t *testing.T) {
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
			if want := recorded(t, "flags-"+string(kind)+".json", got); !bytes.Equal(got, want) {
				t.Fatalf("%s", got)
			}
		})
	}
}
