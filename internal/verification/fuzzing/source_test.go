// Package fuzzing feeds the state machines of both daemons with messages, calls and results of health checks whose
// fields are fuzzed: none may end the process. It does not check what they answer; package simulator's rules do.
// Begin with step_test.go; source_test.go turns fuzzed bytes into events.
package fuzzing

import (
	"encoding/binary"
	"math"
	"reflect"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// commonTexts are drawn for texts more often than others, so that messages concern what there is.
var commonTexts = []string{"", "c1", "c2", "g1", "g2", "s0", "s1", "t0", "t1", string(wire.ControlDaemon), string(wire.ProxyDaemon), "d0", string(wire.TargetReady), string(wire.TargetWarming), string(wire.TargetLeaving), string(wire.TargetGone), "10.0.0.1:1", "x"}

// fuzzSource turns fuzzed bytes into values; at their end all are zero.
type fuzzSource struct{ data []byte }

// byte is the next byte.
func (s *fuzzSource) byte() byte {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return b
}

// number is small as a rule, so that epochs, terms and indexes come near the true ones.
func (s *fuzzSource) number() uint64 {
	switch b := s.byte(); {
	case b < 240:
		return uint64(b % 16)
	case b == 255:
		return math.MaxUint64 - uint64(s.byte()%2)
	default:
		var raw [8]byte
		raw[s.byte()%8] = s.byte()
		return binary.LittleEndian.Uint64(raw[:])
	}
}

// text is a common text as a rule, and else any bytes.
func (s *fuzzSource) text() string {
	if b := s.byte(); b < 250 {
		return commonTexts[int(b)%len(commonTexts)]
	}
	n := min(int(s.byte()), len(s.data))
	text := string(s.data[:n])
	s.data = s.data[n:]
	return text
}

// fill sets every field of a value.
func (s *fuzzSource) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if s.byte()%4 != 0 {
			v.Set(reflect.New(v.Type().Elem()))
			s.fill(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			s.fill(v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte(s.text()))
			return
		}
		n := int(s.byte() % 4)
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			s.fill(v.Index(i))
		}
	case reflect.String:
		v.SetString(s.text())
	case reflect.Bool:
		v.SetBool(s.byte()%2 == 1)
	case reflect.Float64:
		v.SetFloat([]float64{0, 0.5, 1, -1, 1e300, math.Inf(1), math.NaN()}[s.byte()%7])
	case reflect.Int64:
		v.SetInt(int64(s.number()))
	case reflect.Uint64, reflect.Uint32, reflect.Uint16:
		v.SetUint(s.number())
	}
}

// message is one that another daemon may send, as it is decoded here.
func (s *fuzzSource) message(t *testing.T) *wire.Message {
	m := &wire.Message{}
	s.fill(reflect.ValueOf(m).Elem())
	m.Kind = 1 + m.Kind%wire.KindCall
	b, err := wire.Encode(m)
	if err != nil {
		t.Skip(err)
	}
	got, err := wire.Decode(b)
	if err != nil {
		t.Skip(err)
	}
	return got
}

// commonPaths are drawn for calls more often than others.
var commonPaths = []string{"/v1/config", "/v1/config/history", "/v1/config/diff", "/v1/config/rollback", "/v1/changes", "/v1/roster", "/v1/targets", "/v1/targets/s0/t0",
	"/v1/targets/s0/t0/leaving", "/v1/policies", "/v1/policies/p", "/v1/domains/d0/empty", "/v1/domains/d0/restore", "/v1/gates/g1/forget", "/v1/core/add", "/v1/core/c2/add",
	"/v1/core/c1/remove", "/v1/core/refound", "/v1/status", "/v1/domains", "/", ""}

// call is a call of the API, of a common path as a rule.
func (s *fuzzSource) call(id uint64) statemachine.Call {
	call := statemachine.Call{ID: id, Token: s.text(), Method: []string{"GET", "PUT", "PATCH", "POST", "DELETE", ""}[s.byte()%6]}
	if b := int(s.byte()); b < 250 {
		call.Path = commonPaths[b%len(commonPaths)]
	} else {
		call.Path = s.text()
	}
	call.Query = []string{"", "plain", "base=0", "to=1", "from=0&to=1", "gone=c2,c3", "id=7", "revision=1", "%zz", s.text()}[s.byte()%10]
	call.Body = []byte([]string{"", "{}", "[]", "null", `{"services":{"s0":{}}}`, `{"policies":{"p":null}}`, `{"service":"s0","name":"t0","incarnation":9,"address":"10.0.0.1:1","state":"leaving"}`,
		`{"when":"errors > 0.5","do":"eject"}`, s.text()}[s.byte()%9])
	return call
}

// event is a call, the result of a health check or, most often, a message.
func (s *fuzzSource) event(t *testing.T, id uint64) statemachine.Event {
	switch s.byte() % 5 {
	case 0:
		return s.call(id)
	case 1:
		result := statemachine.ProbeResult{ID: wire.TargetID{Service: s.text(), Name: s.text(), Incarnation: s.number()}, SentAt: time.Duration(s.number()), Milliseconds: 1}
		if s.byte()%2 == 1 {
			result.Report = &config.TargetReport{Service: s.text(), Name: s.text(), Incarnation: s.number(), Address: s.text(), State: wire.TargetState(s.text())}
		}
		return result
	default:
		return statemachine.Receive{Message: s.message(t)}
	}
}
